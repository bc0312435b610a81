@processes
Feature: Daemons agree on one configuration, one membership and one lease

  Scenario: racing operators, a store outage, and a VM that starts during it
    Given a platform with an accepted text and the daemons "v0" and "v1"
    When two operators race while answers of the store are lost
    Then each text is accepted once or refused, and all daemons converge to one
    When the store is down and the daemon "v2" starts with a known peer
    Then "v2" is ready with the text of a peer
    When the daemon "v3" starts and knows no peer
    Then "v3" is not ready because neither the store nor a peer has provided the text
    When the store recovers and another text is accepted
    Then that text is in force at "v0 v1 v2 v3"

  Scenario: a zone without access to the store gets a newer text from peers
    Given a platform with an accepted text and the daemons "v0" and "v1"
    And a daemon "w0" in zone "z1" that accesses the store through a relay
    When the relay fails and another text is accepted
    Then that text is in force at "v0 v1 w0"
    And "w0" is ready and reports that its store has failed

  Scenario: a paused holder loses its lease and a replacement VM is accepted
    Given a platform with an accepted text and the daemons "v0" and "v1"
    When the holder of the lease is paused until its lease expires
    Then the other daemon takes over the lease with a higher epoch
    When the paused daemon resumes
    Then it logs the loss of the lease and the other daemon holds it
    When "v1" is killed and replaced by a daemon of the same name
    Then "v0" considers the new incarnation of "v1" live
    And the audit trail records a change of "v1"
    When the list of VMs marks the daemon "v1" as leaving
    Then "v0" considers "v1" leaving before its process has ended
