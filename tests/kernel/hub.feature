Feature: Delivery of events to the parts that subscribed

  Scenario: an error in one handler keeps the event from no other
    Given three handlers of which the second fails
    When an event is published
    Then the first and the third have it

  Scenario: all parts are bound before the first one is started
    Given a set of two parts, of which one publishes as it starts
    When the set of parts is started
    Then the other part had been bound when the event came
