Feature: Attempts on the connections to upstreams

  # Guards against a late second copy of an answer that is taken for the
  # response to a transfer of memory on the same connection.
  Scenario: a transfer skips the late copy of another request's answer
    Given an upstream that sends a second copy of its answer late
    When a call is answered and a transfer of another run follows on its connection
    Then the transfer returns the handle of its own response
    And no connection with unread bytes is kept
