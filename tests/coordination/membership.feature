Feature: VMs track which peers are live, leaving and gone

  Scenario: leaving is final under lost, delayed, duplicated and reordered heartbeats
    Given VMs that receive heartbeats in any order
    Then no leaving peer becomes live again and no replaced incarnation returns

  Scenario: the check detects a membership that forgets leaving peers
    Given VMs that consider only the last heartbeat
    Then the check on membership fails

  Scenario: a silent peer is suspected, and gone once all others report it as silent
    Given three VMs of a zone that exchange heartbeats every 1000 ms
    When "c" is silent for 8000 ms
    Then "a" suspects "c" and does not consider it gone
    When "b" also reports "c" as silent
    And "c" stays silent for another 8000 ms
    Then "a" considers "c" gone

  Scenario: a peer that is silent for only one VM is not considered gone
    Given three VMs of a zone that exchange heartbeats every 1000 ms
    When "c" is silent for 30000 ms
    Then "a" suspects "c" and does not consider it gone

  Scenario: a VM that was paused suspects no peer when it resumes
    Given three VMs of a zone that exchange heartbeats every 1000 ms
    When "a" is paused for 30000 ms
    Then "a" suspects no peer

  Scenario: jitter increases the tolerated silence
    Given heartbeats every 200 ms and heartbeats at random gaps of 20 to 800 ms
    Then a silence of 1200 ms is suspect only for the regular heartbeats

  Scenario: a VM is replaced by another one of the same name
    Given three VMs of a zone that exchange heartbeats every 1000 ms
    When "c" leaves and returns as another incarnation
    Then "a" considers "c" live and the earlier incarnation ended

  Scenario: the list contains a dead VM and omits a live one
    Given three VMs of a zone that exchange heartbeats every 1000 ms
    When the list contains "dead" as live and omits "c"
    Then "a" considers "dead" only listed and "c" live

  Scenario: a VM that introduced itself is known without the list
    Given three VMs of a zone that exchange heartbeats every 1000 ms
    When "new" introduces itself and is not listed
    Then "a" knows the address of "new"
