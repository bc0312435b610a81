@processes
Feature: The daemon as a process

  Scenario: a daemon whose part cannot start ends and says why
    Given a daemon whose address for callers is taken
    When that daemon is started
    Then it ends with exit code 1
    And its log names the part "callers" and a remedy
