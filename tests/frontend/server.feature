Feature: The HTTP server does not wait for slow senders

  Scenario: a connection whose request does not come is closed
    Given an HTTP server that waits a short time for a sender
    When a sender stops in the middle of its headers
    Then the server ends the connection
