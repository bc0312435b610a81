Feature: Log lines of key=value pairs

  Scenario Outline: special characters in values are quoted and escaped
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

  Scenario: a stalled reader does not block callers
    Given a log writer whose stream blocks
    When 20000 ordinary lines and 100 warnings are logged
    Then no caller was blocked and the warnings are kept

  Scenario: ordinary lines above the rate limit are dropped and counted
    Given a log writer limited to 100 lines a second
    When 500 ordinary lines and 20 warnings are logged in one second
    Then 100 ordinary lines, 20 warnings and one count of 400 are written

  # Guards against a log that does not say how a process under load ended.
  Scenario: lines on the end of a process are written beyond the rate limit
    Given a log writer limited to 100 lines a second
    When 500 ordinary lines and the end of a process are logged in one second
    Then the lines on the end are written
