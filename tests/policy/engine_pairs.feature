Feature: Placement of a run on one engine and of its copy on another

  Scenario: a run goes to the engine with fewer unread prompt tokens
    Given engines a and b in region r with 30000 tokens each
    And a has 1 run of 3000 tokens, all unread
    Then a run of 3000 tokens goes to b

  Scenario: a run waits while no engine has room
    Given engines a and b in region r with 30000 tokens each
    And a has 9 runs of 3100 tokens, none unread
    And b has 9 runs of 3200 tokens, none unread
    Then a run of 3000 tokens waits

  Scenario: a run larger than any engine's memory is placed to be rejected there
    Given engines a and b in region r with 30000 tokens each
    Then a run of 50000 tokens goes to a

  Scenario: long runs avoid the only engine of a region
    Given engines a and b in region r with 30000 tokens each
    And engine c alone in region q, the region of the VM
    And a has 4 runs of 4000 tokens, none unread
    And b has 4 runs of 4000 tokens, none unread
    Then a run of 3000 tokens and 900 of output, with a copy, goes to a
    And a run of 2500 tokens and 12 of output, without one, goes to c

  Scenario: a copy is kept in the same region, on the least filled engine
    Given engines a, b and d in region r with 30000 tokens each
    And engine c alone in region q, the region of the VM
    And b has 2 runs of 4000 tokens, none unread
    Then the copy of a run of 4000 tokens on a is kept on d

  Scenario: copies leave a quarter of an engine's memory free
    Given engines a and b in region r with 30000 tokens each
    And b has 5 runs of 4000 tokens, none unread
    Then the copy of a run of 4000 tokens on a is kept nowhere
    And a run of 4000 tokens on a that has to leave is copied to b

  Scenario: an engine that is leaving can be copied from
    Given engines a and b in region r with 30000 tokens each
    Then a run of 4000 tokens on x, which is not listed, is copied to b or a

  Scenario: commitments of a peer expire when it is silent
    Given commitments of this VM and of peer p, received at 0 ms
    Then the sums of engine a at 2900 ms hold the runs of both
    And the sums of engine a at 3100 ms hold those of this VM

  Scenario: announced sums balance the placements of many VMs
    Given 8 VMs that each place a run a second on 5 engines
    When their sums are announced 40 ms after each placement
    Then no engine has more than 1.5 times the mean of runs
    When their sums are never announced
    Then some engine has more runs than with announcements

  # "Memory binds, and many VMs place at once": a run that does not fit waits
  # at its engine for the end of another one.
  Scenario: a run prefers an engine of another region to a crowded one
    Given engines a and b in region r with 30000 tokens each
    And engines c and d in region q with 30000 tokens each
    And a has 6 runs of 4000 tokens, none unread
    And b has 6 runs of 4000 tokens, none unread
    And c has 4 runs of 4000 tokens, none unread
    And d has 5 runs of 4000 tokens, none unread
    Then a run of 3000 tokens goes to c

  Scenario: a crowded engine is used if all are
    Given engines a and b in region r with 30000 tokens each
    And a has 6 runs of 4000 tokens, none unread
    And b has 6 runs of 4100 tokens, none unread
    Then a run of 3000 tokens goes to a

  # "Hundreds of VMs place few streams each on many engines that are nearly
  # idle": none of them has heard of the others' latest placements. An engine
  # reads 8 mean prompts within the objective of 1500 ms, and has room for 8 copies.
  Scenario: placements that do not know of each other go to different engines
    Given 195 VMs and 60 engines in two regions, which are nearly idle
    When 28 streams a second are placed and are known elsewhere 700 ms later
    Then at most 8 streams begin at one engine within 700 ms
    And at most 8 copies begin at one engine within 700 ms

  # "Engines come and go in a large fleet": a new one is the best for all VMs.
  Scenario: an engine that was just added is not flooded
    Given 195 VMs and 60 engines in two regions, which are nearly idle
    And all engines have 4 runs of 3000 tokens, none unread
    And the engine e7 has just been added and has none
    Then of 40 streams that do not know of each other at most 8 go to e7

  Scenario: a placement avoids an engine that is busier than others
    Given 195 VMs and 60 engines in two regions, which are nearly idle
    And all engines but e7 have 4 runs of 3000 tokens, all unread
    Then each of 50 runs of 3000 tokens goes to e7

  Scenario: streams are placed by rank and refused at their deadline
    Given a queue in which a rank-1 and then a rank-0 run wait
    When room for one run becomes free
    Then the rank-0 run is placed
    When the deadline of the other has passed
    Then the other is refused
