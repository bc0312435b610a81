Feature: Parts of a daemon start in dependency order

  Scenario: each part starts after those that it depends on
    Given the parts "a after c", "b after a", "c"
    Then the start order is "c a b"

  Scenario: a dependency cycle is rejected with a remedy
    Given the parts "a after b", "b after a"
    Then ordering them fails with the remedy "remove one of the dependencies"
