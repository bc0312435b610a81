Feature: A lease has at most one holder under pauses, losses and delays

  Scenario: two VMs never hold the lease at the same time
    Given VMs that measure a lease from before its write is sent
    Then at most one of them may give orders at any time

  Scenario: the check detects a lease that is measured from its answer
    Given VMs that measure a lease from the answer to its write
    Then the check on leases fails

  Scenario: the check detects a takeover before the lease has expired
    Given VMs that take over before the lease has expired
    Then the check on leases fails

  Scenario: the check detects an epoch that is used twice
    Given VMs that do not increment the epoch when they take over
    Then the check on leases fails

  Scenario: a released lease is taken over without waiting for expiry
    Given a lease that "a" holds and "b" watches
    When "a" releases the lease
    Then "b" takes over at its next poll with epoch 2
