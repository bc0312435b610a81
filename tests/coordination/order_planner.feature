Feature: Engine orders of a region

  Scenario: a new holder of the lease orders nothing while orders of an earlier one may arrive
    Given 3 engines that hold version "none"
    When the lease holder orders version "1"
    And 4 seconds pass at the engines
    Then no order was sent to the engines
    When 60 seconds pass at the engines
    Then all engines hold version "1"

  Scenario: weight loads keep the weight store's limit over a change of holder
    Given 6 engines that hold version "none"
    When with 4 loads a minute the lease holder orders "1"
    And 40 seconds pass at the engines
    And another VM gains the lease
    And 200 seconds pass at the engines
    Then all engines hold version "1"
    And no minute holds more than 4 weight loads

  Scenario: a rollout changes one engine first and keeps the floor
    Given 8 engines that hold version "1"
    When the lease holder orders version "2"
    And 12 seconds pass at the engines
    Then 1 engine was sent an order
    When 200 seconds pass at the engines
    Then all engines hold version "2"
    And at most 2 engines changed at one time

  Scenario: a rollout halts when the new version makes errors, and stays halted for the next holder
    Given 8 engines that hold version "1"
    And version "2" makes each request fail
    When the lease holder orders version "2"
    And 300 seconds pass at the engines
    Then 1 engine was sent an order
    And the rollout's record says "halted"
    When another VM gains the lease
    And 300 seconds pass at the engines
    Then 1 engine was sent an order
    When version "3" is in force
    And 300 seconds pass at the engines
    Then all engines hold version "3"

  Scenario: an engine that restarts in the middle of a load is ordered again
    Given 1 engine that holds version "none"
    When the lease holder orders version "1"
    And 8 seconds pass at the engines
    And engine "e0" restarts
    And 60 seconds pass at the engines
    Then all engines hold version "1"

  Scenario: no order is given before what the service depends on is available
    Given 2 engines that hold version "none"
    When after service "orderdesk" the lease holder orders "1"
    And 60 seconds pass at the engines
    Then no order was sent to the engines

  Scenario: an engine that knows of a later holder ends the holder's orders
    Given 3 engines that hold version "none"
    When the lease holder orders version "1"
    And an engine refuses the fencing number
    And 60 seconds pass at the engines
    Then no order was sent to the engines

  Scenario: no order of events takes a service below its floor or leaves it unfinished
    Then 60 random histories of restarts, takeovers and texts keep the floor and reach the target
