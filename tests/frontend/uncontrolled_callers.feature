@processes @alone
Feature: The daemon serves ordinary callers beside callers that hold much

  Background:
    Given a daemon that is ready

  # Guards against bodies that are read though they have been refused.
  Scenario: bodies that are refused are not kept in memory
    When 60 callers of the daemon send bodies short of their end without a key
    Then the daemon is alive and has stayed under 150 MB
    And the daemon answers a request for its models
    When those callers of the daemon leave
    Then the daemon answers a request for its models
    And the daemon is alive and has stayed under 150 MB

  # Guards against threads that wait for requests.
  Scenario Outline: callers that send <what> do not keep others waiting
    When 400 callers of the daemon send <what>
    Then the daemon answers a request for its models
    And all of those callers are still connected
    And the daemon is alive and has stayed under 150 MB

    Examples:
      | what        |
      | nothing     |
      | half a head |
