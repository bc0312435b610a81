Feature: Fault-injecting proxy

  Background:
    Given an echo server behind a fault proxy
    And a working connection through the proxy

  Scenario: open connections become black holes while new ones work
    When the open connections become black holes
    Then a new connection through the proxy works
    And the old connection delivers no data and is not closed

  Scenario: open connections are reset
    When the open connections are reset
    Then the old connection reports a reset
    And a new connection through the proxy works

  Scenario: one direction is closed
    When the direction towards the caller is closed
    Then the old connection reads the end of data and can still send

  Scenario: new connections are refused
    Then new connections are refused until the fault is removed

  Scenario: bytes are delayed
    Then an echo takes at least twice the delay

  Scenario: links of a group share a rate limit
    Then two connections together do not exceed the shared rate

  Scenario: back-pressure loses no data
    Then a large body is echoed unchanged
