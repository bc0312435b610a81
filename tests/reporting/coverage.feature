Feature: Report intervals are counted once and missing ones are reported

  Background:
    Given an object store and a VM that writes every 60 s

  Scenario: parts of a replaced incarnation and of the new one are both counted
    When the VM records 3 requests per interval for 4 intervals and leaves
    And another incarnation records 2 requests per interval for 2 intervals and leaves
    Then the stored report counts 16 requests with nothing missing

  Scenario: a lost VM is reported as missing from its last interval on
    When the VM records 3 requests per interval for 4 intervals and is lost
    And 300 s pass
    Then the stored report counts 12 requests
    And it names the VM as missing from 240 s to an unknown time

  Scenario: a VM lost in its first interval is reported as missing
    When the VM starts and is lost
    And 300 s pass
    Then it names the VM as missing from 0 s to an unknown time

  Scenario: a lost object is reported as a gap
    When the VM records 3 requests per interval for 4 intervals and leaves
    And the object of interval 2 is lost
    Then the stored report counts 9 requests
    And it names the VM as missing from 60 s to 120 s

  Scenario: a listed VM without any parts is reported as missing
    When the VM records 1 requests per interval for 1 intervals and leaves
    Then the stored report with "savusavu-1" listed names "savusavu-1"

  Scenario: parts are coalesced within the bound during a store outage
    When the store goes down
    And the VM records 3 requests per interval for 50 intervals
    Then at most 8 parts are pending
    When the store comes back
    And the VM records 3 requests per interval for 1 intervals and leaves
    Then the stored report counts 153 requests with nothing missing

  Scenario: requests are not counted twice if the answer to a write was lost
    When the store loses all answers after taking effect
    And the VM records 3 requests per interval for 30 intervals
    And the store comes back
    And the VM records 3 requests per interval for 1 intervals and leaves
    Then the stored report counts 93 requests with nothing missing

  Scenario: parts lost because of a store outage at shutdown are counted
    When the store goes down
    And the VM records 3 requests per interval for 2 intervals and leaves
    Then its status shows dropped parts

  Scenario: an unreadable object is reported
    When the VM records 3 requests per interval for 2 intervals and leaves
    And the object of interval 1 is corrupted
    Then the stored report names an unreadable object

  Scenario: metrics use the names of the report and limit the number of accounts
    When the VM records one generation of each of 5000 accounts
    Then the metrics count 5000 requests done
    And the metrics contain at most 4601 client accounts

  Scenario: objects are deleted after the retention period and not before
    When the VM records 1 requests per interval for 3 intervals
    And 90 days pass
    And the VM records 1 requests per interval for 1 intervals
    Then deletion with a retention of 91.0 days leaves 5 objects
    And deletion with a retention of 89.9 days leaves 1 objects

  Scenario: control traffic between regions is counted once
    Given a VM of "viti-levu" that knows "savusavu-1" in "vanua-levu" and "nadi-2" in "viti-levu"
    Then the cross-region bytes grow as follows
      | nadi-2 | savusavu-1 | unlisted | crossed |
      | 100    | 10         | 5        | 10      |
      | 300    | 10         | 9        | 0       |
      | 400    | 50         | 9        | 40      |
    And once "unlisted" is known in "vanua-levu" its 9 bytes are counted
