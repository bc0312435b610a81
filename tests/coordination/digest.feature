Feature: Zones exchange digests within a budget, whatever is lost

  Scenario: every upstream has two observers, and a death moves only its own
    Given 44 VMs and 444 upstreams of a zone
    Then each upstream is observed by two of them
    When one of them dies
    Then only its upstreams get another observer

  Scenario: the second observer polls once the first has fallen silent
    Given an upstream whose observers are "first" and "second"
    Then only "first" polls it
    When "first" falls silent for 6100 ms
    Then "second" polls it

  Scenario: what goes out never exceeds the budget and nothing starves
    Given a queue of 100 entries that all change before each exchange
    Then each exchange of 280 bytes takes 10 and each entry goes out in turn

  Scenario: an unchanged entry is told again, as messages may be lost
    Given a queue of 1 entries that was told
    Then it is told again after its refresh time and not before

  Scenario: a late load does not replace a newer one
    Given a digest that knows the load of "e1" at 200 ms of its clock
    When a peer's load of "e1" at 100 ms arrives
    Then the load of "e1" is still that of 200 ms

  Scenario: news of an earlier incarnation is not taken for its successor
    Given a digest that knows the load of "e1" at 200 ms of its clock
    When "e1" gets another address
    And a peer's load of the earlier "e1" arrives
    Then no load of "e1" is known

  Scenario: demand that has ended is told as zero once
    Given a digest with the demand of account "coral-resort"
    When its demand has ended
    Then zero is told once and then nothing

  Scenario: sums by service go to other zones with the leavers
    Given a digest that knows the load of "e1" at 200 ms of its clock
    Then the sum of the zone for "chat" counts 1 upstream and no leavers
    When "e1" says that it leaves
    Then the sum of the zone for "chat" names it as leaving

  Scenario: an observer that is cut off takes no upstream from the others
    Given an upstream that "a" cannot reach
    Then it counts as unreachable
    When "b" says that it reaches it
    Then it counts as reachable

  Scenario: two gateways a zone are linked to those of each other zone
    Given a VM that knows 3 zones of 4 entry VMs
    Then it is linked to its zone and, as a gateway alone, to 4 far VMs

  Scenario: a zone hears of a change of the list from its first reader
    Given a list of VMs in which one comes, one leaves and one is gone
    Then who is told the change knows the list as it was read
