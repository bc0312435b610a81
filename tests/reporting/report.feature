Feature: The report merges the rows of all VMs

  Scenario: the phases of requests add up to their duration
    Then the phases of any recorded requests add up to their total time

  Scenario: time outside all phases is shown as unaccounted
    Given a VM that recorded a generation of 100 ms with 30 ms in prefill
    Then the report shows 70 ms as "unaccounted"

  Scenario: merging several VMs equals recording everything on one VM
    Then merged parts give the counts and quantiles of one recorder

  Scenario: quantiles are accurate to about 2%
    Then the sketch's quantiles of 5000 random durations are within 0.021

  Scenario: the cost section counts regenerated and unreceived tokens
    Given a VM that recorded these generations
      | outcome    | delivered | discarded | discard_reason | bytes | crossed |
      | done       | 100       | 40        | replaced       | 500   | yes     |
      | done       | 50        | 10        | resumed        | 700   | no      |
      | incomplete | 30        | 0         |                | 0     | no      |
      | not_run    | 0         | 0         |                | 0     | no      |
      | incomplete | 20        | 25        | caller_gone    | 2000  | yes     |
    Then the cost section shows
      | name             | value |
      | tokens_delivered | 200   |
      | twice            | 50    |
      | unreceived       | 25    |
      | tokens_cut       | 50    |
      | region_bytes     | 2500  |
    And it includes the price of 2500 bytes at 1 per gigabyte

  Scenario: accounts beyond the bound share one row and are counted
    Given a VM that recorded one request of each of 6000 accounts
    Then its part has 4601 rows and 1400 requests without a named account
    And the report counts 6000 requests and states that 1400 are folded

  Scenario: the report filters by service and client account
    Given a VM that recorded 3 generations of "mechanics" and 2 calls of "reef-lodge"
    Then the report on service "desk-app" counts 2 requests
    And the report on account "mechanics" counts 3 requests

  Scenario: only failed or refused requests have a reason
    Given a VM that recorded generations that ended with
      | outcome | reason     | count |
      | done    | stop       | 5     |
      | not_run | queue_full | 3     |
      | not_run | deadline   | 2     |
    Then the report gives "queue_full" 3 times, and "queue_full" as the main reason
    And its tables have no columns or rows of only zeros

  Scenario: all formats show the same numbers
    Given a VM that recorded 7 generations of "mechanics" and 5 calls of "reef-lodge"
    Then each format shows 7 requests of "mechanics" and 5 of "reef-lodge"
    And the page is self-contained with embedded plots
    And the page escapes a client account called "<script>$\frac$"
