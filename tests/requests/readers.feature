Feature: The newest reader of a generation supersedes the others

  Scenario: a caller that reconnects to three VMs has one reader
    Given readers at VMs a, b and c
    When the generation is read at a, then with a's cursor at b and at c
    Then only the reader at c remains
