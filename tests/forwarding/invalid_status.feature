Feature: A response with an invalid status is no answer

  # Guards against a status outside 100 to 599 that reaches the caller (RFC
  # 9110, section 15).
  Scenario Outline: a <kind> whose server answers <version> <status>
    Given a VM with one server of each service in simulated time
    When a <kind> is answered with the status line <version> <status>
    Then the caller gets 502 with the outcome unknown

    Examples:
      | kind    | version  | status |
      | booking | HTTP/1.1 | 000    |
      | booking | HTTP/1.1 | 099    |
      | booking | HTTP/1.1 | 0      |
      | booking | HTTP/1.1 | 600    |
      | booking | HTTP/1.1 | 700    |
      | booking | HTTP/1.1 | 999    |
      | booking | HTTP/1.0 | 000    |
      | booking | HTTP/1.0 | 700    |
      | stream  | HTTP/1.1 | 000    |
      | stream  | HTTP/1.1 | 600    |
      | stream  | HTTP/1.1 | 999    |
      | stream  | HTTP/1.0 | 700    |

  Scenario Outline: a <kind> whose server answers a valid rare status
    Given a VM with one server of each service in simulated time
    When a <kind> is answered with the status line HTTP/1.1 <status>
    Then the caller gets <status>

    Examples:
      | kind    | status |
      | booking | 599    |
      | booking | 299    |
      | stream  | 599    |
