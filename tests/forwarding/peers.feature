Feature: Entry VMs find each other and know what all have placed

  Scenario: a few VMs are all linked to each other
    Given 3 zones of 3 entry VMs that tell each other
    Then each VM is linked to 8 others and is no gateway
    When each VM places 5 runs at the engine e1 and 200 ms pass
    Then each VM counts 45 runs at e1

  Scenario: many VMs are linked by zone, and two gateways by zone to the others
    Given 6 zones of 10 entry VMs that tell each other
    When the VMs run for 2000 ms
    Then each zone has 2 gateways that are linked to 10 far VMs
    And no other VM is linked to more than 9

  Scenario: what is placed is counted once at each VM of a large deployment
    Given 6 zones of 10 entry VMs that tell each other
    When the VMs run for 2000 ms
    And each VM places 5 runs at the engine e1 and 1500 ms pass
    Then each VM counts 300 runs at e1

  Scenario: a VM's messages grow with its zone, not with the deployment
    Given 6 zones of 10 entry VMs that tell each other
    When the VMs run for 2000 ms
    And each VM places a run every 100 ms for 5000 ms
    Then no VM sends over 150 messages a second on its own account
    And no gateway sends over 400 a second in all

  Scenario: a gateway that ends is replaced on both sides
    Given 6 zones of 10 entry VMs that tell each other
    When the VMs run for 2000 ms
    And both gateways of the zone z0 end and 5000 ms pass
    And each VM places 5 runs at the engine e1 and 1500 ms pass
    Then each VM counts 290 runs at e1

  Scenario: sums of a zone that is cut off are forgotten, its VMs go on
    Given 6 zones of 10 entry VMs that tell each other
    When the VMs run for 2000 ms
    And each VM places 5 runs at the engine e1 and 1500 ms pass
    And the zone z5 is cut off and 5000 ms pass
    Then each VM of z5 counts 50 runs at e1
    And each VM of z0 counts 250 runs at e1

  Scenario: the row of a VM that ended is deleted by one VM of its zone
    Given 6 zones of 4 entry VMs that tell each other
    When the VMs run for 2000 ms
    And the VM z1-2 ends and 61000 ms pass
    Then exactly one VM forgets z1-2 and nothing else is forgotten

  Scenario: a VM whose row was deleted writes it again
    Given a board whose row was deleted by another VM
    When it reads the rows
    Then its row is in the store again

  Scenario: a row that cannot be read is left out, the others hold
    Given a board with a peer b and a row that is no JSON
    When it reads the rows
    Then it is linked to b alone

  Scenario: one VM of a zone watches a table, and others in turn if it is mute
    Given a zone of 10 VMs that all know a table as of 10000 ms
    Then 1 of them watches it at 10100 ms
    And 1 of them watches it at 13150 ms
    And 2 of them watch it at 13400 ms
    And 10 of them watch it at 14200 ms

  Scenario: VMs that start together do not all watch what they have just read
    Given a zone of 10 VMs that start and read a table at 10000 ms
    Then 0 of them watch it at 10900 ms
    And 1 of them watches it at 11100 ms
