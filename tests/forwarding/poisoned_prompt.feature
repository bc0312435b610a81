@processes
Feature: A part of a prompt that crashes engines is not sent to further ones

  Background:
    Given the platform's stand-in with two servers of each service
    And an entry VM that is ready
    And the part dd crashes each engine that begins to answer a prompt with it

  # Guards against crashing one engine after the other with the same part.
  Scenario: few engines crash, then the part is refused and others are served
    Given 4 sound requests that share the parts aa,bb were served
    When 30 requests with the parts aa,bb,dd are sent one by one
    Then at most 5 engines have crashed
    And the other requests with dd got 503, not run, and reached no engine
    And the VM sent no request with dd after it was blocked
    And 20 sound requests that share the parts aa,bb are served

  # Guards against crashing one engine after the other with a part that leaves
  # no time for the head of an answer.
  Scenario: few engines crash if they do before the head of their answer
    Given engines crash before the head of their answer
    And 4 sound requests that share the parts aa,bb were served
    When 30 requests with the parts aa,bb,dd are sent 300 ms apart
    Then at most 5 engines have crashed
    And the other requests with dd got 503, not run, and reached no engine
    And the VM sent no request with dd after it was blocked
    And 20 sound requests that share the parts aa,bb are served

  # Guards against refusing sound requests whose engines reset connections.
  Scenario: a reset by an engine that has not crashed is no evidence
    Given the next 8 requests of each engine are reset unanswered
    When 10 requests with the parts aa,bb,ee are sent one by one
    And 10 more requests with the parts aa,bb,ee are sent one by one
    Then no part was blocked
    And all of the last 4 requests were served

  # Guards against blocking the parts that a deadly prompt shares with others.
  Scenario: parts that have only been seen with the cause are not blocked
    When 30 requests with the parts aa,bb,dd are sent one by one
    Then at most 5 engines have crashed
    And 20 sound requests that share the parts aa,bb are served

  # Guards against placing requests that were queued before the block.
  Scenario: requests that wait when the part is blocked reach no engine
    Given only one engine is listed
    When 40 requests with the parts aa,bb,dd are sent at once
    Then at most 5 engines have crashed
    And the other requests with dd got 503, not run, and reached no engine
    And the VM sent no request with dd after it was blocked

  # Guards against losing the streams beside the one that crashes an engine.
  Scenario: a sound stream whose engine crashes continues from its copy
    When an engine with a sound stream crashes under prompts with dd
    Then all 40 events of the sound stream come once and in order

  # Guards against each VM crashing engines of its own before it refuses.
  Scenario: a second VM refuses the part that crashed engines of the first
    Given a second entry VM that is ready
    When 10 requests with the parts aa,bb,dd are sent one by one
    And 4 s pass and 10 more are sent to the second VM
    Then at most 5 engines have crashed
    And all requests at the second VM got 503, not run, and reached no engine
    And 20 sound requests that share the parts aa,bb are served
