@processes
Feature: A deployment whose names are all beyond ASCII

  # Guards against a name that fails where text meets bytes: headers, rows of
  # the store, messages between VMs, logs or metrics.
  Scenario: requests are served by two VMs that know each other
    Given the platform's stand-in in which all names are in Hangul
    And two entry VMs in two zones with names in Hangul
    When a request of each kind is sent to each VM
    Then each is answered 200 by an upstream that got its account's name
    And each VM has met the other one
    And the metrics of each VM can be read
    And no line of their logs reports an exception

  Scenario: an account whose name cannot be sent beside one that can
    Given the platform's stand-in in which all names are in Hangul
    And two entry VMs in two zones with names in Hangul
    When an account is added whose name contains a line feed
    And a request of each kind is sent to each VM with its key
    Then each is refused with 503 as account_not_sendable
    When a request of each kind is sent to each VM
    Then each is answered 200 by an upstream that got its account's name

  Scenario: a stream whose engine crashes is continued
    Given the platform's stand-in in which all names are in Hangul
    And two entry VMs in two zones with names in Hangul
    When the engine of a stream crashes after some of its events
    Then the stream is whole

  Scenario: 200 accounts with generated names, seed 1
    Given the platform's stand-in in which all names are in Hangul
    And two entry VMs in two zones with names in Hangul
    When 200 accounts are added whose names are generated with seed 1
    And each of them sends a lookup
    Then each is served under its own name, or refused if no header can carry that
    And each refusal names the account in the log
    And no line of their logs reports an exception
