Feature: A keyed call runs at most once and its outcome is reported correctly

  Scenario: no sequence of store faults, crashes and retries runs a call twice
    Then 120 random histories of a keyed call satisfy all invariants

  Scenario Outline: the invariant checks detect a faulty claim
    Then random histories of a keyed call that <fault> violate an invariant

    Examples:
      | fault                                           |
      | takes over a claim whose owner does not respond |
      | treats an absent row as proof of no claim       |
      | continues after giving up                       |
      | replaces a claim whose owner is gone            |

  Scenario: a commit whose response was lost is recognised by its nonce
    Given a keyed call whose claim was committed but its response lost
    Then the call is dispatched once
    And its outcome replaces version 1 of the row

  Scenario: an unavailable store leads to not_run in bounded time
    Given a keyed call while the store is unavailable
    Then it ends as not_run within 3200 ms

  Scenario: the same key with another body is invalid
    Given a keyed call that finds the claim of another request
    Then the keyed call ends as invalid

  Scenario: a claim whose owner is gone is read again
    Given a keyed call that finds a claim whose owner is gone
    Then it reads the row again before it ends as unknown

  Scenario: a holder that was paused past the deadline does not dispatch
    Given a keyed call whose VM is paused until after its deadline
    Then it is not dispatched and ends as not_run

  Scenario: claims are removed after the retention period
    Given claims that are 1, 71 and 73 hours old
    Then with a retention of 72 hours only the claim of 73 hours is expired
