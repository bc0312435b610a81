Feature: Entry VMs discover each other and exchange their load

  Scenario: a small deployment forms a full mesh
    Given 3 zones of 3 entry VMs that exchange their load
    Then each VM is linked to 8 others and is no gateway
    When each VM places 5 runs at the engine e1 and 200 ms pass
    Then each VM counts 45 runs at e1

  Scenario: a large deployment links VMs by zone, and zones through two gateways each
    Given 6 zones of 10 entry VMs that exchange their load
    When the VMs run for 2000 ms
    Then each zone has 2 gateways that are linked to 10 far VMs
    And no other VM is linked to more than 9

  Scenario: each VM of a large deployment counts every placement once
    Given 6 zones of 10 entry VMs that exchange their load
    When the VMs run for 2000 ms
    And each VM places 5 runs at the engine e1 and 1500 ms pass
    Then each VM counts 300 runs at e1

  Scenario: the message rate of a VM depends on its zone, not on the deployment
    Given 6 zones of 10 entry VMs that exchange their load
    When the VMs run for 2000 ms
    And each VM places a run every 100 ms for 5000 ms
    Then no VM sends over 150 messages a second about its own load
    And no gateway sends over 400 a second in all

  # "Hundreds of VMs in six zones": each message costs every VM of a zone.
  Scenario: the digests of other zones are relayed by one gateway of a zone
    Given 6 zones of 10 entry VMs that exchange their load
    When the VMs run for 5000 ms
    Then no ordinary VM receives over 15 digests a second while they run for 5000 ms

  Scenario: the other gateway relays when the first one stops
    Given 6 zones of 10 entry VMs that exchange their load
    When the VMs run for 2000 ms
    And the first gateway of each zone stops and 5000 ms pass
    And each VM places 5 runs at the engine e1 and 1500 ms pass
    Then each VM counts 270 runs at e1

  Scenario: a gateway that stops is replaced on both sides
    Given 6 zones of 10 entry VMs that exchange their load
    When the VMs run for 2000 ms
    And both gateways of the zone z0 stop and 5000 ms pass
    And each VM places 5 runs at the engine e1 and 1500 ms pass
    Then each VM counts 290 runs at e1

  Scenario: the load of a partitioned zone expires, its VMs keep serving
    Given 6 zones of 10 entry VMs that exchange their load
    When the VMs run for 2000 ms
    And each VM places 5 runs at the engine e1 and 1500 ms pass
    And the zone z5 is partitioned and 5000 ms pass
    Then each VM of z5 counts 50 runs at e1
    And each VM of z0 counts 250 runs at e1

  Scenario: the row of a stopped VM is deleted by one VM of its zone
    Given 6 zones of 4 entry VMs that exchange their load
    When the VMs run for 2000 ms
    And the VM z1-2 stops and 61000 ms pass
    Then exactly one VM expires z1-2 and nothing else expires

  Scenario: a live VM whose row was deleted writes it again
    Given a peer discovery whose row was deleted by another VM
    When it reads the rows
    Then its row is in the store again

  Scenario: an unreadable row is skipped, the others are used
    Given a peer discovery with a peer b and a row of invalid JSON
    When it reads the rows
    Then it is linked only to b

  # Guards against links that are closed because a copy of the store lacks the
  # row of a live VM, or has an earlier one.
  Scenario: live peers keep their addresses when the store is restored
    Given a peer discovery with the live peers b and c in its zone
    When the store is restored to rows without b and with another address of c
    And it reads the rows
    Then it is linked to b and c as before
    When all VMs have written their rows and it reads them
    Then it is linked to b and c as before

  # Guards against VMs that sign with different keys after a restoration.
  Scenario: the shared key of a restored store is adopted
    Given a peer discovery with the live peers b and c in its zone
    When the store is restored to rows with another shared key
    And it reads the rows
    Then it signs with that key and accepts both

  Scenario: one VM of a zone watches a table, and others take over in turn if it is silent
    Given a zone of 10 VMs that have read a table as of 10000 ms
    Then 1 of them watches it at 10100 ms
    And 1 of them watches it at 13150 ms
    And 2 of them watch it at 13400 ms
    And 10 of them watch it at 14200 ms

  Scenario: VMs that start together do not all watch the table they have just read
    Given a zone of 10 VMs that start and read a table at 10000 ms
    Then 0 of them watch it at 10900 ms
    And 1 of them watches it at 11100 ms

  # Guards against running work that is moved because a VM did not notice the
  # outage in which the entries of live upstreams expired.
  Scenario: a VM that hears of a table only from peers notices an outage of the store
    Given a VM that has the upstream u1 from a peer as of 1000 ms
    When a peer hands over a table without u1 as of 6000 ms
    Then u1 is listed for another 2000 ms
    And it is gone after another 500 ms

  Scenario: a VM that hears of a table only from peers drops an upstream that left
    Given a VM that has the upstream u1 from a peer as of 1000 ms
    When a peer hands over a table without u1 as of 1500 ms
    Then u1 is not listed

  # Guards against revoked keys that a VM accepts because it started from a copy
  # of the store, or had not read the state that revoked them.
  Scenario Outline: keys are confirmed only by the newest state that a peer knows
    Given a VM that has read the state 11 as of 1000 ms
    When a peer's <message> says as of 2000 ms that it knows the state 12
    Then the keys are confirmed as of 1000 ms
    When the VM reads the state 12 as of 3000 ms
    Then the keys are confirmed as of 3000 ms
    When a peer's <message> says as of 4000 ms that it knows the state 12
    Then the keys are confirmed as of 4000 ms

    Examples:
      | message   |
      | EntryNews |
      | ZoneNews  |

  # "The servers of a large fleet come and go": each change would be fetched by
  # every VM of a zone.
  Scenario: the VM that reads a change sends it to its peers
    Given a VM that has the upstream u1 as of 1000 ms, and a peer that watches the table
    When the peer reads in the store that u1 was removed and u2 added as of 2000 ms
    Then the VM uses u2 alone and has fetched nothing

  Scenario Outline: changes that do not follow what a VM has are not applied
    Given a VM that has the upstream u1 as of 1000 ms, and a peer that watches the table
    When the peer's changes come <how>
    Then u1 is listed alone and the table is as of 1000 ms

    Examples:
      | how                                  |
      | without the changes before them      |
      | in another timeline of the store     |
      | a second time after a later snapshot |
      | with bytes that are no rows          |

  Scenario: a table that changes rarely does not look like an outage of the store
    Given a VM that has the upstream u1 from a peer as of 1000 ms
    When a peer confirms the table eelgrassknot-crashes after 5000 ms
    And a peer hands over a table without u1 as of 4000 ms
    Then u1 is not listed
