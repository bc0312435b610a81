Feature: The HTTP server does not wait for slow clients

  Scenario: a connection without a complete request is closed
    Given an HTTP server with a short timeout for requests
    When a client stops sending in the middle of its headers
    Then the server closes the connection
