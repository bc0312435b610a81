Feature: Fault-injecting proxy

  Background:
    Given an echo server behind a fault proxy
    And a connection through the proxy that works

  Scenario: open connections fall silent for good while new ones work
    When the open connections fall silent
    Then a new connection through the proxy works
    And nothing comes over the old connection, nor is it closed

  Scenario: open connections are reset
    When the open connections are reset
    Then the old connection reports a reset
    And a new connection through the proxy works

  Scenario: one direction is closed
    When the direction towards the caller is closed
    Then the old connection reads its end and can still send

  Scenario: new connections are refused
    Then new connections are refused until that is undone

  Scenario: bytes are delayed
    Then an echo takes at least twice the delay

  Scenario: links of a group share a rate
    Then two connections together get no more than the shared rate

  Scenario: back-pressure loses nothing
    Then a large body comes back unharmed
