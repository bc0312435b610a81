Feature: A work loop polls rarely while it has no work

  Scenario: the loop is called until all added work is done
    Given a work loop whose work takes 3 calls
    When work is added to the loop
    Then the loop makes 3 calls and then none

  Scenario: an exception in one call does not end the loop
    Given a work loop whose first call fails
    When work is added to the loop
    Then the loop makes another call
