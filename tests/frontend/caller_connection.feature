Feature: Whether a caller is gone

  Scenario: a caller that waits on a connection with a timeout is not gone
    Given a caller's connection with a timeout of 1 second
    Then the caller is not gone

  Scenario: a caller that closed its connection is gone
    Given a caller's connection with a timeout of 1 second
    When the caller closes it
    Then the caller is gone
