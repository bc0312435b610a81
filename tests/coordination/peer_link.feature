Feature: Daemons exchange signed messages without blocking

  Background:
    Given the daemons "a" and "b" with links to each other

  Scenario: a message arrives with its sender
    When "a" sends "b" a heartbeat of version 7
    Then "b" receives version 7 from "a"

  Scenario: a query is answered, and one to an unknown peer times out
    Then "a" receives the reply of "b" to a query
    And a query to "c" fails because no answer was received

  Scenario: unsigned, replayed, altered and misdirected messages are dropped
    When "b" is sent an unsigned, a replayed, an altered and a misdirected message
    Then "b" has counted the rejections of each kind and received one message

  Scenario: messages to a peer that does not read are dropped and counted
    When "a" sends 5000 heartbeats to a peer that does not read
    Then "a" has not blocked and has counted drops

  Scenario: a connection that has gone silent is replaced
    Given "a" is connected to "b" through a relay
    When the relay stops forwarding on the open connection
    Then "b" receives from "a" again over a new connection

  Scenario: keys are rotated without losing messages
    Then messages are accepted in each step of the rotation from key "old" to key "new"
    And after the last step messages signed with "old" are dropped

  Scenario: a replay of an earlier incarnation is dropped
    When "a" is replaced by another incarnation
    Then a message of the earlier incarnation is dropped by "b"
