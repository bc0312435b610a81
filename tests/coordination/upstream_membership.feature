Feature: A leaving upstream gets no new work, whichever source reports it first

  Scenario Outline: the earliest report counts and is final
    Given an upstream "e1" that is listed as live
    When <source> reports that "e1" is leaving
    Then "e1" is leaving
    When the list still shows "e1" as live
    Then "e1" is leaving

    Examples:
      | source                  |
      | the engine or a peer    |
      | the platform's list     |

  Scenario: an upstream that replaces a leaving one is live
    Given an upstream "e1" that is listed as live
    When the engine or a peer reports that "e1" is leaving
    And "e1" is listed with another address
    Then "e1" is live
    When a delayed message reports that the earlier "e1" is leaving
    Then "e1" is live

  Scenario: an unreachable upstream returns once it can be reached
    Given an upstream "e1" that is listed as live
    When "e1" cannot be reached
    Then "e1" is leaving
    When "e1" can be reached again
    Then "e1" is live

  Scenario: a withheld upstream is live once it is no longer withheld
    Given an upstream "e1" that is listed as live
    When the text withholds "e1"
    Then "e1" is leaving
    When the text withholds nothing
    Then "e1" is live
