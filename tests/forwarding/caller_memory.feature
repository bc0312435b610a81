Feature: What is held for callers is bounded

  Background:
    Given an accounting with a bound of 1000 kB and 8 connections

  # Guards against a crowd that stops short of the end of its bodies.
  Scenario: beyond the bound, those that hold most and progress least give up
    Given callers that have read these kB of a request
      | caller | kB  | missing kB | at ms |
      | old    | 50  | 1          | 0     |
      | large  | 300 | 1          | 0     |
      | new    | 60  | 900        | 900   |
    When the caller last reads 650 kB at 1000 ms
    Then the caller large gives up with over_bound
    And no other caller gives up
    And the accounting is under its bound

  # Guards against a refusal of a request that may have run.
  Scenario: a request that has been passed on is kept
    Given callers that have read these kB of a request
      | caller | kB  | missing kB | at ms |
      | run    | 700 | 0          | 0     |
    When the request of run is passed on
    And the caller last reads 400 kB at 5000 ms
    Then the caller last gives up with over_bound
    And no other caller gives up

  # Guards against a complete request that is passed on beyond the bound.
  Scenario: a complete request beyond the bound is refused
    Given callers that have read these kB of a request
      | caller | kB  | missing kB | at ms |
      | run    | 980 | 0          | 0     |
    When the request of run is passed on
    And the complete request of last holds 60 kB
    Then the caller last gives up with over_bound

  # Guards against bodies that all grow at once, so that none is finished.
  Scenario: near the bound, the callers that miss least go on
    Given callers that have read these kB of a request
      | caller | kB  | missing kB | at ms |
      | far    | 320 | 500        | 0     |
      | near   | 320 | 100        | 0     |
    When the caller far reads 330 kB at 100 ms
    And the caller near reads 330 kB at 100 ms
    Then the caller far waits
    And the caller near does not wait
    When the request of near is passed on
    And the caller near closes its connection
    Then the caller far does not wait

  # Guards against ordinary requests that wait behind large ones.
  Scenario: small requests never wait
    Given callers that have read these kB of a request
      | caller | kB  | missing kB | at ms |
      | large  | 700 | 500        | 0     |
    When the caller small reads 60 kB at 10 ms
    Then the caller small does not wait

  # Guards against callers that wait for a room that never comes.
  Scenario: callers that stop give up near the bound, and then others go on
    Given callers that have read these kB of a request
      | caller  | kB  | missing kB | at ms |
      | stopped | 500 | 1          | 0     |
      | other   | 200 | 400        | 10    |
    When the accounting is swept at 1005 ms
    Then the caller stopped gives up with stalled
    And the caller other does not wait
    And no other caller gives up

  # Guards against a wait that outlasts the caller's patience.
  Scenario: a caller that waits for long is refused
    Given callers that have read these kB of a request
      | caller | kB  | missing kB | at ms |
      | run    | 800 | 0          | 0     |
    When the request of run is passed on
    And the caller last reads 100 kB at 100 ms
    And the accounting is swept at 2050 ms
    Then the caller last waits
    When the accounting is swept at 2150 ms
    Then the caller last gives up with waited

  # Guards against idle connections that are refused without need.
  Scenario: without scarcity nobody gives up
    Given callers that have read these kB of a request
      | caller | kB  | missing kB | at ms |
      | slow   | 500 | 400        | 0     |
    When the accounting is swept at 14000 ms
    Then no other caller gives up
    And the caller slow does not wait

  # Guards against responses that nobody reads.
  Scenario: unread responses count, and those who do not read are closed
    Given callers that have read these kB of a request
      | caller | kB | missing kB | at ms |
      | small  | 10 | 10         | 900   |
    And an idle caller unread with 990 kB of unread responses
    When the caller small reads 20 kB at 1000 ms
    Then the caller unread gives up with over_bound
    And no other caller gives up

  # Guards against ordinary requests that are refused for what callers held
  # that have been refused and have left.
  Scenario: a caller that is refused after it has left holds nothing more
    Given a connection on which a caller sent 200 kB of a body and has left
    When the connection gives up before the loop reports that
    Then it is accounted for as an idle connection

  # Guards against idle connections that take all descriptors.
  Scenario: the connection that is idle for longest makes room
    Given 8 idle connections opened one after the other
    When one more connection is to be accepted
    Then the caller idle-0 gives up with descriptors
    And no other caller gives up

  # Guards against a wrong account after connections have closed.
  Scenario Outline: the account is exact and bounded in any history
    Then it stays exact and bounded in a history of 3000 steps with seed <seed>

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  # Guards against bounds that refuse what the limits of callers allow.
  Scenario Outline: the bounds follow from the settings
    Then a VM with <memory> MB and <descriptors> descriptors holds <kB> kB for <callers> callers

    Examples:
      | memory | descriptors | kB     | callers |
      | 128    | 4100        | 48000  | 1922    |
      | 552    | 8192        | 302400 | 3968    |
      | 64     | 200         | 12582  | 75      |

  # Guards against merged chunks that are read differently.
  Scenario Outline: a chunked body is read the same with merged chunks
    Then 300 random chunked bodies with seed <seed> are read as the parser reads them

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against the cost of objects for each header line or chunk.
  Scenario: long heads and small chunks are kept compact
    Then a head of 3900 short lines is kept in less than 40 kB and unchanged
    And a run of 10000 chunks of one byte is one chunk for the parser
