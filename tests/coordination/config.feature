Feature: Services texts are accepted by compare-and-swap

  Scenario: accepted texts survive lost answers, delayed writes and races
    Given operators who accept texts by compare-and-swap
    Then no accepted text is lost and no refused text is in force

  Scenario: the check detects an acceptance that treats an absent row as a refusal
    Given operators who treat an absent row as a refusal
    Then the check on accepted texts fails

  Scenario: the check detects an acceptance without a condition
    Given operators who write without a condition
    Then the check on accepted texts fails

  Scenario: the outcome of a lost answer is looked up by the change id
    Given a table that loses the answer to the next acceptance
    When "ana" accepts a text
    Then version 1 by "ana" is current with its audit row

  Scenario: an author whose base version is outdated gets a conflict
    Given a table in which "ben" has accepted a text
    When "ana" accepts a text based on version 0
    Then the acceptance fails with a conflict with version 1 by "ben"

  Scenario: the history retains a bounded number of texts
    Given a table in which "ben" has accepted 53 texts
    Then the history holds versions 4 to 53

  Scenario: an audit row gives the path of each change
    Given a services text in which the timeout of service "quoter" changes
    Then the difference is reported at "$.services[quoter].timeout_ms"
    And the service "quoter" is reported as affected
