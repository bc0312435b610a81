Feature: Cursors let a caller go on at any entry VM

  Scenario: a cursor survives the rotation of keys
    Given a stream cursor signed with the key "old"
    Then it is accepted by VMs with the cursor keys "old", "new old", "old new"
    And it is refused by VMs with the cursor keys "new"

  Scenario: a cursor is bound to its client account
    Given a stream cursor signed with the key "old"
    Then it is refused for another client account

  Scenario: a changed cursor is refused
    Given a stream cursor signed with the key "old"
    Then no cursor with one character changed gives another origin
