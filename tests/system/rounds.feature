@processes
Feature: Fault rounds with real processes

  Scenario Outline: the invariants hold during faults
    When a small round of <deployment> with seed <seed> runs with <faults>
    Then no checker finds a violation
    And streams and calls were answered

    Examples:
      | deployment  | seed | faults                           |
      | nadroga     | 13   | zone_partition,daemon_killed     |
      | lagotermica | 12   | daemon_drained,engine_killed     |

  Scenario: the checkers detect daemons that violate the invariants
    When a small round runs with daemons that have all defects
    Then these checkers find violations:
      | checker              |
      | tokens_once_in_order |
      | whole_answer         |
      | at_most_once         |
      | not_run_never_ran    |
      | drain_cuts_nothing   |
      | config_never_falls   |
