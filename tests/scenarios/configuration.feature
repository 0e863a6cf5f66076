Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: two operators at the same moment
    Given a fleet of 4 nodes before 1 upstreams
    When two operators publish the profile morning at the same moment
    Then one is in force and the other is told of the conflict
    And the newest configuration is in force on every node within 4 s

  Scenario: the answer to an append is lost after it took effect
    Given a fleet of 4 nodes before 1 upstreams
    When the log loses the answer to the next append
    And an operator publishes the profile morning
    Then it is settled at revision 1
    And the newest configuration is in force on every node within 4 s

  Scenario: a node is replaced while the log is down
    Given a fleet of 4 nodes before 1 upstreams
    When the log is down
    And node vm-2 is replaced
    Then node vm-2 serves lookups within 20 s
    And no node ever went back to an earlier offset

  Scenario: an append takes effect seconds after its answer was lost
    Given a fleet of 4 nodes before 1 upstreams
    When the log answers the next append late
    And an operator publishes the profile morning
    Then it is settled at revision 1
    And the newest configuration is in force on every node within 4 s

  Scenario: declarations outlive the log's history
    Given a fleet of 3 nodes before 1 upstreams
    When the log is compacted
    And node vm-1 is replaced
    And node vm-2 is replaced
    And node vm-3 is replaced
    Then node vm-1 serves lookups within 20 s
    And node vm-3 serves lookups within 20 s
    And no node ever went back to an earlier offset

  # Guards against reads that wait for their timeout on a dead connection.
  Scenario: open connections to the log go silent without a reset
    Given a fleet of 4 nodes before 1 upstreams
    Then versions that follow silenced connections to the log are in force within 2.5 s
