Feature: Clocks in milliseconds

  Scenario: a manual clock changes only when it is advanced
    Given a manual clock
    When it is advanced by 250 ms
    Then it shows 250 ms

  Scenario: a manual clock cannot be moved back
    Given a manual clock
    Then moving it back by 1 ms raises an error
