Feature: One generation, each token once and in order

  Scenario: no order of events at a generation breaks what is promised
    Then 150 random histories of a generation keep every promise

  Scenario Outline: the generation checks catch a broken build
    Then random histories of a generation that <fault> are caught

    Examples:
      | fault                                   |
      | retries after its first delivered token |
      | takes tokens of other generations       |
      | takes tokens whatever their index       |
      | says not_run whatever was sent          |

  Scenario: a silent connection is replaced when the engine is ahead
    Given a streamed generation that has delivered 3 tokens
    When its connection is silent and the engine has produced 5
    Then it resumes from index 3 by another connection
    And the wait is charged to the link

  Scenario: a preempted generation is waited for and charged as preemption
    Given a streamed generation that has delivered 3 tokens
    When its connection is silent and the engine says preempted at 3
    Then it keeps its connection
    And after the next token 1000 ms later preemption_ms is 1000

  Scenario: a stalled generation ends as incomplete
    Given a streamed generation that has delivered 3 tokens
    When its connection is silent and each probe says running at 3
    Then it ends as incomplete because of stalled
    And fewer than 20 probes were sent

  Scenario: an engine that is dead before the first token is replaced
    Given a streamed generation that has delivered 0 tokens
    When its connections close until another upstream is wanted
    Then the old generation is cancelled and the outcome is still open

  Scenario: an answer that is not streamed is begun anew after its tokens
    Given a whole generation that has received 3 tokens
    When its engine forgets the generation
    Then the held tokens are discarded and another upstream is wanted

  Scenario: a caller that leaves has a grace in which to come back
    Given a streamed generation that has delivered 3 tokens
    When its caller leaves
    Then the generation is cancelled after a grace of 5000 ms

  Scenario: a superseded reader leaves the generation alone
    Given a streamed generation that has delivered 3 tokens
    When a newer reader takes it over
    Then the generation is not cancelled

  Scenario: the parts of the time add up
    Given a streamed generation that has delivered 3 tokens
    When its connection is silent and the engine says preempted at 3
    And it ends by its deadline
    Then the parts of its time add up to the whole

  Scenario: a caller that holds the whole answer is told that it is done
    Given a reader that resumes behind the last of 7 tokens
    When the engine ends the stream and says done at 7
    Then it ends as done because of already_complete
