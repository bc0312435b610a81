Feature: A VM adopts the newest services text and never an older one

  Scenario: the version in force never decreases under lost and delayed messages
    Given a VM that receives texts from the store and its peers
    Then its version in force never decreases and converges to the newest

  Scenario: the check detects a VM that applies every received text
    Given a VM that applies every received text
    Then the check on adoption fails

  Scenario: the check detects a VM that reports ready without a text
    Given a VM that always reports ready
    Then the check on adoption fails

  Scenario: a VM that starts during a store outage fetches the text from a peer
    Given a VM whose store does not answer
    Then it is not ready because neither store nor peer has provided the text
    When a peer reports version 4
    Then it requests the text from that peer
    When that text arrives
    Then it is ready with version 4

  Scenario: a text whose digest does not match is not applied
    Given a VM whose store does not answer
    When a peer reports version 4
    And a text arrives whose digest does not match
    Then it is not ready and has counted 1 corrupt text

  Scenario: a VM that knows of a newer text retries after a timeout
    Given a VM whose store does not answer
    When a peer reports version 4
    And the peer does not answer for 2000 ms
    Then it requests the text from the peer again, as the store has failed

  Scenario: peers with an older text are listed
    Given a VM whose store does not answer
    When a peer reports version 4
    And another peer reports version 3
    Then the other peer is listed as outdated
