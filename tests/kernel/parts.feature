Feature: Parts of a daemon start in order of need

  Scenario: each part comes after those that it needs
    Given the parts "a after c", "b after a", "c"
    Then the start order is "c a b"

  Scenario: a cycle of needs is refused with a remedy
    Given the parts "a after b", "b after a"
    Then ordering them fails naming the remedy "remove one of the needs"
