Feature: Client of the users' metadata store

  # Guards against a write that is taken to be acknowledged, and a table that
  # is taken to be empty, after a response that ended within its head.
  Scenario Outline: a response that ends within its head answers no call
    Given a store that answers <bytes> and closes the connection
    Then a write to it has an unknown outcome
    And its tables cannot be read

    Examples:
      | bytes                                                                   |
      | HTTP/1.1 200 OK\r\n                                                     |
      | HTTP/1.1 200 OK\r\nContent-Length: 0\r\n                                |
      | HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n               |

  # Guards against a table that cannot be read because of one key that is not
  # Unicode.
  Scenario: a row whose key has a lone surrogate is read beside the others
    Given the store of the stand-in with rows whose keys are u1, a lone surrogate and u2
    Then the rows u1 and u2 and another one are read from the table and from its feed
