Feature: Nodes come and go; accounts stay complete

  Scenario: a node ends gracefully with an upload in flight
    Given a fleet of 4 nodes before 2 upstreams
    When an upload of 20 MB is begun through the entry
    And the entry is told to end
    And the pending requests have ended
    Then the answer is 200 done
    And the upload arrived whole
    And it ends with status 0
    And every node sees 3 nodes within 5 s

  # Guards against a connection that a planned stop cuts without an answer.
  Scenario: a node ends while an upstream still works on a booking
    Given nodes that end their requests 1.5 s after a planned stop
    And a fleet of 4 nodes before 2 upstreams
    When booking late taking 9000 ms is begun through the entry
    And the entry is told to end
    And the pending requests have ended
    Then the answer is 504 unknown
    And it ends with status 0

  Scenario: a node is killed and the fleet notices
    Given a fleet of 4 nodes before 2 upstreams
    When node vm-2 is killed
    Then every node sees 3 nodes within 15 s

  Scenario: a one-way cut kills nobody
    Given a fleet of 4 nodes behind links before 2 upstreams
    When what goes from node vm-1 is cut
    And 5 s pass
    Then every node sees 4 nodes within 5 s

  Scenario: what goes to the owner is cut, and lookups go on
    Given a fleet of 4 nodes behind links before 3 upstreams
    When what goes to the owner is cut
    And 10 lookups are sent through every node
    Then at least 30 answers are 200 done

  Scenario: a departing customer gets every request, also those of a killed node
    Given a fleet of 4 nodes before 3 upstreams
    When 10 lookups are sent through every node
    And node vm-3 is killed
    And 5 lookups are sent through every node
    Then the account of kecskemet-tofu holds all its requests within 40 s
    And the export names the killed node as a possible gap

  Scenario: the log is down for a while and the account is complete after it
    Given a fleet of 4 nodes before 3 upstreams
    When the log is down
    And 10 lookups are sent through every node
    And 3 s pass
    And the log is up again
    Then the account of kecskemet-tofu holds all its requests within 40 s
    And the export names no gap

  Scenario: an upstream drains with an upload in flight
    Given a fleet of 2 nodes before 1 upstreams
    When an upload of 20 MB is begun through the entry
    And upstream up-1 drains
    And the pending requests have ended
    Then the answer is 200 done
    And the upload arrived whole
