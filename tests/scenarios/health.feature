Feature: Upstreams that fail grayly are ejected within the floor

  Scenario: an upstream that stalls is ejected and returns
    Given a fleet of 2 nodes before 4 upstreams
    When 30 lookups are sent through every node
    And upstream up-1 stalls
    And 30 lookups are sent through every node
    Then upstream up-1 is ejected within 3 s
    And every answer is 200 done
    When upstream up-1 works again
    And 3 s pass
    And 60 lookups are sent through every node
    Then upstream up-1 is healthy within 5 s

  Scenario: stalls on every upstream never cross the floor
    Given a fleet of 2 nodes before 4 upstreams
    When 30 lookups are sent through every node
    And upstream up-1 stalls
    And upstream up-2 stalls
    And upstream up-3 stalls
    And 10 lookups are sent through every node
    Then upstream up-4 is healthy within 3 s

  Scenario: a leaving upstream gets nothing new
    Given a fleet of 2 nodes before 3 upstreams
    When the list shows upstream up-1 as leaving
    And 2 s pass
    And 20 lookups are sent through every node
    Then upstream up-1 gets no new work

  Scenario: an upstream drains before the list shows it
    Given a fleet of 2 nodes before 3 upstreams
    When upstream up-2 drains
    And 20 lookups are sent through every node
    Then every answer is 200 done
    And upstream up-2 is leaving within 2 s

  Scenario: an upstream's answers are cut
    Given a fleet of 2 nodes before 3 upstreams
    When upstream up-1 answers half
    And 20 lookups are sent through every node
    Then every answer matches its own request

  Scenario: an upstream whose entry is gone gets nothing new
    Given a fleet of 2 nodes before 3 upstreams
    When the list no longer shows upstream up-1
    And 2 s pass
    And 20 lookups are sent through every node
    Then upstream up-1 gets no new work

  Scenario: entries that name no upstream change nothing
    Given a fleet of 2 nodes before 3 upstreams
    When the list shows odd entries
    And 1 s pass
    And the list shows upstream up-1 as leaving
    And 2 s pass
    And 20 lookups are sent through every node
    Then every answer is 200 done
    And upstream up-1 gets no new work
