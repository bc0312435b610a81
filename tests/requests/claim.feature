Feature: A keyed call runs at most once, and refusals are true

  Scenario: no order of store faults, crashes and repeats runs a call twice
    Then 120 random histories of a keyed call keep every promise

  Scenario Outline: the claim checks catch a broken build
    Then random histories of a keyed call that <fault> are caught

    Examples:
      | fault                                      |
      | takes over a claim whose owner is silent   |
      | takes an absent row for proof of no claim  |
      | goes on after giving up                    |
      | replaces a claim whose owner is gone       |

  Scenario: a commit whose answer was lost is found by its nonce
    Given a keyed call whose claim was committed without an answer
    Then the call is dispatched once
    And its outcome is stored over version 1

  Scenario: a store that is down leads to not_run in bounded time
    Given a keyed call while the store is down
    Then it ends as not_run within 3200 ms

  Scenario: the same key with another body is invalid
    Given a keyed call that finds the claim of another request
    Then the keyed call ends as invalid

  Scenario: a claim whose owner is gone is read once more
    Given a keyed call that finds a claim whose owner is gone
    Then it reads the row again before it ends as unknown

  Scenario: a holder that was paused past the deadline does not dispatch
    Given a keyed call whose VM is paused until after its deadline
    Then it is not dispatched and ends as not_run

  Scenario: claims are removed once they have outlived their retention
    Given claims that are 1, 71 and 73 hours old
    Then with a retention of 72 hours only the claim of 73 hours is expired
