Feature: Stand-in processes implement the wire formats

  Scenario: clients can attach to, resume and cancel a generation
    Given an engine's stand-in as a process
    When a generation of 5 tokens is streamed twice under one id
    Then both streams have the same 5 tokens and an end event
    And it can be resumed from index 3
    And the engine ran one generation
    And a running generation can be cancelled repeatedly
    And an unknown generation is not found

  Scenario: an order with a stale fencing number is refused
    Given an engine's stand-in as a process
    Then an order with fencing number 7 is accepted and one with 6 is refused
    And the ordered version is loaded after the load time

  Scenario: a leaving engine accepts no new generation
    Given an engine's stand-in as a process
    When it is told to leave
    Then a new generation is refused as leaving

  Scenario: a transaction takes effect although its answer is lost
    Given a platform's stand-in as a process
    When the answer of a transaction is lost
    Then its row exists
    And a repetition of the transaction conflicts

  Scenario: the list of VMs lags
    Given a platform's stand-in as a process
    When the list changes while it lags
    Then the earlier list is returned until the lag ends

  Scenario: a plain service swaps answers and closes after executing
    Given a plain service's stand-in as a process
    Then a crossed answer names another request
    And a call whose connection was closed was executed once
