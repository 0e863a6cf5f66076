Feature: A marked booking runs at most once

  Scenario: the same key through every node at the same moment
    Given a fleet of 4 nodes before 3 upstreams
    When booking a is sent through every node at once 3 times
    Then every answer is 200 done
    And all answers are the same
    And booking a ran once

  Scenario: a key of the fleet works while the log is down
    Given a fleet of 4 nodes before 3 upstreams
    And a key a from node vm-2
    And the log is down
    When booking a is sent through every node at once 2 times
    Then every answer is 200 done
    And booking a ran once
    When booking b is sent through node vm-1
    Then the answer is 503 not-run
    And booking b ran not at all

  Scenario: the owner is killed while it has the booking
    Given a fleet of 4 nodes before 3 upstreams
    When booking a taking 1500 ms is begun through the entry
    And the owner is killed
    And the pending requests have ended
    Then the answer is 502 unknown
    When booking a is sent through the entry
    Then the answer is 409 unknown
    And booking a ran at most once

  Scenario: the holder of a fleet key is killed before the booking comes
    Given a fleet of 4 nodes before 3 upstreams
    And a key a from node vm-2
    When node vm-2 is killed
    And booking a is sent through node vm-1
    Then the answer is 409 unknown
    And booking a ran not at all

  Scenario: the owner is frozen past every deadline and goes on
    Given a fleet of 4 nodes before 3 upstreams
    When the owner is frozen
    And booking a taking 10 ms is begun through the entry
    And the pending requests have ended
    And booking a is sent through the entry
    And the owner goes on
    And 2 s pass
    Then booking a ran at most once

  Scenario: the log loses the answer to the claim
    Given a fleet of 4 nodes before 3 upstreams
    When the log loses the answer to the next append
    And booking a is sent through every node at once 2 times
    Then booking a ran at most once

  Scenario: the log is down and the owner is killed
    Given a fleet of 4 nodes before 3 upstreams
    And a key a from the entry
    And the log is down
    When booking a taking 1500 ms is begun through the entry
    And the owner is killed
    And the pending requests have ended
    Then the answer is 502 unknown
    When booking a is sent through the entry
    Then the answer is 409 unknown
    And booking a ran at most once
