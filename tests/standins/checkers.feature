Feature: Checkers of the required invariants

  Scenario: a valid history has no violations
    Given a valid history of a round
    Then the checkers find no violation

  Scenario Outline: each checker detects its violation
    Given a valid history of a round
    When the history is changed to contain <fault>
    Then only the checker <checker> finds a violation

    Examples:
      | fault                               | checker                 |
      | a token delivered twice             | tokens_once_in_order    |
      | a missing token                     | tokens_once_in_order    |
      | two tokens in the wrong order       | tokens_once_in_order    |
      | a token of another generation       | one_generation          |
      | tokens of another request           | own_tokens              |
      | an end before the last token        | whole_answer            |
      | the answer of another call          | own_answer              |
      | two answers to one key              | same_answer             |
      | a refused call that ran             | not_run_never_ran       |
      | a refused generation that ran       | not_run_never_ran       |
      | a keyed call that ran twice         | at_most_once            |
      | an unkeyed call that ran twice      | at_most_once            |
      | an answer to a call that never ran  | done_ran                |
      | an answer that never comes          | nothing_dropped         |
      | new work on a leaving upstream      | leavers_get_nothing_new |
      | a drain that fails                  | drain_cuts_nothing      |
      | a request cut by a drain            | drain_cuts_nothing      |
      | a decreasing config version         | config_never_falls      |
      | a config that does not propagate    | config_spreads          |

  Scenario: any single change of the token sequence is detected
    Then any token dropped, repeated or swapped in any answer is detected
