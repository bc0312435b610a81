Feature: The doctest examples pass

  Scenario: all examples of the coordination package produce the documented results
    Then the examples of "eelgrassknot.coordination" pass
