Feature: VMs know which of them live, leave and are gone

  Scenario: leaving is final under lost, late, repeated and shuffled news
    Given VMs that hear heartbeats in any order
    Then no leaver counts as live again and no replaced one returns

  Scenario: the check catches membership that forgets who leaves
    Given VMs that believe the last heartbeat alone
    Then the check on membership fails

  Scenario: a silent peer is suspected, and gone when all others miss it
    Given three VMs of a zone that hear one another each 1000 ms
    When "c" falls silent for 8000 ms
    Then "a" suspects "c" and does not count it as gone
    When "b" also says that it misses "c"
    And "c" stays silent for 8000 ms more
    Then "a" counts "c" as gone

  Scenario: a peer that only one VM cannot hear does not count as gone
    Given three VMs of a zone that hear one another each 1000 ms
    When "c" falls silent for 30000 ms
    Then "a" suspects "c" and does not count it as gone

  Scenario: a VM that stood still suspects nobody on waking
    Given three VMs of a zone that hear one another each 1000 ms
    When "a" stands still for 30000 ms
    Then "a" suspects nobody

  Scenario: jitter widens the silence that is allowed
    Given heartbeats with gaps of 200 ms and heartbeats between 20 and 800 ms
    Then a silence of 1200 ms is suspect for the former alone

  Scenario: a VM is replaced by another of the same name
    Given three VMs of a zone that hear one another each 1000 ms
    When "c" leaves and comes back as another incarnation
    Then "a" counts "c" as live and the former incarnation as ended

  Scenario: the list says live of the dead and nothing of the new
    Given three VMs of a zone that hear one another each 1000 ms
    When the list names "dead" as live and leaves "c" out
    Then "a" knows "dead" only as listed and "c" as live

  Scenario: a VM that only introduced itself is known where no list is read
    Given three VMs of a zone that hear one another each 1000 ms
    When "new" introduces itself and no list names it
    Then "a" knows the address of "new"
