Feature: What a VM knows of the request limits of upstreams

  Scenario: a limit is stated, changed and withdrawn
    Given an upstream that stated a limit of 2.0 at 0 ms
    Then its limit is 2.0
    When it states a limit of 1.5 at 10 ms
    Then its limit is 1.5 and the change is changed
    When it states no limit at 20 ms
    Then it has no limit and the change is withdrawn
    When it states a limit of 3.0 at 30 ms
    Then its limit is 3.0 and the change is stated

  Scenario: an older reading that arrives late is ignored
    Given an upstream that stated a limit of 2.0 at 10 ms
    When it states no limit at 20 ms
    And it states a limit of 2.0 at 15 ms
    Then it has no limit and the change is none

  Scenario: a limit ends with the process that stated it
    Given an upstream that stated a limit of 2.0 at 0 ms
    When it is listed with another start at 10 ms
    Then it has no limit

  Scenario: a limit survives an outage that hides the upstream
    Given an upstream that stated a limit of 2.0 at 0 ms
    When it is not listed at 10 ms
    And it is not listed at 30000 ms
    And it is listed at 31000 ms
    Then its limit is 2.0

  Scenario: the limit of an upstream that is gone is forgotten
    Given an upstream that stated a limit of 2.0 at 0 ms
    When it is not listed at 10 ms
    And it is not listed at 70000 ms
    Then it has no limit
