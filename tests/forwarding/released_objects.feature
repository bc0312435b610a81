@processes
Feature: What a request held is released when it ends

  Background:
    Given the platform's stand-in with two servers of each service
    And the limits of a real deployment with long timeouts
    And an entry VM in this process

  # Guards against bodies that are kept until the cyclic collector runs.
  Scenario Outline: <request> leaves nothing to the cyclic collector
    When <request> is sent three times while the collector is off
    Then the collector finds no object of the package
    And no callback of the loop has failed

    Examples:
      | request                                      |
      | a call that is answered                      |
      | a call whose caller leaves at once           |
      | a call whose server breaks off               |
      | a call with a large response                 |
      | a call without a route                       |
      | a body that stops short of its end           |
      | a malformed head                             |
      | a stream that is read to its end             |
      | a stream whose caller leaves in the middle   |
      | a stream whose engine refuses it             |
      | a stream whose engine breaks off             |
