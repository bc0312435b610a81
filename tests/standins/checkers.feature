Feature: Checkers of the users' invariants

  Scenario: a sound history holds
    Given a sound history of a round
    Then the checkers find nothing

  Scenario Outline: each checker catches a broken history
    Given a sound history of a round
    When the history is broken by <fault>
    Then only the checker <checker> finds it

    Examples:
      | fault                               | checker                 |
      | a token delivered twice             | tokens_once_in_order    |
      | a token left out                    | tokens_once_in_order    |
      | two tokens in the wrong order       | tokens_once_in_order    |
      | a tail from another generation      | one_generation          |
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
      | new work to an upstream that leaves | leavers_get_nothing_new |
      | a drain that fails                  | drain_cuts_nothing      |
      | a request cut by a drain            | drain_cuts_nothing      |
      | a config version that falls         | config_never_falls      |
      | a config that does not spread       | config_spreads          |

  Scenario: any one change of a token is caught
    Then any token dropped, repeated or swapped in any answer is caught
