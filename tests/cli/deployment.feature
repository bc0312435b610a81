@processes
Feature: Operators look at a deployment on its platform

  Scenario: a desired state that can be used
    Given an empty directory with the stand-in's desired state
    When the operator runs "deployment check state.json"
    Then the command ends with 0 and prints "version 1 can be used"

  Scenario: all that cannot work is listed, and no key is shown
    Given an empty directory with the stand-in's desired state
    And its routes name an unknown service, no weight, a twin and a late objective
    And two accounts share a key
    When the operator runs "deployment check state.json"
    Then the command ends with 1 and its errors name
      | path                | remedy                              |
      | $.routes["book"]    | add that service, or name another   |
      | $.routes["look"]    | give a service a weight above 0     |
      | $.routes["write"].objective | raise the timeout or lower the objective |
      | $.routes["twin"]    | remove one of the two, or change its prefix |
      | $.accounts["acme"]  | give each account keys of its own   |
    And no key is shown
    When the operator runs "deployment check --json state.json"
    Then the command ends with 1 and prints JSON with 5 "faults"

  Scenario: a state that cannot be read is refused with the field at fault
    Given an empty directory with the stand-in's desired state
    And its version is a word
    When the operator runs "deployment check state.json"
    Then the command ends with 3 and its errors say "$.version"

  Scenario: the status shows state, upstreams and entry VMs
    Given the platform's stand-in with two servers of each service
    And an empty directory
    And an entry cannot be read and an entry VM has written its row
    When the operator asks the stand-in's store for the status
    Then the command ends with 0 and prints "state version: 1"
    And the upstreams w1 and d2 are listed as live, the bad entry as unreadable
    And the entry VM vm-1 is listed

  Scenario: a store that is away is an error with a remedy
    Given the platform's stand-in with two servers of each service
    And an empty directory
    And the stand-in's store is away
    When the operator asks the stand-in's store for the status
    Then the command ends with 3 and its errors say "call again later"
