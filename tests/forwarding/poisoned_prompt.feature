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
