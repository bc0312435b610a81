Feature: An upstream that leaves gets no new work, whoever says so first

  Scenario Outline: the earliest word counts and is final
    Given an upstream "e1" that is listed as live
    When <source> says that "e1" leaves
    Then "e1" is leaving
    When the list still says that "e1" is live
    Then "e1" is leaving

    Examples:
      | source                  |
      | the engine or a peer    |
      | the platform's list     |

  Scenario: an upstream that takes the place of a leaver is live
    Given an upstream "e1" that is listed as live
    When the engine or a peer says that "e1" leaves
    And "e1" is listed with another address
    Then "e1" is live
    When the former "e1" is said to leave by a late message
    Then "e1" is live

  Scenario: an upstream that cannot be reached returns when it can be
    Given an upstream "e1" that is listed as live
    When "e1" cannot be reached
    Then "e1" is leaving
    When "e1" can be reached again
    Then "e1" is live

  Scenario: an upstream that the text withholds is live once it does not
    Given an upstream "e1" that is listed as live
    When the text withholds "e1"
    Then "e1" is leaving
    When the text withholds nothing
    Then "e1" is live
