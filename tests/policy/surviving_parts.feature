Feature: The parts of prompts that have survived are kept in a bounded table

  # Guards against a table that grows with each prompt of many parts.
  Scenario: the table is bounded, and the least recent survivals leave it
    Given a table in which the part "old" and then the part "kept" survived
    When 200 prompts with 300 new parts each survive, and "kept" with each
    Then the table has no more than 32768 parts
    And the part "kept" is known and the part "old" is not

  # Guards against one prompt that displaces what is known of all others.
  Scenario: one prompt adds only some of its parts
    Given a table in which the part "old" and then the part "kept" survived
    When a prompt with 50000 new parts survives, and "kept" with it
    Then the table has no more than 258 parts
    And the part "kept" is known
    And the part "old" is known

  # Guards against survivals that clear a part for too long.
  Scenario: a survival expires
    Given a table in which the part "old" and then the part "kept" survived
    When the survivals before that of "kept" expire
    Then the part "kept" is known and the part "old" is not
