Feature: Output lengths are predicted from finished and running requests

  Scenario: with no observation the broad prior answers
    Given a predictor that has seen nothing
    Then the chance of over 200 tokens is between 0.4 and 0.6

  Scenario: many short outputs lower the chance of a long one
    Given a predictor that has seen 200 outputs of 50 tokens
    Then the chance of over 200 tokens is between 0.0 and 0.1

  Scenario: requests that still run count as far as they have come
    Given a predictor that has seen 200 outputs of 50 tokens
    And 200 more requests run at 3000 tokens
    Then the chance of over 200 tokens is between 0.45 and 0.6

  Scenario: a thin class leans on its service
    Given a predictor that has seen 200 outputs of 50 tokens
    Then the chance of over 200 tokens for an unknown account is below 0.1

  Scenario: old observations fade when lengths change
    Given a predictor that has seen 200 outputs of 50 tokens
    When an hour passes and 100 outputs of 2000 tokens are seen
    Then the chance of over 200 tokens is between 0.85 and 1.0

  Scenario: chances are probabilities that fall with length
    Then for any observations chances lie in 0 to 1 and never rise
