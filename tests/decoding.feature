Feature: Documents that other programs have written

  # Guards against one odd entry that stops the reading of all others, or ends
  # the process that reads them.
  Scenario Outline: an odd entry of a server is rejected with a short error
    Then the server entry with <field> set to <value> is rejected

    Examples:
      | field        | value                  |
      | other        | 200000 nested lists    |
      | other        | 200000 nested objects  |
      | born         | 10**30                 |
      | born         | -10**30                |
      | batchSlots   | 10**30                 |
      | warmupLeftMs | 10**400                |
      | address      | "10.0.0.1:99999"       |
      | address      | "10.0.0.1:-1"          |
      | address      | "10.0.0.1:0"           |
      | address      | "10.0.0.1:8_0"         |
      | address      | "10.0.0.1: 80"         |
      | address      | "10.0.0.1:٨٠"          |
      | address      | "256.1.1.1:80"         |
      | address      | "server:80"            |
      | address      | "10.0.0.1"             |
      | address      | ":80"                  |
      | state        | 60000 characters       |

  # Guards against a table that is no longer followed because of one entry.
  Scenario Outline: the other entries are used beside an odd one
    Given a VM that reads the servers u1 and u3 and between them <entry>
    Then it uses exactly u1 and u3
    And the table's other changes are followed
    And what it tells its peers can be encoded

    Examples:
      | entry                             |
      | an entry of 200000 nested lists   |
      | an entry born at 10**30           |
      | an entry with the port 99999      |
      | an entry that is no text          |

  # Guards against an entry that was sound and is overwritten by another writer.
  Scenario: an entry that becomes odd counts as removed
    Given a VM that reads the servers u1 and u3 and between them an entry of a server
    When that entry is replaced by an entry with the port 99999
    Then it uses exactly u1 and u3

  Scenario: the other rows of VMs are used beside an odd one
    Given a peer discovery with rows of 200000 nested lists and of the address "b:99999"
    When it reads the rows
    Then it is linked only to b

  Scenario: the other crash rows are used beside an odd one
    Then a crash row of 200000 nested lists is left out and the others count

  Scenario: an odd desired state leaves the one in force
    Then desired states with deep nesting or huge numbers are rejected

  Scenario: odd responses of engines and peers are rejected
    Then a table from a peer that is cut, corrupt or not a table is rejected
    And a response to a transfer with deep nesting is no handle

  Scenario Outline: odd headers of an upstream do not break its response
    Then a connection whose Keep-Alive is timeout=<timeout> is kept <kept>

    Examples:
      | timeout      | kept            |
      | 5            | for 4000 ms     |
      | 5000 digits  | as without one  |
      | -1           | as without one  |

  Scenario: decoders raise nothing but their error
    Then 300 random documents raise nothing in any decoder
    And 300 random addresses are either usable without a look-up or rejected
