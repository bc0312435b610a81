@processes
Feature: A draining VM answers every request that it accepts

  Background:
    Given the platform's stand-in with two servers of each service
    And an entry VM with a grace period of 5 s

  # Guards against a request that is accepted late in a drain and reset at
  # the end of the grace period.
  Scenario: a draining VM refuses a request that may outlast its grace period
    Given a stream that its engine never answers
    And engines that answer no further stream
    When SIGTERM is sent and 1.5 s pass
    And a stream with a time limit of 5000 ms is sent on a new connection
    Then it is refused with 503, Retry-After and the outcome not_run
    And it has not run and its connection is closed

  Scenario: a draining VM serves a call that fits into its grace period
    Given a stream that its engine never answers
    When SIGTERM is sent and 1.5 s pass
    And a booking with a time limit of 1000 ms is sent on a new connection
    Then it is answered 200 and its connection is closed

  # Guards against requests, among them some that may not be repeated, that are
  # taken late in the grace period and cut at its end.
  Scenario Outline: a late booking gets an answer although its server works longer than what is left
    Given a stream that its engine never answers
    And servers that answer no further booking
    When SIGTERM is sent and <passed> s pass
    And a booking with a time limit of <limit> ms is sent on a new connection
    Then it is answered <status> as <outcome> and its connection is closed
    And the VM exits with code 0 within its grace period

    Examples:
      | passed | limit | status | outcome |
      | 1.5    | 1500  | 504    | unknown |
      | 2.5    | 1500  | 504    | unknown |
      | 2.5    | 4000  | 503    | not_run |
      | 3.5    | 1500  | 503    | not_run |

  # Guards against a reset in place of a final answer.
  Scenario: a request without an answer gets one before a draining VM exits
    Given a stream that its engine never answers
    When SIGTERM is sent and 0.1 s pass
    Then the stream that its engine never answers gets 504 and unknown
    And the VM exits with code 0 within its grace period

  # Guards against a reset in place of a final answer.
  Scenario: a booking without an answer gets one before a draining VM exits
    Given a booking that its server never answers
    When SIGTERM is sent and 0.1 s pass
    Then the booking that its server never answers gets 504 and unknown
    And the VM exits with code 0 within its grace period

  # Guards against a stream that is placed so late in a drain that it is cut.
  Scenario: a stream that waits for an engine is refused when a drain begins
    Given a stream that waits because no engine is listed
    When SIGTERM is sent and 0.1 s pass
    Then it is refused with 503, Retry-After and the outcome not_run
    And the VM exits with code 0 within its grace period

  # Guards against an exit between two requests of one connection.
  Scenario: a connection with a pipelined request is not idle
    Given a connection that has received two requests
    When the first of them is answered
    Then the connection is not idle until the second is answered

  # Guards against a request that has arrived and is neither answered nor run,
  # because the response before it announces the end of the connection.
  Scenario: a draining VM answers requests that were pipelined before
    Given a connection that has received two bookings, the first of them slow
    When SIGTERM is sent and 0.1 s pass
    Then both bookings are answered 200 and the connection is closed

  # Guards against an exit that drops the unsent rest of a response.
  Scenario: a draining VM sends a large answer to a slow caller in full
    Given a caller with a small window that does not read its large answer
    When SIGTERM is sent and 3.5 s pass
    Then the caller gets the whole answer

  # Guards against a request that follows, on a connection that was busy at
  # SIGTERM, a response without Connection: close.
  Scenario: a draining VM refuses a late request on a busy connection
    Given a stream that its engine never answers
    And a connection on which a stream is being answered
    When SIGTERM is sent and a stream with a time limit of 5000 ms follows
    Then the first stream is whole
    And the second is refused with 503, Retry-After and the outcome not_run

  # Guards against a connection that is closed between its acceptance and
  # its first request.
  Scenario: a draining VM answers a request that follows its connection late
    Given a stream that its engine never answers
    When SIGTERM is sent and 3.2 s pass
    And a connection is opened and 0.3 s pass before its booking is sent
    Then it is answered 200 and its connection is closed

  # Guards against an exit while connections wait to be accepted, or have been
  # accepted and carry no request yet.
  Scenario: a VM that stops under load cuts no request on a new connection
    When callers send bookings on new connections until a stopping VM is gone
    Then every booking on an accepted connection was answered in full
    And the VM exits with code 0 within its grace period
