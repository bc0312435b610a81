Feature: Detection of disconnected callers

  Scenario: a caller that waits on a connection with a timeout is connected
    Given a caller's connection with a timeout of 1 second
    Then the caller is still connected

  Scenario: a caller that closed its connection is disconnected
    Given a caller's connection with a timeout of 1 second
    When the caller closes it
    Then the caller is disconnected
