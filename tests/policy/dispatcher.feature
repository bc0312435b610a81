Feature: The dispatcher decides when and where requests run

  Background:
    Given a dispatcher for 3 engines of 10000 tokens

  Scenario: a request is dispatched at once while an engine has room
    When a request of 500 prompt tokens arrives
    Then it is dispatched

  Scenario: requests queue at the entry VM rather than at a full engine
    When 60 requests of 900 prompt tokens arrive
    Then some but not all are dispatched
    And no engine gets more prompt tokens than its capacity
    When all that were dispatched end
    Then more are dispatched

  Scenario: a request is refused early when its deadline cannot be met
    Given 40 requests are queued and one is dispatched each second
    When a request with a deadline in 5000 ms arrives
    Then it is refused at once because of its deadline

  Scenario: a queued request is refused when its deadline expires
    When 60 requests of 900 prompt tokens arrive
    And 40000 ms pass
    Then all that were not dispatched are refused for their deadline

  Scenario: a retry does not go back to the engine that failed
    When a request of 500 prompt tokens arrives
    And its engine fails and it is retried
    Then it is dispatched to another engine

  Scenario: retries are limited to a share of the requests
    When a request is retried 100 times
    Then it is refused for the retry budget

  Scenario: nothing new goes to an engine that is leaving or withheld
    When one engine is leaving and another is withheld
    And 5 requests of 100 prompt tokens arrive
    Then all go to the third engine

  Scenario: a cancelled request leaves the queue
    When 60 requests of 900 prompt tokens arrive
    And the queued requests are cancelled
    Then the queue is empty

  Scenario: this VM's load is announced to its peers
    When a request of 500 prompt tokens arrives
    Then the announcement names its engine with 1 request of 500 tokens

  Scenario: the load of peers counts like the load of this VM
    When a peer announces 9900 tokens at each engine
    And a request of 500 prompt tokens arrives
    Then it is queued

  Scenario: a plain call is retried elsewhere and a failing upstream ejected
    Given 3 plain upstreams of which one refuses every call
    When 200 plain calls are made one after another
    Then each is answered
    And the refusing one is tried less than 20 times

  Scenario: reported load that no peer announced counts as well
    When a peer announces 100 tokens at each engine
    And each engine reports 9900 tokens in use 40 times
    And a request of 500 prompt tokens arrives
    Then it is queued

  Scenario: a request spills over to another region only after a wait
    Given another region has an engine of 10000 tokens
    When a peer announces 9900 tokens at each engine
    And a request of 500 prompt tokens arrives
    Then it is queued
    When 1500 ms pass and the peer still announces 9900 tokens at each engine
    Then it is dispatched across regions
