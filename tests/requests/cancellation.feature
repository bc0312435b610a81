Feature: No engine keeps working for nobody

  Scenario: a cancellation is repeated until the engine confirms it
    Given a generation to be cancelled after a grace of 5000 ms
    Then the engine is first asked after 5000 ms
    And it is asked again until it confirms

  Scenario: a reader that returns in time withdraws the cancellation
    Given a generation to be cancelled after a grace of 5000 ms
    When its reader returns after 4000 ms
    Then the engine is never asked to cancel it

  Scenario: an engine that is gone is not asked
    Given a generation to be cancelled after a grace of 0 ms
    When its engine leaves the list of upstreams
    Then the engine is never asked to cancel it
