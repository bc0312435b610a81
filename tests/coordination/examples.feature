Feature: The library's examples run as they are written

  Scenario: each example in the coordination package gives what it says
    Then the examples of "eelgrassknot.coordination" run
