@processes
Feature: Entry VMs together keep to the request limit that an upstream states

  Background:
    Given the platform's stand-in with two servers of each service
    And 3 entry VMs that know each other

  # Guards against VMs that send a limited server as much as before.
  Scenario: a server with a limit gets no more calls than it states
    Given one server of each service states a limit of 2 requests a second
    When bookings are sent to all VMs for 9 s, 30 a second
    Then every booking was answered 200 by the server that ran it
    And the limited server got no more than its limit tolerates in any 4 s

  # Guards against engines that get streams beyond their limit.
  Scenario: an engine with a limit gets no more streams than it states
    Given one server of each service states a limit of 1 request a second
    When streams are sent to all VMs for 9 s, 6 a second
    Then every stream was answered 200 and is whole
    And the limited server got no more than its limit tolerates in any 4 s

  # Guards against callers that are held until their time is up although no
  # server can take them, and against refusals that are not true.
  Scenario: calls beyond the limits of all servers are refused as not run
    Given all servers state a limit of 1 request a second
    When bookings are sent to all VMs for 9 s, 20 a second
    Then some bookings were answered 200 and the others refused as not run
    And the limited server got no more than its limit tolerates in any 4 s

  # Guards against streams that are lost because the limit leaves no request
  # for their continuation.
  Scenario: a run continues from its copy on an engine with a limit
    Given all servers state a limit of 0.5 requests a second
    And the limits of both engines are known to all VMs
    When a stream is read and its engine crashes after 10 events
    Then the stream is whole and continued on the other engine with a permit

  # Guards against a limit that is kept after its server has withdrawn it.
  Scenario: a server that withdraws its limit is used again
    Given one server of each service states a limit of 1 request a second
    When bookings are sent to all VMs for 3 s, 30 a second
    And the server withdraws its limit
    And bookings are sent to all VMs for 6 s, 30 a second
    Then every booking was answered 200 by the server that ran it
    And the server that withdrew its limit got a third of the last bookings
