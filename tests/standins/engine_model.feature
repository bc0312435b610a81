Feature: Simulation of an engine with continuous batching

  Scenario: every generation produces each token once and ends
    Then any batch produces every token once, in order, within its memory

  Scenario: the youngest generation is preempted if memory runs out
    Given an engine with memory for 100 tokens
    When generations "a" and "b" of 60 tokens each are submitted
    Then "b" is preempted and "a" ends first
    And both end with 60 tokens

  Scenario: an interactive generation takes precedence over batch ones
    Given an engine with memory for 100 tokens
    When a batch generation "a" of 90 tokens is submitted
    And an interactive generation "b" of 40 tokens is submitted
    Then "a" is preempted and "b" ends first

  Scenario: a cached prefix reduces the time to the first token
    Given an engine with memory for 60000 tokens
    When the same prompt of 8000 bytes is run twice
    Then the first token of the second run takes less time

  Scenario: a generation id is started only once
    Given an engine with memory for 1000 tokens
    When generation "a" is submitted twice
    Then it produces its tokens once

  Scenario: a cancelled generation releases its memory
    Given an engine with memory for 1000 tokens
    When generation "a" is cancelled while it is running
    Then no memory is used and no further tokens are produced
