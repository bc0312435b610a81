Feature: A service is available only while its dependencies are

  Background:
    Given services where "write-ups" depends on "desk" and "desk" depends on "stock"

  Scenario: all services are available while each has a live upstream
    When live upstreams serve "write-ups desk stock"
    Then a request for "write-ups" is not refused for a dependency

  Scenario: an indirect dependency has no upstream
    When live upstreams serve "write-ups desk"
    Then a request for "write-ups" is refused for a dependency
    And a request for "desk" is refused for a dependency

  Scenario: the last upstream of a dependency is withheld, then released
    When live upstreams serve "write-ups desk stock"
    And the upstream of "stock" is withheld
    Then a request for "write-ups" is refused for a dependency
    When nothing is withheld
    Then a request for "write-ups" is not refused for a dependency
