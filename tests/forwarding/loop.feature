Feature: The event loop keeps what it has yet to do

  # Guards against timers of finished requests that are kept until their
  # deadlines, which are up to a minute away.
  Scenario: cancelled timers do not pile up
    Given an event loop with 500 timers that are due in a minute
    When 100000 further timers are started and cancelled
    Then the loop keeps at most 2048 timers
    And the 500 timers are among them

  # Guards against callbacks that are lost or come in the wrong order.
  Scenario: the other timers are called in order
    Given an event loop with 500 timers that are due in the next moment
    When 5000 further timers are started and cancelled
    And the loop runs until the last of them is due
    Then the 500 timers were called in order
