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
