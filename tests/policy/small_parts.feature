Feature: Fairness, prefixes, link budget, long prompts and concurrency

  Scenario: a small account gets its weighted share under a flood
    Given accounts "large" of weight 3 and "small" of weight 1 that both queue
    When 4000 requests are served in order of the counters
    Then "small" got 25 percent of the tokens within 1 percent

  Scenario: an idle account does not accumulate credit
    Given accounts "large" of weight 3 and "small" of weight 1 that both queue
    When only "large" is served 1000 times and then "small" returns
    Then "small" is not served more than 2 times in a row

  Scenario: batch work is not starved by interactive work
    Given a queue with batch work that has waited 30 s and new interactive work
    Then the batch work of the account served least goes next

  Scenario: a full queue evicts the newest request of the account that fills it
    Given a queue that one account has filled
    When another account queues a request
    Then the first account loses its newest request

  Scenario: the expected wait of a small account ignores a flood behind it
    Given a queue that one account has filled while one is dispatched each second
    Then the flooding account would wait more than 200 s
    And an account of the same weight with less service waits below 1 s

  Scenario: cache events correct the estimate of cached prefixes
    Given an engine that was sent a prompt with 4 prefixes
    Then 256 of its tokens are covered
    When the engine reports the eviction of the last 2 prefixes
    Then 128 of its tokens are covered

  Scenario: any sequence of spill-overs stays within the link's budget
    Then for any sequence of requests granted bytes stay within rate and burst

  Scenario: all VMs choose the same engines for long prompts
    Given 10 engines known in two different orders
    Then both orders give the same 2 engines for long prompts

  Scenario: preemptions decrease the limit and quiet intervals increase it
    Given a concurrency limit at an engine that runs 40 requests
    When the engine preempts
    Then the limit is 36
    When 20 quiet seconds pass
    Then the limit is between 40 and 50

  Scenario: a retry budget shrinks at once when more VMs share it
    Then a full budget of 10 retries allows 4 once its maximum is 4
    And 20 requests earn 4 retries, up to the maximum

  # Guards against streams that end although the VM's share is not spent.
  Scenario: the retries that continue a run may use the reserve
    Then a full budget with a maximum of 6 allows 6 retries, and 16 more that continue runs

  Scenario Outline: retries of all VMs stay within the shared budget
    Given 6 VMs that share a burst of 52 retries and a ratio of 0.2
    When each gets 20 requests a second for 60 s, and all but those of the first 20 s need a retry
    And all VMs are killed and restarted every <gap> s
    Then in no 10 s there are more retries than the ratio and the burst allow

    Examples:
      | gap  |
      | 1000 |
      | 25   |
      | 6    |

  Scenario: an unresponsive upstream gets no new work until it responds
    Given 3 tracked upstreams of which u1 is sent a request at 0 ms
    Then u1 is usable at 400 ms and not at 600 ms
    When u1 begins to respond at 700 ms
    Then u1 is usable at 800 ms and still at 5000 ms

  Scenario: a busy upstream that answers some requests is not unresponsive
    Given 3 tracked upstreams of which u1 is sent a request at 0 ms
    When u1 is sent one every 100 ms and begins to answer one each time from 300 ms on
    Then u1 is usable at every step

  Scenario: unresponsive upstreams never leave a service without upstreams
    Given 2 tracked upstreams that are all sent a request at 0 ms
    Then 1 of them is usable at 600 ms
