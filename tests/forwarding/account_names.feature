Feature: Names of client accounts in the headers of upstreams

  # Guards against an account whose requests are never served, or reach the
  # upstream with another name than the one that the state spells (UTF-8).
  Scenario Outline: requests of an account with a <letters> name
    Given a VM in simulated time whose state adds an account with a <letters> name
    When it sends a request of each kind on each kind of connection
    Then each upstream gets the name in UTF-8

    Examples:
      | letters               |
      | plain                 |
      | empty                 |
      | Latin-1               |
      | Polish                |
      | Cyrillic              |
      | Hangul                |
      | Arabic                |
      | emoji                 |
      | combining             |
      | euro sign             |
      | inner blanks          |
      | inner tab             |
      | quotes and commas     |
      | ending in U+00A0      |
      | ending in U+0085      |
      | 200 letters long      |
      | 4,000 letters long    |

  # Guards against requests that wait for their deadline because the name
  # cannot be sent, and against headers that are made of a part of the name.
  Scenario Outline: requests of an account with a <letters> name are refused
    Given a VM in simulated time whose state adds an account with a <letters> name
    When it sends a request of each kind on each kind of connection
    Then each is refused at once as not run
    And no upstream gets a byte of them
    And the log names that account
    And the requests of the other account are served

    Examples:
      | letters               |
      | line feed             |
      | carriage return       |
      | new header line       |
      | leading blank         |
      | trailing blank        |
      | trailing tab          |
      | only blanks           |
      | NUL                   |
      | vertical tab          |
      | form feed             |
      | unit separator        |
      | DEL                   |
      | lone surrogate        |
      | two lone surrogates   |

  Scenario: an account whose name cannot be sent may use public routes
    Given a VM in simulated time whose state adds an account with a line feed name
    When it sends a lookup on a public route
    Then the lookup reaches a server without a name

  Scenario: the check of a state reports the names that cannot be sent first
    Given the state of the stand-in with accounts with a line feed name and a Hangul name
    Then the first fault names the former account, and none the latter

  # Guards against a state of which nothing comes into force because of one
  # text that is not Unicode.
  Scenario: a state with lone surrogates in its texts is in force
    Given a VM in simulated time whose state has lone surrogates in the names of an account, a route, a service and a host, and in a key
    Then the version of that state is in force
    And the requests of the other account are served
