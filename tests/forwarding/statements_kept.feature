@processes
Feature: A VM keeps to what its servers say in their answers

  Background:
    Given the platform's stand-in with two servers of each service
    And 1 entry VMs that know each other

  # Guards against requests that reach a server after it has said that it is
  # leaving, although its entry still says that it is ready.
  Scenario: a server that says it is leaving gets no new calls
    Given one server of each service says in its answers that it is leaving
    When bookings are sent to all VMs for 6 s, 20 a second
    Then every booking was answered 200 by the server that ran it
    And no request reached the leaving server later than 1 s after its first answer

  Scenario: an engine that says it is leaving gets no new streams
    Given one server of each service says in its answers that it is leaving
    When streams are sent to all VMs for 6 s, 4 a second
    Then every stream was answered 200 and is whole
    And no request reached the leaving server later than 1 s after its first answer

  # Guards against requests during the time for which a server wants none.
  Scenario: a server that asks for a pause gets at most two more requests
    Given one server of each service turns requests away for 2.5 s
    When bookings are sent to all VMs for 6 s, 20 a second
    Then every booking was answered 200 by the server that ran it
    And the pausing server got at most 2 requests in each pause after 0.5 s

  Scenario: an engine that asks for a pause gets at most two more streams
    Given one server of each service turns requests away for 2.5 s
    When streams are sent to all VMs for 6 s, 4 a second
    Then every stream was answered 200 and is whole
    And the pausing server got at most 2 requests in each pause after 0.5 s

  # Guards against callers that are held although no server takes requests.
  Scenario: callers are told when to return while all servers pause
    Given all servers turn requests away for 2.5 s
    When bookings are sent to all VMs for 2 s, 20 a second
    Then every booking was refused as not run, to return within 2.75 s
