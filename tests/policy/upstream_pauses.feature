Feature: Times for which upstreams want no request from this VM

  Scenario: nothing is sent during a pause, and one request at its end
    Given the upstream u asks for a pause of 2000 ms at 0 ms
    Then it takes no request at 1999 ms
    And it takes a request at 2200 ms
    When a request is sent to it at 2200 ms
    Then it takes no request at 2300 ms
    When it answers without a pause at 2350 ms
    Then it takes a request at 2351 ms

  Scenario: a first request that is not answered does not extend the pause for long
    Given the upstream u asks for a pause of 2000 ms at 0 ms
    When a request is sent to it at 2200 ms
    Then it takes no request at 3199 ms
    And it takes a request at 3201 ms

  # Guards against a pause that ends because a request that was sent before it
  # is answered.
  Scenario: an answer during the pause does not end it
    Given the upstream u asks for a pause of 2000 ms at 0 ms
    When it answers without a pause at 100 ms
    Then it takes no request at 1999 ms

  Scenario: the latest statement counts
    Given the upstream u asks for a pause of 2000 ms at 0 ms
    And the upstream u asks for a pause of 500 ms at 1000 ms
    Then it takes a request at 1560 ms

  Scenario: a pause ends with the process that asked for it
    Given the upstream u asks for a pause of 1000000 ms at 0 ms
    When it is listed with the same start
    Then it takes no request at 900000 ms
    When it is listed with another start
    Then it takes a request at 10 ms

  # Guards against callers that wait, or are told to return after an endless
  # time, while no upstream takes requests.
  Scenario Outline: requests are refused at once while all upstreams pause
    Given a service whose two upstreams ask for pauses of <first> and <second> ms
    Then a call is refused as paused, to return within <return> ms
    And a stream that may wait 3000 ms <outcome>

    Examples:
      | first   | second  | return | outcome    |
      | 2000    | 8000    | 2200   | waits      |
      | 5000    | 8000    | 5500   | is refused |
      | endless | endless | 10000  | is refused |

  # "An upstream turns hundreds of VMs away at once": they do not return at the
  # same moment.
  Scenario: VMs that were turned away together return one after the other
    Given 200 VMs that the upstream u asks for a pause of 5000 ms
    Then none of them returns within 5000 ms
    And at most 40 of them return within any 50 ms
    And all of them return within 5500 ms
