Feature: A service is offered only while what it depends on is available

  Background:
    Given services where "write-ups" depends on "desk" and "desk" depends on "stock"

  Scenario: all are offered while each has a live upstream
    When live upstreams serve "write-ups desk stock"
    Then a request for "write-ups" is not refused for a dependency

  Scenario: a dependency of a dependency is missing
    When live upstreams serve "write-ups desk"
    Then a request for "write-ups" is refused for a dependency
    And a request for "desk" is refused for a dependency

  Scenario: the last upstream of a dependency is withheld, then given back
    When live upstreams serve "write-ups desk stock"
    And the upstream of "stock" is withheld
    Then a request for "write-ups" is refused for a dependency
    When nothing is withheld
    Then a request for "write-ups" is not refused for a dependency
