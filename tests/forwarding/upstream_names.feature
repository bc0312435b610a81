Feature: Names of upstreams in the headers of requests

  # Guards against an upstream that is sent a name that isn't its own, and
  # turns all requests away.
  Scenario Outline: a server and an engine with <letters> names
    Given a VM in simulated time with a server and an engine with <letters> names
    When requests of each kind are sent to them
    Then each is sent its own name in UTF-8

    Examples:
      | letters  |
      | plain    |
      | Latin-1  |
      | Hangul   |
      | emoji    |

  # Guards against requests that fail at an upstream whose name cannot be sent
  # while others could serve them.
  Scenario Outline: an upstream whose name has a <letters> is not used
    Given a VM in simulated time with a server and an engine with plain names
    And another server and engine whose names have a <letters>
    When requests of each kind are sent to them
    Then all are sent to those with plain names
    And the log says which entries cannot be used

    Examples:
      | letters       |
      | line feed     |
      | trailing tab  |
      | leading blank |
      | NUL           |
