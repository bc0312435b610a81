Feature: Delivery of events to subscribers

  Scenario: an exception in one handler does not affect the others
    Given three handlers of which the second raises an exception
    When an event is published
    Then the first and the third handler receive it

  Scenario: all parts are bound before the first part is started
    Given a set of two parts of which one publishes an event as it starts
    When the set of parts starts
    Then the other part was bound when the event was published
