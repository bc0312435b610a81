Feature: A thread that rests while it has no work

  Scenario: work that is added is done, call by call, until there is none
    Given a loop whose work takes 3 calls
    When work is added
    Then the loop is called 3 times and rests

  Scenario: an error in one call does not end the loop
    Given a loop whose first call fails
    When work is added
    Then the loop is called again
