Feature: Every request is answered whole or refused honestly

  Scenario: many requests at once, each gets its own answer
    Given a fleet of 4 nodes before 3 upstreams
    When 60 lookups are sent through every node
    Then every answer matches its own request
    And every answer is done or not-run

  Scenario: a demand above all slots is refused as not run
    Given a fleet of 2 nodes before 1 upstreams
    When 30 lookups of 900 ms are sent through every node
    Then every answer is done or not-run
    And at least 4 answers are 200 done
    And at least 1 answers are 503 not-run

  Scenario: an owner dies and lookups go on
    Given a fleet of 4 nodes before 3 upstreams
    When the owner is killed
    And 20 lookups are sent through every node
    Then every answer is 200 done

  Scenario: a request that crashes upstreams is quarantined on every node
    Given a fleet of 4 nodes before 3 upstreams
    When a lookup that crashes upstreams is sent through node vm-1
    Then the answer is 502 unknown
    When a lookup that crashes upstreams is sent through node vm-2
    Then the answer is 503 not-run
    When 1 s pass
    And 5 lookups are sent through every node
    Then at least 20 answers are 200 done
    And nobody is ejected

  # Guards against a new owner that counts crashes anew.
  Scenario: a request that crashes upstreams is quarantined though its owners die
    Given a fleet of 6 nodes before 6 upstreams
    When 3 bookings that crash upstreams are sent, each to another owner
    And 1 s pass
    Then every node refuses a booking that crashes upstreams

  # Guards against a fleet that forgets a quarantine with its processes.
  Scenario: a quarantine outlives all nodes
    Given a fleet of 4 nodes before 6 upstreams
    When a lookup that crashes upstreams is sent through node vm-1
    And a lookup that crashes upstreams is sent through node vm-2
    And all nodes are killed at once and started again
    Then every node refuses a lookup that crashes upstreams

  Scenario: pipelined requests, a half-closed caller, and odd but valid heads
    Given a fleet of 1 nodes before 1 upstreams
    And the caller closes its side after sending
    When these bytes are sent to node vm-1
      """
      GET /sheets/a%2Fb HTTP/1.1\r\nHost: h\r\n{auth}\r\n\r\n
      PUT /sheets/c HTTP/1.1\r\nHost: h\r\n{auth}\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n
      HEAD /sheets/d HTTP/1.1\r\nHost: h\r\n{auth}\r\n\r\n
      GET /sheets/e HTTP/1.1\r\nHost: h\r\n{auth}\r\nAnswer-Status: 204\r\n\r\n
      GET /sheets/f HTTP/1.1\r\nHost: h\r\n{auth}\r\nEarly-Hints: 1\r\n\r\n
      GET /sheets/g HTTP/1.0\r\n{auth}\r\nAnswer-Chunked: 1\r\n\r\n
      """
    Then the bytes that come back hold 5 answers with status 200
    And the bytes that come back hold 1 answers with status 204
    And the bytes that come back hold 1 answers with status 103
    And they hold /sheets/a%2Fb

  Scenario: a smuggled request gets a plain 400 and never reaches an upstream
    Given a fleet of 1 nodes before 1 upstreams
    When these bytes are sent to node vm-1
      """
      POST /sheets/a HTTP/1.1\r\nHost: h\r\n{auth}\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /sheets/smuggled HTTP/1.1\r\nHost: h\r\n\r\n
      """
    Then the bytes that come back hold 1 answers with status 400
    And the bytes that come back hold 0 answers with status 200
    And they hold not-run

  Scenario: an upload waits for the word to continue
    Given a fleet of 1 nodes before 1 upstreams
    When these bytes are sent to node vm-1
      """
      PUT /uploads/a HTTP/1.1\r\nHost: h\r\n{auth}\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n
      """
    Then the bytes that come back hold 1 answers with status 100

  Scenario: unknown customer and service
    Given a fleet of 1 nodes before 1 upstreams
    When these bytes are sent to node vm-1
      """
      GET /sheets/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer nobody\r\n\r\n
      GET /nowhere HTTP/1.1\r\nHost: h\r\n{auth}\r\n\r\n
      """
    Then the bytes that come back hold 1 answers with status 401
    And the bytes that come back hold 1 answers with status 404
    And they hold not-run

  Scenario: a large upload passes with flat memory
    Given a fleet of 2 nodes before 1 upstreams
    When an upload of 200 MB is begun through the entry
    And the pending requests have ended
    Then the answer is 200 done
    And the upload arrived whole
    And node vm-1 uses less than 128 MB
    And node vm-2 uses less than 128 MB
    And node vm-1 is one process that was never restarted

  Scenario: a request head that comes too slowly is answered and closed
    Given callers have 1 s to send a head
    And a fleet of 1 nodes before 1 upstreams
    When these bytes are sent to node vm-1
      """
      GET /sheets/a HTTP/1.1\r\nHost: h\r\n
      """
    Then the bytes that come back hold 1 answers with status 408
    And they hold not-run

  Scenario: a refused upload gets its answer although it is still being sent
    Given a fleet of 1 nodes before 1 upstreams
    When an upload of 50 MB without a customer is sent to node vm-1
    Then the bytes that come back hold 1 answers with status 401
    And they hold not-run
