Feature: Tokens of a generation are delivered once and in order

  Scenario: no sequence of events violates an invariant
    Then 150 random histories of a generation satisfy all invariants

  Scenario Outline: the invariant checks detect a faulty generation
    Then random histories of a generation that <fault> violate an invariant

    Examples:
      | fault                                   |
      | retries after its first delivered token |
      | accepts tokens of other generations     |
      | accepts tokens with any index           |
      | reports not_run whatever was sent       |

  Scenario: a silent connection is replaced when the engine is ahead
    Given a streamed generation that has delivered 3 tokens
    When its connection is silent and the engine has produced 5
    Then it resumes from index 3 on another connection
    And the wait is charged to the link

  Scenario: a preempted generation is waited for and charged as preemption
    Given a streamed generation that has delivered 3 tokens
    When its connection is silent and the engine reports preempted at 3
    Then it keeps its connection
    And after the next token 1000 ms later preemption_ms is 1000

  Scenario: a stalled generation ends as incomplete
    Given a streamed generation that has delivered 3 tokens
    When its connection is silent and each probe reports running at 3
    Then it ends as incomplete because of stalled
    And fewer than 20 probes were sent

  Scenario: an engine that is dead before the first token is replaced
    Given a streamed generation that has delivered 0 tokens
    When its connections close until another upstream is requested
    Then the old generation is cancelled and the request has not ended

  Scenario: an answer that is not streamed is restarted after its first tokens
    Given a generation that is not streamed and has received 3 tokens
    When its engine no longer knows the generation
    Then the buffered tokens are discarded and another upstream is requested

  Scenario: a caller that disconnects has a grace period to reconnect
    Given a streamed generation that has delivered 3 tokens
    When its caller disconnects
    Then the generation is cancelled after a grace period of 5000 ms

  Scenario: a superseded reader does not cancel the generation
    Given a streamed generation that has delivered 3 tokens
    When a newer reader takes it over
    Then the generation is not cancelled

  Scenario: the parts of the time sum to the total
    Given a streamed generation that has delivered 3 tokens
    When its connection is silent and the engine reports preempted at 3
    And its deadline passes
    Then the parts of its time sum to the total

  Scenario: a caller that already has the complete answer gets done
    Given a reader that resumes after the last of 7 tokens
    When the engine ends the stream and reports done at 7
    Then it ends as done because of already_complete
