Feature: Generations without a reader are cancelled

  Scenario: a cancellation is repeated until the engine confirms it
    Given a generation to be cancelled after a grace period of 5000 ms
    Then the first cancellation request is due after 5000 ms
    And the request is repeated until the engine confirms it

  Scenario: a reader that returns in time withdraws the cancellation
    Given a generation to be cancelled after a grace period of 5000 ms
    When its reader returns after 4000 ms
    Then no cancellation request is sent

  Scenario: no request is sent to an engine that is no longer listed
    Given a generation to be cancelled after a grace period of 0 ms
    When its engine is removed from the list of upstreams
    Then no cancellation request is sent
