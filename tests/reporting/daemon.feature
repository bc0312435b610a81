@processes
Feature: A daemon's report, metrics and secrets, as processes

  Scenario: requests show in the report of all formats, and no secret does
    Given a daemon with an engine, a plain service and known secrets
    When callers with good and bad keys use both services
    And the daemon leaves
    Then the report counts all requests and misses no interval
    And the audit trail names who accepted the text
    And the status command shows the VM at the version in force
    And no secret is in the logs, the metrics, the status, the report or the audit
