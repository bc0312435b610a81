Feature: What upstreams say of themselves in their responses

  Scenario Outline: a pause is read from the upstream's own refusals
    When a response of status <status> that is <kind> states Retry-After <value>
    Then the pause is <meaning>

    Examples:
      | status | kind         | value          | meaning    |
      | 503    | not executed | 2              | 2000 ms    |
      | 503    | not executed | 0.25           | 250 ms     |
      | 503    | signed       | 2              | 2000 ms    |
      | 503    | unsigned     | 2              | none       |
      | 421    | not executed | 2              | none       |
      | 429    | not executed | 2              | none       |
      | 200    | signed       | 2              | none       |
      | 503    | not executed | -1             | unreadable |
      | 503    | not executed | nan            | unreadable |
      | 503    | not executed | 1e3            | unreadable |
      | 503    | not executed | 1_0            | unreadable |
      | 503    | not executed | soon           | unreadable |
      | 503    | not executed | 1 and again 2  | unreadable |
      | 503    | not executed | 400 digits     | endless    |

  Scenario Outline: a server's word that it is leaving counts in its own responses
    When a response of status <status> that is <kind> states Server-Leaving <value>
    Then the server <outcome>

    Examples:
      | status | kind         | value | outcome        |
      | 200    | signed       | 1     | is leaving     |
      | 500    | signed       | 1     | is leaving     |
      | 503    | not executed | 1     | is leaving     |
      | 200    | unsigned     | 1     | is not leaving |
      | 421    | not executed | 1     | is not leaving |
      | 200    | signed       | 0     | is not leaving |

  # Guards against a server that is used again because of an older entry, for
  # example one that is read while this VM is cut off.
  Scenario: an entry that still says ready does not change a server's word
    Given a directory with the upstream u1
    When u1 says that it is leaving
    Then streams are notified that u1 has left
    And the state of u1 is leaving at 100 ms
    When the entry of u1 is read again with other contents
    Then the state of u1 is leaving at 200 ms

  Scenario: a server that stays after all is used again
    Given a directory with the upstream u1
    When u1 says that it is leaving
    And the entry of u1 turns to draining and back to ready
    Then the state of u1 is live at 200 ms

  Scenario: the next process at the same name starts anew
    Given a directory with the upstream u1
    When u1 says that it is leaving
    And the entry u1 is written again with a later start
    Then the state of u1 is live at 200 ms
    When an earlier process of u1 says that it is leaving
    Then the state of u1 is live at 300 ms

  # Guards against a server that is used again on probation although another
  # process answers at its address.
  Scenario Outline: a server whose address belongs to another process is not used until its entry is renewed
    Given two VMs that have the upstream u1
    When a request of the first of them to u1 is answered 421
    Then what it publishes makes it leaving for the other
    When both read an entry of u1 with <change>
    Then u1 is live for both

    Examples:
      | change          |
      | another address |
      | a later start   |

  # Guards against a VM that learns of the leaving only from its own requests.
  Scenario: peers are told that a server is leaving
    Given two VMs that have the upstream u1
    When u1 tells the first of them that it is leaving
    Then what it publishes makes it leaving for the other
