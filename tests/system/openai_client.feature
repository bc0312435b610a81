@processes
Feature: An unmodified OpenAI client

  Scenario: it streams, does not stream, lists models and gets typed errors
    Given a small deployment and an OpenAI client of an account
    Then it streams a completion of 12 tokens in order
    And it gets a whole chat answer of 9 tokens
    And it lists the model "shop-assistant"
    And a wrong key raises its authentication error
    And an unknown model raises its not-found error
