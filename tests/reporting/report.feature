Feature: One report with two readings from the rows of all VMs

  Scenario: the parts of the wait add up to the whole
    Then the parts of any recorded facts add up to their whole time

  Scenario: what no part explains is shown as such
    Given a VM that recorded a generation of 100 ms with 30 ms in prefill
    Then the report shows 70 ms as "unaccounted"

  Scenario: rows of several VMs merge as if one VM had seen all
    Then merged parts give the counts and quantiles of one recorder

  Scenario: quantiles are within two hundredths
    Then the sketch's quantiles of 5000 random durations are within 0.021

  Scenario: money counts what was paid twice and what nobody received
    Given a VM that recorded these generations
      | outcome    | delivered | discarded | discard_reason | bytes | crossed |
      | done       | 100       | 40        | replaced       | 500   | yes     |
      | done       | 50        | 10        | resumed        | 700   | no      |
      | incomplete | 30        | 0         |                | 0     | no      |
      | not_run    | 0         | 0         |                | 0     | no      |
      | incomplete | 20        | 25        | caller_gone    | 2000  | yes     |
    Then the money reading says
      | name             | value |
      | tokens_delivered | 200   |
      | twice            | 50    |
      | unreceived       | 25    |
      | tokens_cut       | 50    |
      | region_bytes     | 2500  |
    And the price of 2500 bytes at 1 a gigabyte is in it

  Scenario: more accounts than the bound share one row, and it says so
    Given a VM that recorded one request of each of 6000 accounts
    Then its part has 4601 rows and 1400 requests without a named account
    And the report still counts 6000 requests and says that 1400 are folded

  Scenario: the report filters by service and client account
    Given a VM that recorded 3 generations of "mechanics" and 2 calls of "reef-lodge"
    Then the report on service "desk-app" counts 2 requests
    And the report on account "mechanics" counts 3 requests

  Scenario: only requests that were not served have a reason
    Given a VM that recorded generations that ended with
      | outcome | reason     | count |
      | done    | stop       | 5     |
      | not_run | queue_full | 3     |
      | not_run | deadline   | 2     |
    Then the report gives "queue_full" 3 times, and "queue_full" as the main reason
    And its tables have no column or line in which all is zero

  Scenario: all formats show the same numbers
    Given a VM that recorded 7 generations of "mechanics" and 5 calls of "reef-lodge"
    Then each format shows 7 requests of "mechanics" and 5 of "reef-lodge"
    And the page is one file with its plots inside
    And the page escapes a client account called "<script>$\frac$"
