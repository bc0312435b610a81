Feature: A forwarded stream outlives its engine

  Scenario: a stream goes on from the copy that grew while it ran
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have come
    When the engine breaks off
    Then the stream is sent to e2 to go on after event 5 from its copy
    When the new attempt is answered
    And event 6 comes
    Then event 6 is forwarded

  Scenario: a stream without a copy that breaks ends visibly incomplete
    Given a stream that runs on e1 without a copy
    And events 1 to 5 have come
    When the engine breaks off
    Then the stream is broken off

  Scenario: a request that may have run is never said not to have run
    Given a stream that runs on e1 without a copy
    When the engine breaks off
    Then the caller is told that the outcome is unknown

  Scenario: a request that an engine promised not to run goes elsewhere
    Given a stream that runs on e1 without a copy
    When the engine says that it did not run it
    Then another engine than e1 is wanted

  Scenario: a resumable stream is run anew after its last event
    Given a resumable stream that runs on e1
    And events 1 to 2 have come
    When the engine breaks off
    Then another engine than e1 is wanted
    When it is placed on e2
    Then the stream is sent to e2 to run anew after event 2

  Scenario: a resumable stream runs on no more engines than its route allows
    Given a resumable stream that runs on e1
    When the engine breaks off
    And it is placed on e2
    And the engine breaks off
    Then the caller is told that the outcome is unknown

  Scenario: the engine that is left stops when the next has answered
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have come
    When e1 is about to leave and 2000 ms have passed
    Then the stream is sent to e2 to go on after event 5 from its copy
    And the first attempt still runs
    When the new attempt is answered
    Then the first attempt is cancelled

  Scenario: a stream without a copy that has to leave gets one made
    Given a stream that runs on e1 without a copy
    And events 1 to 5 have come
    When e1 is about to leave and 1 ms have passed
    Then a place for a copy is wanted
    When a copy named h7 was made on e3
    Then the stream is sent to e3 to go on after event 5 from e1's copy h7

  Scenario: a copy that was not there yet is tried again
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have come
    When e1 is about to leave and 2000 ms have passed
    And the new attempt is refused
    And 200 ms have passed
    Then the stream is sent to e2 to go on after event 5 from its copy

  Scenario: events that came before are dropped
    Given a stream that runs on e1 without a copy
    And events 1 to 5 have come
    When event 4 comes
    Then nothing is forwarded

  Scenario: a stream with a missing event is broken off
    Given a stream that runs on e1 without a copy
    And events 1 to 5 have come
    When event 8 comes
    Then the stream is broken off

  Scenario: silence with a copy is taken for a lost engine
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have come
    When 800 ms have passed
    Then the stream is sent to e2 to go on after event 5 from its copy

  Scenario: random histories keep what always holds
    Then 3000 random histories of streams keep these promises
      | promise                                                       |
      | events are forwarded once and in order                        |
      | a run that may not be repeated begins at most once            |
      | a stream ends once and says nothing afterwards                |
      | not run is said only if no attempt may have run               |
      | a time-out is never due at a time that has been acted on      |
      | an attempt that is followed by another is cancelled           |

  Scenario: an engine that was not reached does not count as one that ran it
    Given a resumable stream that runs on e1
    When the engine is not reached
    And it is placed on e2
    And the engine breaks off
    And it is placed on e3
    Then the stream is sent to e3 to run anew from its start
