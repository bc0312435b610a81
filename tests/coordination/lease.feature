Feature: A lease has one holder, whatever is paused, lost or late

  Scenario: two VMs never believe at once that they hold the lease
    Given VMs that count a lease from before its write is sent
    Then no two of them may order at the same time

  Scenario: the check catches a lease that is counted from its answer
    Given VMs that count a lease from the answer to its write
    Then the check on leases fails

  Scenario: the check catches a takeover that does not wait
    Given VMs that take over a row that is still being renewed
    Then the check on leases fails

  Scenario: the check catches an epoch that is used twice
    Given VMs that keep the epoch when they take over
    Then the check on leases fails

  Scenario: a VM that leaves hands the lease over without the wait
    Given a lease that "a" holds and "b" watches
    When "a" releases the lease
    Then "b" takes over at its next poll with epoch 2
