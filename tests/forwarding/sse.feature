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

  # Guards against lines without end that pass as the answer of an engine.
  Scenario Outline: events without content are bounded
    Given an engine that sends <begin>, then 6000 times <event>
    When the response of the engine has been received
    Then the handling of the response <outcome>

    Examples:
      | begin             | event                | outcome      |
      | id: 1\ndata: x    | x                    | is cut off   |
      | id: 1\ndata: x    | event: ping          | is cut off   |
      | id: 1\ndata: x    | data: y              | is cut off   |
      | id: 2\ndata: x    | id: 1\ndata: y       | is cut off   |
      | id: 1\ndata: x    | id: 1\ndata: x       | is cut off   |
      | data: x           | event: ping          | is cut off   |
      | data: x           | x\n\n\n\n\n\n\n\n      | is cut off   |
      | data: x           | data: y              | goes on      |
      | event: start      | data: y              | goes on      |

  # Guards against a bound that ends a long sound stream.
  Scenario Outline: numbered events are not bounded
    Given an engine that sends 6000 events with increasing IDs and <field>
    When the response of the engine has been received
    Then the handling of the response goes on

    Examples:
      | field      |
      | data: x    |
      | version: 2 |

  # Guards against a sound stream that is cut off because engines have sent
  # signs of life in it.
  Scenario: comments between events are counted from the last event
    Given an engine that sends 100 times 1000 comments and an event
    When the response of the engine has been received
    Then the handling of the response goes on
