@processes
Feature: Promises hold under random faults on real processes

  Scenario Outline: a short round with a fixed seed
    When a round with the seed <seed>, 3 entry VMs and 4 s of faults is played
    Then no promise is broken

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: each checker catches a broken build
    Given a record in which <fault>
    Then the checker <checker> alone finds it

    Examples:
      | fault                                            | checker                   |
      | a booking ran twice                              | runs_once                 |
      | a stream ran twice                               | runs_once                 |
      | a refused booking ran                            | not_run_is_true           |
      | a lookup got another's answer                    | answers_are_own           |
      | a stream lacks an event and looks complete       | streams_are_in_order      |
      | a stream has an event twice                      | streams_are_in_order      |
      | a booking ran with a key taken away 5 s before   | revoked_keys_open_nothing |
      | a process ended by itself                        | nobody_ends_by_itself     |
      | a VM did not serve again                         | all_recover               |

  Scenario: a record of a sound build breaks no promise
    Given a record of a sound build
    Then no checker finds anything
