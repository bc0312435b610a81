Feature: Calls to plain services are retried according to their class

  Scenario Outline: an attempt that receives no answer
    Given a plain call of class <class>
    When its attempt fails and <bytes>
    Then the plain call <next>

    Examples:
      | class      | bytes            | next                        |
      | idempotent | bytes were sent  | is sent again after a delay |
      | idempotent | no byte was sent | requests another upstream   |
      | once       | bytes were sent  | ends as unknown             |
      | once       | no byte was sent | requests another upstream   |
      | keyed      | bytes were sent  | ends as unknown             |
      | keyed      | no byte was sent | requests another upstream   |

  Scenario Outline: the answer to another request is never delivered
    Given a plain call of class <class>
    When its attempt is answered with another request's answer
    Then the plain call <next>

    Examples:
      | class      | next                        |
      | idempotent | is sent again after a delay |
      | once       | ends as unknown             |

  Scenario: a refused call that was never sent is not_run
    Given a plain call of class once
    When its attempt fails and no byte was sent
    And the dispatcher refuses it
    Then the plain call ends as not_run

  Scenario: an idempotent call keeps the answer of a failing upstream
    Given a plain call of class idempotent
    When its attempt is answered with the status 503
    And its delay is over and the dispatcher refuses it
    Then the plain call ends as failed

  Scenario: only calls that may run once need a new connection
    Then a plain call of class once needs a new connection
    And a plain call of class keyed needs a new connection

  Scenario: delays are decorrelated and bounded
    Then 1000 delays lie between 20 and 1000 ms and differ by seed

  Scenario: a stored answer has the same outcome as for the first caller
    Then an answer with the status 500 indicates failed
    And an answer with the status 404 indicates done
