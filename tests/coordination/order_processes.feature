@processes
Feature: Daemons order engines under the lease of their region

  Scenario: a rollout continues under another holder while the first one is paused
    Given two daemons, an engine that checks fencing numbers and one that ignores them
    When the services text specifies version "2"
    Then both engines eventually hold version "2"
    When the daemon that gives the orders is paused until its lease expires
    And the services text specifies version "3"
    Then both engines eventually hold version "3"
    When the daemon that gave the orders resumes
    And the services text specifies version "4"
    Then both engines eventually hold version "4"
    And neither engine accepted an order of an earlier holder after one of a later holder
    And the audit trail records each accepted order
