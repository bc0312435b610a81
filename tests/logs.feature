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

  Scenario: a reader that stands still makes no caller wait
    Given a log writer whose stream takes nothing
    When 20000 ordinary lines and 100 warnings are logged
    Then none had to wait for it and the warnings are kept

  Scenario: ordinary lines beyond the number a second are left out and counted
    Given a log writer that takes 100 lines a second
    When 500 ordinary lines and 20 warnings are logged in one second
    Then 100 ordinary lines, 20 warnings and one count of 400 are written
