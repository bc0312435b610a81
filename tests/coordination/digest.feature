Feature: Peers and zones exchange digests within a byte budget

  Scenario: every upstream has two observers, and a failed VM's upstreams are reassigned
    Given 44 VMs and 444 upstreams of a zone
    Then each upstream is observed by two VMs
    When one VM fails
    Then only the upstreams of that VM get a new observer

  Scenario: the second observer polls once the first has stopped reporting
    Given an upstream whose observers are "first" and "second"
    Then only "first" polls it
    When "first" does not report for 6100 ms
    Then "second" polls it

  Scenario: digests stay within the budget and no entry starves
    Given a queue of 100 entries that all change before each digest
    Then each digest of 280 bytes takes 10 entries and all entries are sent in turn

  Scenario: an unchanged entry is sent again, as messages may be lost
    Given a queue whose 1 entry has been sent
    Then it is sent again after the refresh interval and not before

  Scenario: a delayed load does not replace a newer one
    Given a digest with the load of "e1" at 200 ms of its clock
    When a peer's load of "e1" at 100 ms arrives
    Then the load of "e1" is still the one at 200 ms

  Scenario: the load of an earlier incarnation is not attributed to its successor
    Given a digest with the load of "e1" at 200 ms of its clock
    When "e1" gets another address
    And a peer's load of the earlier incarnation of "e1" arrives
    Then no load of "e1" is known

  Scenario: demand that has ended is sent as zero once
    Given a digest with the demand of account "coral-resort"
    When its demand has ended
    Then zero is sent once and then nothing

  Scenario: load sums by service include leaving upstreams
    Given a digest with the load of "e1" at 200 ms of its clock
    Then the zone's sum for "chat" has 1 upstream and none leaving
    When "e1" reports that it is leaving
    Then the zone's sum for "chat" lists the upstream as leaving

  Scenario: an isolated observer does not make an upstream unavailable to others
    Given an upstream that "a" cannot reach
    Then it is considered unreachable
    When "b" reports that it can reach the upstream
    Then it is considered reachable

  Scenario: two gateways per zone are linked to the gateways of other zones
    Given 3 zones of 4 entry VMs
    Then each VM is linked to its zone and each gateway also to 4 remote VMs

  Scenario: a peer's list change reproduces the list as it was read
    Given a list of VMs in which one joins, one is leaving and one has gone
    Then applying the change to the old list gives the new list
