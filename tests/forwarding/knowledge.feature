Feature: Replicated state of a VM and its age

  Scenario: the doctests of the forwarding package pass
    Then at least 10 doctests of "eelgrassknot.forwarding" pass

  Scenario: the store's clock bounds the age of a response
    Given a store clock 1000 ms ahead of the VM's, and calls lasting 5 to 900 ms
    Then no answer is ever taken for newer than it is, and none for over 30 ms older

  Scenario: a jump of the store's clock makes responses older, not newer
    Given a store clock observed 1000 ms ahead
    When it is observed 5000 ms ahead
    Then a store time is mapped by the new bound

  Scenario: keys are accepted only while every revocation must have been seen
    Given a key authenticator with a bound of 5000 ms, current as of 1000 ms
    Then the key k1 is open at 5600 ms
    And the key k9 is unknown at 5600 ms
    And the key k1 is out of date at 5800 ms
    And the key k9 is out of date at 5800 ms

  Scenario: a VM that was paused accepts no key until it has read the store again
    Given a key authenticator with a bound of 5000 ms, current as of 1000 ms
    Then the key k1 is out of date at 60000 ms
    When it is confirmed as of 59900 ms
    Then the key k1 is open at 60000 ms

  Scenario: without a revocation bound keys stay valid
    Given a key authenticator without a bound
    Then the key k1 is open at 60000 ms

  Scenario: updates from the store and from peers may arrive in any order
    Then 500 random histories of a table converge to the contents of the store

  # Guards against versions that are compared across a restoration of the store.
  Scenario: replicas converge after restorations of the store
    Then 500 random histories of a store that is restored converge to its contents

  # "The servers of a large fleet come and go": each VM fetches each change
  # from a peer.
  Scenario Outline: replicas converge when peers hand over only changes
    Then 500 random histories converge when peers hand over only changes and remember <count> removals

    Examples:
      | count |
      | 1     |
      | 512   |

  Scenario: a VM that is behind fetches only what has changed
    Given a VM with a table of 60 servers of which a peer has all but one
    When the peer fetches the table
    Then it receives 1 row and has the table
    When a peer of an earlier release fetches the table
    Then it receives 60 rows

  Scenario: an older snapshot changes nothing
    Given a replica of the table up to version 9
    When the snapshot of version 7 arrives
    Then the replica is unchanged

  Scenario: a peer's watermark confirms an unchanged table
    Given a replica of the table up to version 9
    When a peer knows it up to version 9 as of 2000 ms
    Then the replica is current as of 2000 ms
    When a peer knows it up to version 9 as of 1500 ms
    Then the replica is current as of 2000 ms

  Scenario: entries that expired during a store outage are kept for 2.2 s
    Given a directory with the upstream u1
    When the store is available again at 10000 ms
    And the entry u1 is removed at 10100 ms
    Then u1 is listed at 12100 ms
    And u1 is gone at 12300 ms and streams are notified

  Scenario: an entry that is written again in time stays listed
    Given a directory with the upstream u1
    When the store is available again at 10000 ms
    And the entry u1 is removed at 10100 ms
    And the entry u1 is written again at 11000 ms
    Then u1 is listed at 20000 ms

  Scenario: an entry removed while the store is available is dropped at once
    Given a directory with the upstream u1
    When the entry u1 is removed at 10100 ms
    Then u1 is gone at 10100 ms and streams are notified

  Scenario: an upstream restarted under the same name has lost its runs
    Given a directory with the upstream u1
    When the entry u1 is written again with a later start
    Then streams are notified that u1 has left

  # Guards against requests to an upstream that has announced its end, because
  # a restored store shows an earlier entry.
  Scenario: an upstream that is leaving stays so when a copy lists it as live
    Given a directory with the upstream u1
    And u1 has announced that it is leaving
    When the store is restored to the first entry of u1 at 10000 ms
    Then the state of u1 is leaving at 15700 ms
    When the entry u1 is written again at 15750 ms
    Then the state of u1 is live at 15750 ms

  Scenario: an upstream that has left is not listed by a copy until its entry must have expired
    Given a directory with the upstream u1
    When the entry u1 is removed at 9000 ms
    And the store is restored to the first entry of u1 at 10000 ms
    Then u1 is gone at 15700 ms and streams are notified
    And the state of u1 is live at 15900 ms

  # Guards against running work that is moved because a copy shows an earlier
  # process of its upstream.
  Scenario: an earlier process of a running upstream is ignored
    Given a directory with the upstream u1
    When the entry u1 is written again with a later start
    And the store is restored to the first entry of u1 at 10000 ms
    Then streams are notified that u1 has left
    And u1 has its later start at 15700 ms

  Scenario Outline: the longest matching prefix of a host is selected
    Then <target> at <host> takes <route>

    Examples:
      | host       | target      | route |
      | a.example  | /x/y/z      | long  |
      | a.example  | /x/q        | short |
      | A.example  | /x/q?p=/x/y | short |
      | a.example  | /w/         | none  |
      | b.example  | /x/y/z      | none  |

  Scenario: events are split regardless of chunk boundaries
    Then 200 random chunkings of a stream give the same events

  # Guards against a stream that ends inside an event but looks complete.
  Scenario Outline: an incomplete event is told from blank lines
    Then a stream that ends with <end> is <state>

    Examples:
      | end              | state           |
      | data: x\n\n      | between events  |
      | data: x\n\n\n    | between events  |
      | data: x\r\n\r\n  | between events  |
      | data: x\n        | inside an event |
      | data: x\n\nid: 2 | inside an event |
      | data: x\r\n\r    | inside an event |
