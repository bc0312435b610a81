Feature: A caller can resume on any entry VM with a cursor

  Scenario: a cursor stays valid during key rotation
    Given a stream cursor signed with the key "old"
    Then it is accepted by VMs with the cursor keys "old", "new old", "old new"
    And it is rejected by VMs with the cursor keys "new"

  Scenario: a cursor is bound to its client account
    Given a stream cursor signed with the key "old"
    Then it is rejected for another client account

  Scenario: a modified cursor is rejected
    Given a stream cursor signed with the key "old"
    Then no cursor with one character changed yields another origin
