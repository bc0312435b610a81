Feature: One thread carries the streams that go well

  Scenario: tokens in order are passed on and the end is handed back
    Given a lane with 2 streams
    When the engine of stream 0 sends the tokens 0 to 4 and ends
    Then the caller of stream 0 gets the tokens 0 to 4
    And stream 0 is handed back with 1 event
    And stream 1 is still carried

  Scenario: a token that is out of order is handed back, not passed on
    Given a lane with 1 streams
    When the engine of stream 0 sends the tokens 0 to 2 and then 7
    Then the caller of stream 0 gets the tokens 0 to 2
    And stream 0 is handed back to be resumed from 3

  Scenario: a caller that does not read stops its own stream alone
    Given a lane with 2 streams
    When the caller of stream 0 reads nothing of a long text
    And the engine of stream 1 sends the tokens 0 to 4 and ends
    Then stream 0 is handed back with bytes that were not sent
    And the caller of stream 1 gets the tokens 0 to 4

  Scenario: a caller that has gone ends its ride
    Given a lane with 1 streams
    When the caller of stream 0 is gone and a token comes
    Then stream 0 is handed back as broken

  Scenario: a silent engine gives the stream back to be probed
    Given a lane with 1 streams
    When nothing comes for longer than the silence limit
    Then stream 0 is handed back with nothing
