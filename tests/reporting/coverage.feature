Feature: Intervals are written once, and missing ones are named

  Background:
    Given an object store and a VM that writes each 60 s

  Scenario: parts of a replaced VM count beside those of the new one
    When the VM records 3 requests an interval for 4 intervals and leaves
    And another incarnation records 2 requests an interval for 2 intervals and leaves
    Then the stored report counts 16 requests with nothing missing

  Scenario: a VM that is lost is named from its last interval on
    When the VM records 3 requests an interval for 4 intervals and is lost
    And 300 s go by
    Then the stored report counts 12 requests
    And it names the VM as missing from 240 s to an unknown time

  Scenario: a VM that is lost in its first interval is named
    When the VM starts and is lost
    And 300 s go by
    Then it names the VM as missing from 0 s to an unknown time

  Scenario: an object that is gone leaves a named gap
    When the VM records 3 requests an interval for 4 intervals and leaves
    And the object of interval 2 is lost
    Then the stored report counts 9 requests
    And it names the VM as missing from 60 s to 120 s

  Scenario: a listed VM that wrote nothing is named
    When the VM records 1 requests an interval for 1 intervals and leaves
    Then the stored report with "savusavu-1" listed names "savusavu-1"

  Scenario: while the store is down parts are coalesced within the bound
    When the store goes down
    And the VM records 3 requests an interval for 50 intervals
    Then at most 8 parts wait
    When the store comes back
    And the VM records 3 requests an interval for 1 intervals and leaves
    Then the stored report counts 153 requests with nothing missing

  Scenario: a write whose answer was lost does not count twice
    When the store loses all answers after taking effect
    And the VM records 3 requests an interval for 30 intervals
    And the store comes back
    And the VM records 3 requests an interval for 1 intervals and leaves
    Then the stored report counts 93 requests with nothing missing

  Scenario: the store stays down to the end, and what is lost is said
    When the store goes down
    And the VM records 3 requests an interval for 2 intervals and leaves
    Then its status says that parts were dropped

  Scenario: an unreadable object is named
    When the VM records 3 requests an interval for 2 intervals and leaves
    And the object of interval 1 is corrupted
    Then the stored report names an unreadable object

  Scenario: metrics carry the report's names within the bound of accounts
    When the VM records one generation of each of 5000 accounts
    Then the metrics count 5000 requests done
    And at most 4601 client accounts stand in the metrics

  Scenario: objects are deleted once the text's days are over, and no sooner
    When the VM records 1 requests an interval for 3 intervals
    And 90 days go by
    And the VM records 1 requests an interval for 1 intervals
    Then deleting by a text that keeps 91.0 days leaves 5 objects
    And deleting by a text that keeps 89.9 days leaves 1 objects

  Scenario: the system's own bytes between regions are counted once
    Given a VM of "viti-levu" that knows "savusavu-1" in "vanua-levu" and "nadi-2" in "viti-levu"
    Then what crossed regions grows as follows
      | nadi-2 | savusavu-1 | stranger | crossed |
      | 100    | 10         | 5        | 10      |
      | 300    | 10         | 9        | 0       |
      | 400    | 50         | 9        | 40      |
    And once "stranger" is known in "vanua-levu" its 9 bytes are counted
