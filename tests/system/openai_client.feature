@processes
Feature: An unmodified OpenAI client

  Scenario: streaming, unstreamed answers, the list of models and errors
    Given a small deployment and an OpenAI client of an account
    Then it streams a completion of 12 tokens in order
    And it gets an unstreamed chat answer of 9 tokens
    And it lists the model "shop-assistant"
    And a wrong key raises the client's authentication error
    And an unknown model raises the client's not-found error
