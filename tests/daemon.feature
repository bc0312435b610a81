@processes
Feature: The daemon as a process

  Scenario: a daemon exits and logs the reason if a part cannot start
    Given a daemon whose address for callers is in use
    When that daemon is started
    Then it exits with code 1
    And its log names the part "callers" and a remedy
