Feature: Model of a continuously batching engine

  Scenario: every generation produces each token once and ends
    Then any batch produces every token once, in order, within its memory

  Scenario: memory that fills mid-decode preempts the youngest
    Given an engine with memory for 100 tokens
    When generations "a" and "b" of 60 tokens each are submitted
    Then "b" is preempted and "a" ends first
    And both end with 60 tokens

  Scenario: an interactive generation goes before batch ones
    Given an engine with memory for 100 tokens
    When a batch generation "a" of 90 tokens is submitted
    And an interactive generation "b" of 40 tokens is submitted
    Then "a" is preempted and "b" ends first

  Scenario: a cached prefix makes the first token come sooner
    Given an engine with memory for 60000 tokens
    When the same prompt of 8000 bytes is run twice
    Then the second first token comes sooner

  Scenario: a generation id is never started twice
    Given an engine with memory for 1000 tokens
    When generation "a" is submitted twice
    Then it produces its tokens once

  Scenario: a cancelled generation gives its memory back
    Given an engine with memory for 1000 tokens
    When generation "a" is cancelled in the middle
    Then no memory is held and it produces no more
