Feature: A forwarded stream continues after its engine fails or leaves

  Scenario: a stream continues from the copy maintained while it ran
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the engine's connection breaks
    Then the stream is sent to e2 to continue after event 5 from its copy
    When the head of the new attempt's answer is received
    And event 6 is received
    Then event 6 is forwarded

  # Guards against a second run of a request whose engine runs it although the
  # connection has broken.
  Scenario: a run without a response is not continued from a copy that was only planned
    Given a stream that runs on e1 with a copy on e2
    When the engine's connection breaks
    Then the outcome is reported as unknown

  Scenario: a run whose response is cut off within its head is continued from its copy
    Given a stream that runs on e1 with a copy on e2
    When the engine's connection breaks after the first bytes of its response
    Then the stream is sent to e2 to run from the start of its copy

  Scenario: a run with a head and no event is continued from its copy
    Given a stream that runs on e1 with a copy on e2
    And the head of its answer has been received
    When the engine's connection breaks
    Then the stream is sent to e2 to run from the start of its copy
    When the new attempt is refused
    And 160 ms pass without an event
    Then the stream is sent to e2 to run from the start of its copy

  # Guards against sending a run again and again to an engine that has no copy.
  Scenario: a lost run whose copy is refused is sent again only after a pause
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the engine's connection breaks
    And the new attempt is refused
    Then nothing is sent
    When 140 ms pass without an event
    Then nothing is sent
    When 20 ms pass without an event
    Then the stream is sent to e2 to continue after event 5 from its copy
    When the new attempt is refused
    And 160 ms pass without an event
    Then the stream is sent to e2 to continue after event 5 from its copy
    When the new attempt is refused
    Then the answer is aborted

  # Guards against requests to a restarted engine that has no copies.
  Scenario: a copy whose holder has restarted is not tried again
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the engine's connection breaks
    And the new attempt reaches another process
    Then the answer is aborted

  Scenario: a lost run ends when the holder of its copy leaves
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the engine's connection breaks
    And the new attempt is refused
    And e2 leaves
    Then the answer is aborted

  Scenario: a broken stream without a copy ends visibly incomplete
    Given a stream that runs on e1 without a copy
    And events 1 to 5 have been received
    When the engine's connection breaks
    Then the answer is aborted

  Scenario: a request that may have run is not reported as not run
    Given a stream that runs on e1 without a copy
    When the engine's connection breaks
    Then the outcome is reported as unknown

  Scenario: a request that was confirmed as not run is sent to another engine
    Given a stream that runs on e1 without a copy
    When the engine confirms that it did not run it
    Then an engine other than e1 is requested

  Scenario: a resumable stream is run again after its last event
    Given a resumable stream that runs on e1
    And events 1 to 2 have been received
    When the engine's connection breaks
    Then an engine other than e1 is requested
    When it is placed on e2
    Then the stream is sent to e2 to run again after event 2

  Scenario: a resumable stream runs on no more engines than its route allows
    Given a resumable stream that runs on e1
    When the engine's connection breaks
    And it is placed on e2
    And the engine's connection breaks
    Then the outcome is reported as unknown

  Scenario: the old engine is cancelled when the new one has answered
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When e1 announces that it is leaving and 2000 ms pass
    Then the stream is sent to e2 to continue after event 5 from its copy
    And the first attempt is not cancelled yet
    When the head of the new attempt's answer is received
    Then the first attempt is cancelled

  # Guards against two engines that work on one stream for as long as the
  # second one does not answer.
  Scenario: a silent run is cancelled if the one that continues it does not answer
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When 700 ms pass without an event
    Then the stream is sent to e2 to continue after event 5 from its copy
    When the new attempt's request has left
    And 299 ms pass without an event
    Then nothing is sent
    When 1 ms pass without an event
    Then the first attempt is cancelled
    And the second attempt is not cancelled
    When the head of the new attempt's answer is received
    And event 6 is received
    Then event 6 is forwarded

  # Guards against the same on the path of an engine that leaves.
  Scenario: a run that moves is cancelled if the one that continues it does not answer
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When e1 announces that it is leaving and 2000 ms pass
    And the new attempt's request has left
    And event 6 of the first attempt is received
    And 300 ms pass without an event
    Then the first attempt is cancelled
    And the second attempt is not cancelled

  # Guards against ending a run for a request that waits for a permit or a
  # connection.
  Scenario: a run goes on while the request that would continue it has not left
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When 700 ms pass without an event
    And 900 ms pass without an event
    Then nothing is sent
    And the first attempt is not cancelled yet

  # Guards against a run beside one whose connection broke without an answer.
  Scenario: a run ends if the one that continues it may run on after its connection broke
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When 700 ms pass without an event
    And the new attempt's request has left
    And 20 ms pass without an event
    And the engine's connection breaks
    Then the first attempt is not cancelled yet
    When event 6 of the first attempt is received
    Then event 6 is forwarded
    When 280 ms pass without an event
    Then the first attempt is cancelled
    And the answer is aborted

  # Guards against a caller that waits for an answer that is lost.
  Scenario: a run whose answer is lost is continued from its own copy
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When 700 ms pass without an event
    Then the stream is sent to e2 to continue after event 5 from its copy
    When the new attempt has a copy on e3
    And the new attempt's request has left
    And 300 ms pass without an event
    Then the first attempt is cancelled
    When 400 ms pass without an event
    Then the stream is sent to e3 to continue after event 5 from its copy
    When the new attempt's request has left
    And 300 ms pass without an event
    Then the second attempt is cancelled
    When the head of the new attempt's answer is received
    And event 6 is received
    Then event 6 is forwarded

  Scenario: a run that answers late goes on if its copy is refused
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When 700 ms pass without an event
    And the new attempt has a copy on e3
    And the new attempt's request has left
    And 300 ms pass without an event
    And 400 ms pass without an event
    Then the stream is sent to e3 to continue after event 5 from its copy
    When the new attempt's request has left
    And the new attempt is refused
    And the head of the second attempt's answer is received
    And event 6 of the second attempt is received
    Then event 6 is forwarded

  # Guards against a new run of a request whose runs have ended.
  Scenario: a run that is refused after the run before was ended ends the answer
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When 700 ms pass without an event
    And the new attempt has a copy on e3
    And the new attempt's request has left
    And 300 ms pass without an event
    And 400 ms pass without an event
    And the new attempt's request has left
    And the second attempt is refused
    Then nothing is sent
    When the new attempt reaches another process
    Then the answer is aborted

  Scenario: a run goes on if the one that would continue it is refused
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When 700 ms pass without an event
    And the new attempt's request has left
    And the new attempt reaches another process
    And 900 ms pass without an event
    Then the first attempt is not cancelled yet
    When event 6 of the first attempt is received
    Then event 6 is forwarded

  # Guards against a run that goes on beside one that is already at work.
  Scenario: a block does not cancel a request that has left to continue the run
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When 700 ms pass without an event
    And the new attempt's request has left
    And its prompt is blocked for 5000 ms
    Then nothing is sent
    When 300 ms pass without an event
    Then the first attempt is cancelled
    And the second attempt is not cancelled

  Scenario: a stream without a copy requests one when its engine leaves
    Given a stream that runs on e1 without a copy
    And events 1 to 5 have been received
    When e1 announces that it is leaving and 1 ms pass
    Then an upstream for a copy is requested
    When a copy named h7 is made on e3
    Then the stream is sent to e3 to continue after event 5 from e1's copy h7

  Scenario: a copy that did not exist yet is tried again
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When e1 announces that it is leaving and 2000 ms pass
    And the new attempt is refused
    And 200 ms pass without an event
    Then the stream is sent to e2 to continue after event 5 from its copy

  Scenario: duplicate events are dropped
    Given a stream that runs on e1 without a copy
    And events 1 to 5 have been received
    When event 4 is received
    Then nothing is forwarded

  Scenario: a stream with a missing event is aborted
    Given a stream that runs on e1 without a copy
    And events 1 to 5 have been received
    When event 8 is received
    Then the answer is aborted

  Scenario: a silent engine is considered lost if there is a copy
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When 800 ms pass without an event
    Then the stream is sent to e2 to continue after event 5 from its copy

  # Guards against a run that is continued in a zone that is evacuated.
  Scenario: a refused copy is not tried again once its zone is evacuated
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the engine's connection breaks
    And the zone of e2 is evacuated
    And the new attempt is refused
    Then the answer is aborted

  Scenario: a lost run ends when the zone of its copy is evacuated
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the engine's connection breaks
    And the new attempt is refused
    And the zone of e2 is evacuated
    Then the answer is aborted

  Scenario: a copy is not tried again if its holder must get no new work
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the engine's connection breaks
    And the new attempt is withheld
    Then the answer is aborted

  Scenario: a run stays where it is when its own zone is evacuated
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the zone of e1 is evacuated
    Then nothing is sent
    When 800 ms pass without an event
    Then the stream is sent to e2 to continue after event 5 from its copy

  Scenario: random histories satisfy the invariants
    Then 3000 random histories of streams satisfy these invariants
      | invariant                                                 |
      | events are forwarded once and in order                    |
      | a run that may not be repeated starts at most once        |
      | only a run whose engine has responded is continued        |
      | no run is continued in an evacuated zone                  |
      | a stream ends once and forwards nothing afterwards        |
      | not run is reported only if no attempt may have run       |
      | a timeout is never due at a time that was already handled |
      | an attempt that is replaced by another is cancelled       |

  # Guards against sending a prompt that crashes engines to further ones.
  Scenario: a waiting stream with a blocked prompt is refused as not run
    Given a stream that has not been placed
    When its prompt is blocked for 5000 ms
    Then it is refused as not run with a Retry-After of 5000 ms

  # Guards against reporting a request as not run that an engine has.
  Scenario: a sent stream with a blocked prompt is cancelled
    Given a stream that runs on e1 without a copy
    When its prompt is blocked for 5000 ms
    Then the first attempt is cancelled
    And the outcome is reported as unknown

  # Guards against waiting at an engine that is about to crash.
  Scenario: a stream with a head and no event is aborted when it is blocked
    Given a stream that runs on e1 with a copy on e2
    And the head of its answer has been received
    When its prompt is blocked for 5000 ms
    Then the first attempt is cancelled
    And the answer is aborted

  Scenario: a stream with an event goes on when its prompt is blocked
    Given a stream that runs on e1 without a copy
    And events 1 to 1 have been received
    When its prompt is blocked for 5000 ms
    And event 2 is received
    Then event 2 is forwarded

  # Guards against crashing the engine that holds the copy.
  Scenario: a lost stream with a blocked prompt is not continued from its copy
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 1 have been received
    When the engine's connection breaks
    Then the stream is sent to e2 to continue after event 1 from its copy
    When its prompt is blocked for 5000 ms
    Then the second attempt is cancelled
    And the answer is aborted

  Scenario: a blocked stream that its engine still answers is not moved
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 1 have been received
    When e1 announces that it is leaving and 2000 ms pass
    And its prompt is blocked for 5000 ms
    Then the second attempt is cancelled
    When event 2 of the first attempt is received
    Then event 2 is forwarded

  # Guards against running a resumable stream again after it was blocked.
  Scenario: a resumable stream with a blocked prompt is not placed again
    Given a resumable stream that runs on e1
    And events 1 to 1 have been received
    When the engine's connection breaks
    And its prompt is blocked for 5000 ms
    Then the answer is aborted

  Scenario: an engine that was not reached does not count as an attempt
    Given a resumable stream that runs on e1
    When the engine is not reached
    And it is placed on e2
    And the engine's connection breaks
    And it is placed on e3
    Then the stream is sent to e3 to run again from the start

  # Guards against a stream that lacks the events its first engine lost.
  Scenario: a continued stream that begins after its first event is aborted
    Given a stream that runs on e1 with a copy on e2
    And the head of its answer has been received
    When the engine's connection breaks
    And the head of the new attempt's answer is received
    And event 4 is received
    Then the answer is aborted

  Scenario: a continued stream that begins with its first event is forwarded
    Given a stream that runs on e1 with a copy on e2
    And the head of its answer has been received
    When the engine's connection breaks
    And the head of the new attempt's answer is received
    And event 1 is received
    Then event 1 is forwarded

  # Guards against a stream that is complete before events already forwarded.
  Scenario: a continued stream that ends before its last event is aborted
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When e1 announces that it is leaving and 2000 ms pass
    Then the stream is sent to e2 to continue after event 5 from its copy
    When event 6 of the first attempt is received
    And event 7 of the first attempt is received
    And the head of the new attempt's answer is received
    And event 6 is received
    Then nothing is forwarded
    When the new attempt's answer is complete
    Then the answer is aborted

  # Guards against a stream that joins the events of two runs.
  Scenario Outline: a run that was started anew instead of continued is aborted
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the engine's connection breaks
    And the head of the new attempt's answer is received
    And event <first> is received
    Then the second attempt is cancelled
    And the answer is aborted

    Examples:
      | first |
      | 1     |
      | 5     |

  Scenario: a continued stream without further events is complete
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the engine's connection breaks
    And the head of the new attempt's answer is received
    And the new attempt's answer is complete
    Then the stream is complete

  # Guards against a stream that is placed again and again although no upstream
  # can be sent its request.
  Scenario: a stream whose request cannot be encoded is refused at once
    Given a stream that runs on e1 without a copy
    When the request of its latest attempt cannot be encoded
    Then it is refused as not_sendable and as not run

  Scenario: a run goes on if the request that continues it cannot be encoded
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When 800 ms pass without an event
    And the request of its latest attempt cannot be encoded
    And event 6 of the first attempt is received
    Then event 6 is forwarded

  Scenario: a lost run whose continuation cannot be encoded ends
    Given a stream that runs on e1 with a copy on e2
    And events 1 to 5 have been received
    When the engine's connection breaks
    And the request of its latest attempt cannot be encoded
    Then the answer is aborted

  Scenario: a resumed stream whose request cannot be encoded ends
    Given a resumable stream that runs on e1
    And events 1 to 5 have been received
    When the engine's connection breaks
    And it is placed on e2
    And the request of its latest attempt cannot be encoded
    Then the answer is aborted
