Feature: Output lengths are predicted from finished and running requests

  Scenario: without observations the prediction is the broad prior
    Given a predictor without observations
    Then the probability of over 200 tokens is between 0.4 and 0.6

  Scenario: many short outputs reduce the probability of a long one
    Given a predictor that has seen 200 outputs of 50 tokens
    Then the probability of over 200 tokens is between 0.0 and 0.1

  Scenario: running requests count up to their present length
    Given a predictor that has seen 200 outputs of 50 tokens
    And 200 more requests run at 3000 tokens
    Then the probability of over 200 tokens is between 0.45 and 0.6

  Scenario: a class without observations uses those of its service
    Given a predictor that has seen 200 outputs of 50 tokens
    Then the probability of over 200 tokens for an unknown account is below 0.1

  Scenario: old observations lose weight when lengths change
    Given a predictor that has seen 200 outputs of 50 tokens
    When an hour passes and 100 outputs of 2000 tokens are seen
    Then the probability of over 200 tokens is between 0.85 and 1.0

  Scenario: probabilities lie between 0 and 1 and decrease with length
    Then for any observations probabilities lie in 0 to 1 and never increase
