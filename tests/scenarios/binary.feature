Feature: The product ships as one file that runs as one process

  Scenario: the file answers a request as exactly one process
    Given the binary is built
    When it is asked for its version
    Then the command ends with status 0 and prints "comfreyusher, version"
    Given the fleet runs the binary
    And a fleet of 1 nodes before 1 upstreams
    When 3 lookups are sent through every node
    Then every answer is 200 done
    And node vm-1 is one process that was never restarted
