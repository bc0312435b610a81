Feature: A VM adopts the newest services text and never an older one

  Scenario: the version in force never falls under lost and late messages
    Given a VM that hears of texts from its store and its peers
    Then its version in force never falls and it settles on the newest

  Scenario: the check catches a VM that applies whatever arrives
    Given a VM that applies whatever text arrives
    Then the check on adoption fails

  Scenario: the check catches a VM that serves before it has caught up
    Given a VM that says ready with any text
    Then the check on adoption fails

  Scenario: a VM that starts in an outage takes the text from a peer
    Given a VM whose store does not answer
    Then it is not ready as neither store nor peer has told the text
    When a peer tells version 4
    Then it asks that peer for the text
    When that text arrives
    Then it is ready with version 4

  Scenario: a text whose digest does not match is not applied
    Given a VM whose store does not answer
    When a peer tells version 4
    And a text arrives whose digest does not match
    Then it is not ready and has counted 1 corrupt text

  Scenario: a VM that knows of a newer text asks the other source in turn
    Given a VM whose store does not answer
    When a peer tells version 4
    And the peer does not answer for 2000 ms
    Then it asks the peer again, as the store has failed

  Scenario: peers that are behind are named
    Given a VM whose store does not answer
    When a peer tells version 4
    And another peer tells version 3
    Then the other peer is behind
