Feature: One thread forwards all undisturbed streams

  Scenario: tokens in order are forwarded and the end releases the stream
    Given a multiplexer with 2 streams
    When the engine of stream 0 sends the tokens 0 to 4 and ends
    Then the caller of stream 0 receives the tokens 0 to 4
    And stream 0 is released with 1 unhandled event
    And stream 1 is still forwarded

  Scenario: a token that is out of order is not forwarded
    Given a multiplexer with 1 streams
    When the engine of stream 0 sends the tokens 0 to 2 and then 7
    Then the caller of stream 0 receives the tokens 0 to 2
    And stream 0 is released to be resumed from 3

  Scenario: a caller that does not read blocks only its own stream
    Given a multiplexer with 2 streams
    When the caller of stream 0 reads nothing of a long text
    And the engine of stream 1 sends the tokens 0 to 4 and ends
    Then stream 0 is released with unsent bytes
    And the caller of stream 1 receives the tokens 0 to 4

  Scenario: a disconnected caller releases its stream
    Given a multiplexer with 1 streams
    When the caller of stream 0 has disconnected and a token is received
    Then stream 0 is released as broken

  Scenario: a silent engine releases the stream so that it is probed
    Given a multiplexer with 1 streams
    When nothing is received for longer than the silence limit
    Then stream 0 is released with nothing pending
