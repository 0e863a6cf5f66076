Feature: What the fleet wrote outlives a restore of the store from an older copy

  Scenario: declarations and accounts are written again
    Given a fleet of 4 nodes before 1 upstreams
    When a copy of the log is made
    And an operator publishes the profile morning
    And 20 lookups are sent through every node
    Then the account of kecskemet-tofu holds all its requests within 40 s
    When the log is restored from the copy
    Then the log has the profile morning again within 5 s
    And the account of kecskemet-tofu holds all its requests within 40 s
    And the export names no gap
    When node vm-2 is replaced
    Then node vm-2 serves lookups within 20 s
