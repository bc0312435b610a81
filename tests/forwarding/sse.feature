Feature: Events of a stream are read whatever their fields hold

  # Guards against an ID that cannot be converted and ends the handling of
  # what was received with it.
  Scenario Outline: an ID of many digits does not keep the next event back
    Given an engine that sends an event whose ID has <digits> digits, then one with the ID 1
    When the response of the engine has been received
    Then the events have the IDs <found>

    Examples:
      | digits | found                 |
      | 18     | 777777777777777777, 1 |
      | 19     | none, 1               |
      | 5000   | none, 1               |
