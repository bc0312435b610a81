Feature: Daemons send each other signed messages and never block

  Background:
    Given the daemons "a" and "b" with links to each other

  Scenario: a message arrives with its sender
    When "a" sends "b" a heartbeat of version 7
    Then "b" hears version 7 from "a"

  Scenario: a question is answered, and one to nobody fails in time
    Then "a" gets from "b" the reply to a question
    And a question to "c" fails naming that no answer came

  Scenario: what is not signed, repeated, altered or for others is dropped
    When "b" is sent an unsigned, a repeated, an altered and a foreign message
    Then "b" has counted one rejection of each kind and heard one message

  Scenario: messages to a peer that does not read are dropped and counted
    When "a" sends 5000 heartbeats to a peer that reads nothing
    Then "a" has not blocked and has counted drops

  Scenario: a connection that has gone silent is replaced by a new one
    Given "a" reaches "b" through an intermediary
    When the intermediary loses track of the open connection
    Then "b" hears "a" again over a new connection

  Scenario: keys are rotated without losing a message
    Then messages pass in each step from key "old" to key "new"
    And after the last step messages signed by "old" are dropped

  Scenario: a replay of an earlier incarnation is dropped
    When "a" is replaced by another incarnation
    Then what the earlier incarnation had sent is dropped by "b"
