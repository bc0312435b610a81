@processes
Feature: Report, metrics and secrets of a daemon process

  Scenario: requests appear in the report and no secret is disclosed
    Given a daemon with an engine, a plain service and known secrets
    When callers with good and bad keys use both services
    And the daemon leaves
    Then the report counts all requests and misses no interval
    And the audit trail names the author of the accepted services text
    And the status command shows the VM at the current version
    And no secret is in the logs, the metrics, the status, the report or the audit
