@processes
Feature: Responses without end are cut off

  Background:
    Given the platform's stand-in with two servers of each service
    And an entry VM that is ready

  # Guards against buffering all that a server sends until the deadline.
  Scenario Outline: a booking with a response without end fails long before its deadline
    Given the next 4 responses of each server are <fault>
    When 4 bookings are sent at once, and lookups after they have run
    Then each booking is answered 502 within 2 s and has run once
    And each lookup is answered 200 within 500 ms
    And the servers soon see those connections closed
    And the VM's memory has stayed under its limit

    Examples:
      | fault           |
      | endless_head    |
      | endless_interim |
      | endless_body    |
      | endless_other   |
      | endless_others  |

  # Guards against buffering all that a server sends until the deadline.
  Scenario Outline: a lookup with a response without end is retried
    Given the next response of one server is <fault>
    When 4 lookups are sent one by one
    Then each lookup is answered 200 within 1000 ms
    And the servers soon see those connections closed

    Examples:
      | fault           |
      | endless_head    |
      | endless_interim |
      | endless_body    |
      | endless_other   |
      | endless_others  |

  # Guards against a streamed call that never ends once its deadline passes.
  Scenario: a large response without end is cut off at the deadline
    Given the next response of each server is endless_success
    When a booking is sent and read for 7 s
    Then its connection was reset after 4 to 6 s
    And the log has a call that ended at the deadline
    And the servers soon see those connections closed

  # Guards against buffering all that an engine sends until the deadline.
  Scenario Outline: a stream whose engine sends without end is resumed
    Given the next response of the engines is <fault>
    When a stream is read to its end
    Then all 40 events come once and in order and it has run once
    And the servers soon see those connections closed
    And the VM's memory has stayed under its limit
    And a booking is served

    Examples:
      | fault           |
      | endless_head    |
      | endless_interim |
      | endless_body    |
      | endless_failure |
      | endless_other   |
      | endless_others  |
      | endless_event   |
      | endless_lines   |
      | endless_tail    |

  # Guards against events and comments that hold up all other callers.
  Scenario: a stream of comments without end is cut off and resumed
    Given the next response of the engines is endless_comments
    When a stream is read to its end
    Then all 40 events come once and in order and it has run once
    And the servers soon see those connections closed
    And a booking is served

  # Guards against a connection that nobody reads once it is used again.
  Scenario: a connection whose response was read slowly serves later requests
    Given the next response of each server is large
    When 2 callers each read 64 KiB of a booking every 5 ms for 2 s
    And 8 lookups are sent one by one
    Then each lookup is answered 200 within 1000 ms

  # Guards against memory that is bounded for each connection, but not for all.
  Scenario: many callers that read slowly do not exhaust the VM's memory
    Given the next 100 responses of each server are endless_length
    When 60 callers each read 64 KiB of a booking every 50 ms for 4 s
    Then the VM's memory has stayed under its limit
    And the servers soon see those connections closed
    And a booking is served once the servers are sound

  # Guards against buffering all that an engine sends until the timeout.
  Scenario: a copy of a run's memory with a response without end fails
    Given a state without maintained copies is in force
    And the response to each copy is endless_body
    When a stream that pauses after 20 events is read and its engine says after 5 that it leaves
    And the stream goes on once a copy has failed
    Then all 40 events come once and in order and it has run once
    And the servers soon see those connections closed
