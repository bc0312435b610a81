Feature: One line of key=value pairs for each event

  Scenario Outline: a value never breaks its line or its pair
    Then the log line of <value> is "<line>"

    Examples:
      | value         | line                            |
      | 'a.b:c'       | event=e key=a.b:c               |
      | 'two words'   | event=e key="two words"         |
      | ''            | event=e key=""                  |
      | 'x=1 y'       | event=e key="x=1 y"             |
      | 'a\nevent=f'  | event=e key="a\\nevent=f"       |
      | '\u2028'      | event=e key="\\u2028"           |
      | 3             | event=e key=3                   |
