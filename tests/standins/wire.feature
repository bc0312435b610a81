Feature: Stand-ins as processes speak the wire formats

  Scenario: a generation is attached to, resumed and cancelled
    Given an engine's stand-in as a process
    When a generation of 5 tokens is streamed twice under one id
    Then both streams have the same 5 tokens and an end
    And it can be resumed from index 3
    And the engine ran one generation
    And a running generation can be cancelled, also twice
    And an unknown generation is not found

  Scenario: an order with an old fencing number is refused
    Given an engine's stand-in as a process
    Then an order with fencing number 7 is taken and one with 6 is refused
    And the ordered version is held after its load time

  Scenario: a leaving engine takes no new generation
    Given an engine's stand-in as a process
    When it is told to leave
    Then a new generation is refused as leaving

  Scenario: an answer that is lost after the commit took effect
    Given a platform's stand-in as a process
    When the answer of a transaction is lost
    Then its row is there
    And a repeat of the transaction conflicts

  Scenario: the list of VMs lags
    Given a platform's stand-in as a process
    When the list changes while it lags
    Then the earlier list is shown until it no longer lags

  Scenario: a plain service crosses answers and closes after executing
    Given a plain service's stand-in as a process
    Then a crossed answer names another request
    And a call that was closed was executed once
