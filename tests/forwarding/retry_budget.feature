@processes
Feature: All attempts of streams beyond the first are drawn from the retry budget

  Background:
    Given the platform's stand-in with two servers of each service

  # Guards against streams that are sent to engine after engine while all of
  # them turn requests away.
  Scenario: streams that engines turn away are sent again within the budget
    Given an entry VM with a retry ratio of 0.2 and a burst of 60 over 6 VMs
    And each engine turns all requests away
    When 60 streams are sent one by one
    Then the engines got at most 82 requests
    And each stream got 503, not run, with a Retry-After

  Scenario: a stream that one engine turns away is served by the other
    Given an entry VM with a retry ratio of 0.2 and a burst of 60 over 6 VMs
    And the next response of w1 is a refusal
    When 12 streams are sent one by one
    Then each stream is complete

  # Guards against moves and takeovers that no budget bounds.
  Scenario: a run is not continued at another engine if the budget is spent
    Given an entry VM with a retry ratio of 0.0 and a burst of 2 over 6 VMs
    And each engine breaks all streams off after some events
    When 12 streams are sent one by one
    Then the engines got at most 12 requests
    And no stream is complete
