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

  Scenario: a call goes to an upstream without a limit while others give no permit
    Given the upstreams "a b" with the permit waits "500 none"
    Then 20 calls that can wait 200 ms go to "b"

  Scenario: a call goes to a limited upstream that has a permit
    Given the upstreams "a b" with the permit waits "0 900"
    Then 20 calls that can wait 200 ms go to "a"

  Scenario: a call that cannot get a permit in time is refused at once
    Given the upstreams "a b" with the permit waits "500 900"
    Then a call that can wait 200 ms is refused and may return after 500 ms

  Scenario: streams that cannot get a permit before their deadline are refused at once
    Given the engines "a b" with the permit waits "500 900" and 0.25 permits a second
    When 5 streams with a deadline of 6000 ms are queued
    Then 2 of them wait and the next may return after 8500 ms

  Scenario: a stream that is placed anew keeps its turn
    Given the engines "a" with the permit waits "none" and 1 permits a second
    When the streams "later" of 20 ms and "first" of 10 ms are queued
    Then "first" is placed before "later"

  # Guards against refusals while the only upstream without a limit is ejected
  # for failures that it answers among many good responses.
  Scenario: an ejected upstream that responds is used before a call is refused
    Given the upstreams "a b c" with the permit waits "500 500 none"
    When the upstream "c" fails 3 times by responses
    Then 20 calls that can wait 200 ms go to "c"

  Scenario: an upstream that does not respond stays ejected beside limited ones
    Given the upstreams "a b c" with the permit waits "500 900 none"
    When the upstream "c" fails 3 times without a response
    Then a call that can wait 200 ms is refused and may return after 500 ms

  Scenario: an ejected upstream stays ejected while others have no limit
    Given the upstreams "a b c" with the permit waits "500 none none"
    When the upstream "c" fails 3 times by responses
    Then 20 calls that can wait 200 ms go to "b"

  # Guards against the limit of a process that has ended, told by a peer that
  # has not heard of the restart.
  Scenario: the limit of an earlier process is not learnt from a peer
    Given an upstream that stated a limit of 2.0 at 0 ms
    When it is listed with another start at 10 ms
    And it states a limit of 2.0 at 20 ms
    Then it has no limit and the change is none

  # Guards against a clock that was set back when the upstream restarted.
  Scenario: an upstream whose clock was set back states a limit again
    Given an upstream that stated a limit of 2.0 at 0 ms
    When it is listed with an earlier start at 10 ms
    Then it has no limit
    When its new process states a limit of 3.0 at 20 ms
    Then its limit is 3.0 and the change is stated
