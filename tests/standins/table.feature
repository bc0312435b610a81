Feature: Transactional table of the platform's stand-in

  Scenario: transactions are atomic and versions never repeat
    Then after any transactions the table equals a simple model
