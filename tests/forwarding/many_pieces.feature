@processes @alone
Feature: Responses in many small pieces do not hold up other requests

  Background:
    Given the platform's stand-in with two servers of each service
    And an entry VM that is ready

  # Guards against pieces that are all handled in the iteration of the loop in
  # which they were read.
  Scenario Outline: lookups are answered while engines answer in small pieces
    Given the engines answer <count> streams with <fault>
    When 20 lookups are sent in 2 s, each with a budget of 1500 ms
    Then each lookup is answered 200 within its budget
    And no process of the VM has ended

    Examples:
      | fault                | count |
      | endless_lines        | 3     |
      | endless_lines        | 12    |
      | endless_unnumbered   | 3     |
      | endless_unnumbered   | 12    |
      | endless_tiny_events  | 3     |
      | endless_tiny_events  | 12    |
      | endless_tiny_failure | 12    |

  # Guards against chunks of one byte that are parsed and forwarded in one
  # iteration of the loop.
  Scenario Outline: lookups are answered while servers answer in small pieces
    Given the servers answer <count> bookings with <fault>
    When 20 lookups are sent in 2 s, each with a budget of 1500 ms
    Then each lookup is answered 200 within its budget
    And no process of the VM has ended

    Examples:
      | fault                | count |
      | endless_tiny_chunks  | 3     |
      | endless_tiny_chunks  | 12    |
      | endless_tiny_failure | 12    |

  # Guards against a bound on small pieces that cuts off a sound stream.
  Scenario Outline: numbered events that arrive at once are forwarded whole
    Given the engines answer <count> streams with endless_unnumbered
    And the engines answer all further streams with event_burst
    When 4 streams of 3000 events are read to their end
    Then each stream has all 3000 events once and in order

    Examples:
      | count |
      | 0     |
      | 3     |
