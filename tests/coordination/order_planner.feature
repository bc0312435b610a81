Feature: Engine orders of a region

  Scenario: a new lease holder gives no orders while those of an earlier one may arrive
    Given 3 engines that hold version "none"
    When the lease holder orders version "1"
    And 4 seconds pass at the engines
    Then no order was sent to the engines
    When 60 seconds pass at the engines
    Then all engines hold version "1"

  Scenario: weight loads respect the weight store's limit across a change of holder
    Given 6 engines that hold version "none"
    When the lease holder orders "1" at 4 loads a minute
    And 40 seconds pass at the engines
    And another VM gains the lease
    And 200 seconds pass at the engines
    Then all engines hold version "1"
    And no minute has more than 4 weight loads

  Scenario: a rollout updates one engine first and keeps enough engines serving
    Given 8 engines that hold version "1"
    When the lease holder orders version "2"
    And 12 seconds pass at the engines
    Then 1 engine was sent an order
    When 200 seconds pass at the engines
    Then all engines hold version "2"
    And at most 2 engines were updated at a time

  Scenario: a rollout halts if the new version fails requests, and stays halted under the next holder
    Given 8 engines that hold version "1"
    And version "2" makes each request fail
    When the lease holder orders version "2"
    And 300 seconds pass at the engines
    Then 1 engine was sent an order
    And the rollout's record has state "halted"
    When another VM gains the lease
    And 300 seconds pass at the engines
    Then 1 engine was sent an order
    When version "3" is in force
    And 300 seconds pass at the engines
    Then all engines hold version "3"

  Scenario: an engine that restarts during a load gets the order again
    Given 1 engine that holds version "none"
    When the lease holder orders version "1"
    And 8 seconds pass at the engines
    And engine "e0" restarts
    And 60 seconds pass at the engines
    Then all engines hold version "1"

  Scenario: no order is given before the dependencies of the service are available
    Given 2 engines that hold version "none"
    When the lease holder orders "1" with a dependency on service "orderdesk"
    And 60 seconds pass at the engines
    Then no order was sent to the engines

  Scenario: a holder stops giving orders when an engine knows a later holder
    Given 3 engines that hold version "none"
    When the lease holder orders version "1"
    And an engine refuses the fencing number
    And 60 seconds pass at the engines
    Then no order was sent to the engines

  Scenario: random histories keep enough engines serving and complete the rollout
    Then 60 random histories of restarts, takeovers and texts keep enough engines serving and reach the target
