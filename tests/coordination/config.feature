Feature: Services texts are accepted by compare-and-swap

  Scenario: accepted texts survive lost answers, late writes and races
    Given operators who accept texts by compare-and-swap
    Then no accepted text is lost and no refused text is in force

  Scenario: the check catches acceptance that trusts an absent row
    Given operators who take an absent row for a refusal
    Then the check on accepted texts fails

  Scenario: the check catches acceptance without a condition
    Given operators who write without a condition
    Then the check on accepted texts fails

  Scenario: a lost answer is read back by the change id
    Given a table that loses the answer to the next acceptance
    When "ana" accepts a text
    Then version 1 by "ana" is current with its audit row

  Scenario: an author whose base is no longer current learns who won
    Given a table in which "ben" has accepted a text
    When "ana" accepts a text that started from version 0
    Then she is told of a conflict with version 1 by "ben"

  Scenario: the history keeps a bounded number of texts
    Given a table in which "ben" has accepted 53 texts
    Then the history holds versions 4 to 53

  Scenario: an audit row names what changed by its path
    Given a services text whose service "quoter" gets another timeout
    Then the difference is at "$.services[quoter].timeout_ms"
    And it concerns the service "quoter"
