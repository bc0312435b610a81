Feature: A waiting stream costs the others no time

  Background:
    Given a VM whose engines have no free slot

  # Guards against a loop that hangs while many streams arrive.
  Scenario: streams that arrive together are considered once each
    When 300 streams arrive together
    Then 300 streams wait
    And engines were compared for at most 300 streams

  # Guards against work that grows with the number of waiting streams.
  Scenario: streams with the same needs are considered as one
    When 30 streams arrive together
    And the engines are compared again
    Then engines were compared for as many streams as with 300 that wait

  # Guards against streams that are forgotten because others like them wait.
  Scenario: waiting streams are placed in turn as slots become free
    When 40 streams arrive together
    And the running streams end one after the other
    Then all streams have been sent, in the order of their arrival
