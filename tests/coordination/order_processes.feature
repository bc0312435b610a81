@processes
Feature: Daemons order engines under the lease of their region

  Scenario: a rollout goes on under another holder while the first is paused
    Given two daemons, an engine that checks fencing numbers and one that ignores them
    When the text asks the engines for version "2"
    Then both engines come to hold version "2"
    When the daemon that gives the orders is stopped past its lease
    And the text asks the engines for version "3"
    Then both engines come to hold version "3"
    When the daemon that gave the orders runs again
    And the text asks the engines for version "4"
    Then both engines come to hold version "4"
    And neither engine obeyed an earlier holder after a later one
    And the audit trail tells of each order that was taken
