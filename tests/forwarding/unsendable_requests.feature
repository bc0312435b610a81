Feature: A request that cannot be encoded ends at once

  # Guards against a caller that waits for its deadline, or loses its
  # connection, because of an exception while the request is encoded.
  Scenario Outline: encoding a <kind> raises on <connection>
    Given a VM in simulated time whose requests raise when they are encoded
    When a <kind> is encoded for <connection>
    Then the caller is told at once that the request cannot be sent
    And no upstream gets a byte of it

    Examples:
      | kind    | connection        |
      | booking | a kept connection |
      | booking | a new connection  |
      | lookup  | a kept connection |
      | lookup  | a new connection  |
      | stream  | a kept connection |
      | stream  | a new connection  |

  # Guards against engine memory that stays reserved.
  Scenario Outline: streams that cannot be encoded on <connection> reserve nothing
    Given a VM in simulated time whose requests raise when they are encoded
    When 40 streams are encoded for <connection>
    Then no engine memory is reserved
    When requests can be encoded again
    Then the next stream is sent to an engine

    Examples:
      | connection        |
      | a kept connection |
      | a new connection  |

  # Guards against servers that look broken because of one caller.
  Scenario: servers are not blamed for requests that cannot be encoded
    Given a VM in simulated time whose requests raise when they are encoded
    When 40 bookings are encoded for a new connection
    Then no server counts as broken

  Scenario: a caller that leaves before the failure is reported
    Given a VM in simulated time whose requests raise when they are encoded
    When the caller of a stream leaves before it is told
    Then that caller gets no response
    And no engine memory is reserved

  # Guards against a retry that promises that an earlier attempt did not run.
  Scenario: a lookup that may have run is not reported as not run
    Given a VM with two servers of each service in simulated time
    When a lookup is sent and its server breaks off
    And its second attempt raises when it is encoded
    Then the caller gets 502 with the outcome unknown

  # Guards against a run that ends because its continuation cannot be sent.
  Scenario: a run goes on if its continuation cannot be encoded
    Given a stream in simulated time that runs with a copy
    When its engine is silent and its continuation raises when it is encoded
    And its engine goes on
    Then the caller has the whole stream

  # Guards against engine memory that stays reserved for a request whose
  # handling failed.
  Scenario: an exception while a stream is being sent releases what it holds
    Given a VM in simulated time whose requests raise while they are being sent
    When a stream arrives on a real connection
    Then that connection is reset
    And no engine memory is reserved
