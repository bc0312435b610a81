Feature: Transactional table of the platform's stand-in

  Scenario: transactions are all or nothing and versions never repeat
    Then any transactions leave the table as a simple model has it
