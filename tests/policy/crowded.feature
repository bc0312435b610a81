Feature: On overloaded engines the policy outperforms simple rules

  Seeded simulations of up to two minutes with engine models.

  Scenario: above capacity there are fewer preemptions and less stall time
    Given the requests of "nadroga" at 18 a second for 120 s
    When they run under "least-connections" and under "eelgrassknot"
    Then the second has at most a quarter of the first's preemptions
    And the second has at most a quarter of the first's stall time
    And the second has at least 97 percent of the first's goodput

  Scenario: no request without a token is lost with its engine
    Given the requests of "nadroga" at 9 a second for 60 s
    And an engine is lost after 30 s
    When they run under "eelgrassknot"
    Then every request has ended, is running, is queued or was refused

  Scenario: the same seed gives the same run
    Given the requests of "lagotermica" at 8 a second for 30 s
    When they run under "eelgrassknot" and under "eelgrassknot"
    Then both runs have the same results
