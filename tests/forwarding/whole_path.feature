@processes
Feature: The whole path on a stand-in of the users' platform

  Background:
    Given the platform's stand-in with two servers of each service
    And an entry VM that is ready

  Scenario Outline: bodies pass byte for byte, whatever their framing
    When a booking with a body in <framing> is sent
    Then the answer is whole and the server saw the same body
    And the server saw the account and not the key

    Examples:
      | framing |
      | length  |
      | chunks  |

  Scenario: a booking whose kept connection ends before the answer runs once
    Given the next answer but one of each server vanishes
    When bookings are sent until one is not answered
    Then that one is answered 502 and has run once

  Scenario: libcurl sends such a call again by itself
    Given the next answer but one of each server vanishes
    When libcurl sends two calls to one server on a kept connection
    Then the second has run twice

  Scenario: a booking that a server promised not to run goes to another
    Given the next request at one server is shed
    When 4 bookings are sent
    Then all are answered 200 and each has run once

  Scenario: a second answer that comes late reaches nobody
    Given each server answers the next 6 requests twice
    When 6 lookups are sent on one connection
    Then each lookup gets its own answer

  Scenario Outline: an answer that is not whole or not genuine is no success
    Given the next answer of each server is <fault>
    When a booking is sent
    Then it is answered 502 and has run once

    Examples:
      | fault  |
      | cut    |
      | forged |

  Scenario: a lookup whose answer is cut is sent again
    Given the next answer of one server is cut
    When 4 lookups are sent on one connection
    Then each lookup gets its own answer

  Scenario: an answer without length is whole when its connection ends
    Given the next answer of each server is unframed
    When a booking is sent
    Then it is answered 200 and has run once

  Scenario: a stream goes on when its engine crashes
    When a stream is read and its engine crashes after 20 events
    Then all 40 events come once and in order and it has run once

  Scenario: a stream goes on when its engine is about to leave
    When a stream is read and its engine says after 20 events that it leaves
    Then all 40 events come once and in order and it has run once

  Scenario: callers are refused by what the operators have put in force
    Then an unknown key gets 401, an unknown path 404
    When a state without the route look is accepted
    Then a lookup is soon answered 404 while a booking is served

  Scenario: a revoked key opens nothing, also while the store is away
    When the store goes away and 5 s have passed
    Then a booking is refused with 503 and Retry-After
    When the store is back with a state without the key key-two
    Then the key key-two soon gets 401 and the key key-one is served

  Scenario: entries that cannot be read stop no other
    When entries of servers that cannot be read are written
    And a new server of the desk is listed
    Then it soon gets bookings

  Scenario: a caller that leaves is seen at the engine
    When a stream is read and the caller leaves after 5 events
    Then its engine soon has no connection of it

  Scenario: broken requests end in a typed answer and leave the VM serving
    Then these requests are answered so
      | request      | status |
      | garbage      | 400    |
      | two framings | 400    |
      | large body   | 413    |
      | large head   | 431    |
      | slow head    | 408    |
    And a booking is served

  Scenario: SIGTERM lets a stream finish and ends the process
    When a stream is read and SIGTERM comes after 5 events
    Then all 40 events come once and in order and it has run once
    And the VM says it is not ready and ends with code 0

  Scenario: logs tell of a request in one line with its id and reason
    When a booking is sent
    Then the log has a line of its end with its id, upstream and time
    And the log has a line "event=ready state_version=1" and a booking is served
    And the metrics count both

  Scenario: changed settings are put in force, unusable ones change nothing
    When the settings file is spoilt and SIGHUP comes
    Then the log has a line "event=reload_failed" and a booking is served
    When the settings file is changed without a signal
    Then the log has a line "event=reloaded changed=True" and a booking is served

  Scenario: a VM that knows no state yet is not ready and says 503 at once
    Given the store is away and a second VM is started
    Then a booking there is refused with 503, the outcome not_run and no state
