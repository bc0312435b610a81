Feature: Attempts on the connections to upstreams

  # Guards against a late second copy of an answer that is taken for the
  # response to a transfer of memory on the same connection.
  Scenario: a transfer skips the late copy of another request's answer
    Given an upstream that sends a second copy of its answer late
    When a call is answered and a transfer of another run follows on its connection
    Then the transfer returns the handle of its own response
    And no connection with unread bytes is kept

  # Guards against a request that is sent long after it was decided on.
  Scenario: a connection that was ready only after a pause is not used
    Given an upstream whose connection is ready while the VM is paused for 3 s
    When the VM handles the connection before its timers
    Then the attempt fails as not connected and no byte is sent
