@processes
Feature: Daemons keep one configuration, one membership and one lease

  Scenario: racing operators, an outage, and a VM that starts in it
    Given a platform with an accepted text and the daemons "v0" and "v1"
    When two operators race while answers of the store are lost
    Then each text is either accepted once or refused, and all settle on one
    When the store is down and the daemon "v2" starts with a known peer
    Then "v2" is ready with the text of its peers
    When the daemon "v3" starts and knows no peer
    Then "v3" says that neither the store nor a peer has told the text
    When the store is back and another text is accepted
    Then that text is in force at "v0 v1 v2 v3"

  Scenario: a cut-off zone keeps its text and hears of a newer from peers
    Given a platform with an accepted text and the daemons "v0" and "v1"
    And a daemon "w0" in zone "z1" that reaches the store by an intermediary
    When the intermediary fails and another text is accepted
    Then that text is in force at "v0 v1 w0"
    And "w0" is ready and says that its store has failed

  Scenario: a paused holder loses its lease and a replaced VM is welcome
    Given a platform with an accepted text and the daemons "v0" and "v1"
    When the holder of the lease is stopped past its lease
    Then the other daemon takes the lease over with a higher epoch
    When the stopped daemon runs again
    Then it says that it has lost the lease and the other one holds it
    When "v1" is killed and another daemon takes its name
    Then "v0" knows the new incarnation of "v1" as live
    And the audit trail tells that "v1" has changed
    When the list of VMs turns the daemon "v1" to leaving
    Then "v0" knows "v1" as leaving before it has ended
