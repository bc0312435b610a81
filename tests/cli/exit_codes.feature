@processes
Feature: Output and exit codes of the command line

  Scenario: a check needs no platform and lists all faults
    Given the directory of the example "nadroga"
    When the operator runs "config check text.json"
    Then the command ends with 0 and prints "the services text is valid"
    When the operator breaks the text in three places
    And the operator runs "config check text.json"
    Then the command ends with 1 and its errors name
      | path                            | remedy                           |
      | $.services[0].kind              | use engine, plain                |
      | $.client_accounts[1].weight     | write a number above 0           |
      | $.client_accounts[2].services[0] | add that service, or remove the name |
    When the operator runs "config check --json text.json"
    Then the command ends with 1 and prints JSON with 3 "faults"

  Scenario: services texts are accepted, shown, listed and audited
    Given the directory of the example "nadroga"
    And a platform
    When the operator runs "config accept --author ana text.json"
    Then the command ends with 0 and prints "accepted version 1"
    When the operator changes the weight of "mechanics" to 9
    And the operator runs "config accept --author ben --base-version 1 text.json"
    Then the command ends with 0 and prints "accepted version 2"
    When the operator runs "config accept --author cat --base-version 1 text.json"
    Then the command ends with 1 and its errors say "version 2 by ben was accepted first"
    When the operator runs "config show"
    Then the command ends with 0 and prints the text
    When the operator runs "config show --version 7"
    Then the command ends with 1 and its errors say "version 7"
    When the operator runs "config history --json"
    Then the command ends with 0 and prints JSON with 2 entries
    When the operator runs "audit"
    Then the command ends with 0 and prints "$.client_accounts[mechanics].weight: 4.0 -> 9"
    When the operator runs "audit --author ana --json"
    Then the command ends with 0 and prints JSON with 1 entries
    When the operator runs "audit --since 2001-01-01 --until 2001-01-02"
    Then the command ends with 0 and prints "no changes recorded"
    When the operator runs "orders"
    Then the command ends with 0 and prints "fencing"

  Scenario: an invalid services text changes nothing
    Given the directory of the example "lagotermica"
    And a platform
    When the operator runs "config accept text.json"
    And the operator breaks the text in three places
    And the operator runs "config accept text.json"
    Then the command ends with 1 and its errors say "3 faults; nothing was changed"
    When the operator runs "config history --json"
    Then the command ends with 0 and prints JSON with 1 entries

  Scenario: a services text is accepted once although answers were lost
    Given the directory of the example "nadroga"
    And a platform
    And the platform loses the next 2 answers of a commit
    When the operator runs "config accept text.json"
    Then the command ends with 0 and prints "accepted version 1"

  Scenario Outline: an unavailable platform is reported by the exit code
    Given the directory of the example "nadroga"
    And a platform that refuses all requests
    When the operator runs "<command>"
    Then the command ends with 3 and its errors say "remedy: "

    Examples:
      | command                 |
      | config accept text.json |
      | config history          |
      | status                  |
      | report                  |
      | audit                   |

  Scenario Outline: usage errors end with 2
    Given the directory of the example "nadroga"
    When the operator runs "<command>"
    Then the command ends with 2 and its errors say "<message>"

    Examples:
      | command                     | message            |
      | config accept text.json     | name the platform  |
      | config check nothing.json   | cannot read        |
      | report --json --csv         | choose one of      |
      | report --since yesterday    | cannot read the time |
      | init nadroga                | Missing argument 'directory' |

  Scenario: an unknown outcome is reported and a repetition is accepted once
    Given the directory of the example "nadroga"
    And a platform
    And the platform answers all commits with status 503
    When the operator runs "config accept --change c9 text.json"
    Then the command ends with 3 and its errors say "change id c9"
    When the platform accepts commits again
    And the operator runs "config accept --change c9 text.json"
    Then the command ends with 0 and prints "accepted version 1"
    When the operator runs "config accept --change c9 text.json"
    Then the command ends with 0 and prints "accepted version 1"

  Scenario: an example has private files and matching keys, and overwrites nothing
    Given an empty directory
    When the operator runs "init lagotermica --json ."
    Then the command ends with 0 and prints JSON with 10 entries
    And its files are readable only by their owner
    And each printed key has its hash in the text
    When the operator runs "init nadroga ."
    Then the command ends with 1 and its errors say "not empty"
