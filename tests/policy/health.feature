Feature: Failing upstreams are ejected and return on probation

  Scenario: three consecutive failures eject an upstream, a success resets them
    Given 4 upstreams
    When "a" fails, fails, succeeds, fails, fails
    Then "a b c d" are in use
    When "a" fails, fails, fails
    Then "b c d" are in use

  Scenario: an upstream on probation is ejected again at its first failure
    Given 4 upstreams
    When "a" fails, fails, fails
    And 6000 ms of ejection pass
    Then "a b c d" are in use
    And "a" may run 2 requests at first
    When "a" fails
    Then "b c d" are in use

  Scenario: an upstream much slower than its peers is ejected
    Given 4 upstreams
    When "a" takes 90 ms a token and the others 30 ms
    Then "b c d" are in use

  Scenario: no upstream is ejected when all are equally slow
    Given 4 upstreams
    When "a" takes 90 ms a token and the others 90 ms
    Then "a b c d" are in use

  Scenario: at least half of the upstreams stay in use
    Given 4 upstreams
    When all four fail three times
    Then 2 are in use
