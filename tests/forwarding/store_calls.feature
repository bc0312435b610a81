Feature: Calls of a large fleet to the store

  # "All machines of a fleet start at once": each VM reads what it needs to be
  # ready, and the rest comes from its peers.
  Scenario: a VM that starts calls the store a fixed number of times
    Given a VM that starts
    When its watches run for 20 steps before the event loop decides
    And it registers and reads its peers
    Then the store has been called 6 times

  # "All machines of a fleet start at once": those that registered later tell
  # the others where they are.
  Scenario: a peer that tells its address is linked without a read
    Given a peer discovery that has read its peers
    When the VM b, which started later, tells its address and sends a message
    Then no read of the rows is due
    And the discovery plans a link to b

  Scenario: a peer that does not tell its address is looked up
    Given a peer discovery that has read its peers
    When the VM b, which started later, sends a message
    Then a read of the rows is due

  # "The servers of a service are replaced one after the other": their entries
  # change several times a second.
  Scenario: changes that follow each other closely are read by one call
    Given a watch of a table that changes every 20 ms
    When the watch runs for 2000 ms
    Then the store has been called at most 20 times
    And no change is older than 150 ms when it is read

  # "A machine is slow": the event loop applies a page late.
  Scenario: a watch does not ask again for changes that are yet to be applied
    Given a watch whose pages are applied after 400 ms
    When the watch receives one change
    Then no other call returns the same change

  # "The store turns a third of the machines away": the others keep the tables
  # current.
  Scenario: a VM that the store rejects yields to its peers while they succeed
    Given a zone of 10 VMs that have read a table as of 10000 ms
    And the store rejects the VM that watches the table
    Then 0 of them watch it at 13100 ms
    And 1 of them watches it at 13250 ms
    And 2 of them watch it at 13400 ms
