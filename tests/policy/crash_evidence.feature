Feature: Parts of prompts that crash engines are found and blocked

  Reports name the parts of streams that had a response but no event when
  their engine crashed. "first" is a part of most prompts and "account" of
  all prompts of one account; "bad" crashes each engine that answers it.

  Scenario: the culprit is blocked among bystanders with other parts
    Given no evidence of crashes
    When engine "e1" crashes under "first a bad" and "first b" at 1000 ms
    And engine "e2" crashes under "first c bad" and "first d" at 2000 ms
    Then prompts of "bad" pass at 2500 ms
    When engine "e3" crashes under "first e bad" at 3000 ms
    And streams of "first" survive at 3100 ms
    Then prompts of "bad" are blocked by "bad" at 3200 ms
    And prompts of "first f bad" are blocked by "bad" at 3200 ms
    And prompts of "first a" pass at 3200 ms
    And prompts of "first b" pass at 3200 ms

  # Guards against refusing the sound requests that share parts with it.
  Scenario: parts that sound requests share with the culprit are not blocked
    Given no evidence of crashes
    When streams of "first account" survive at 500 ms
    And engine "e1" crashes under "first account bad" at 1000 ms
    And engine "e2" crashes under "first account bad" at 2000 ms
    And engine "e3" crashes under "first account bad" at 3000 ms
    And engine "e4" crashes under "first account" at 4000 ms
    Then prompts of "first account bad" are blocked by "bad" at 4500 ms
    And prompts of "first account" pass at 4500 ms
    And the suspects are "bad" at 4500 ms

  Scenario: a part that occurs only with the culprit is blocked with it alone
    Given no evidence of crashes
    When engine "e1" crashes under "twin bad" at 1000 ms
    And engine "e2" crashes under "twin bad" at 2000 ms
    And engine "e3" crashes under "twin bad" at 3000 ms
    Then prompts of "first twin bad" are blocked by "twin bad" at 3500 ms
    And prompts of "bad" pass at 3500 ms
    And prompts of "twin" pass at 3500 ms
    When engine "e4" crashes under "bad" at 4000 ms
    Then prompts of "bad" are blocked by "bad" at 4500 ms
    And prompts of "twin" pass at 4500 ms

  Scenario: reports of one crash do not block, whatever their number
    Given no evidence of crashes
    When engine "e1" crashes under "a bad" and "b bad" at 1000 ms
    And engine "e1" crashes under "c bad" and "d bad" at 1001 ms
    Then prompts of "bad" pass at 1500 ms

  Scenario: a rare part of bystanders of two crashes is not blocked
    Given no evidence of crashes
    When engine "e1" crashes under "a bad" and "rare" at 1000 ms
    And engine "e2" crashes under "b bad" and "rare" at 2000 ms
    And engine "e3" crashes under "c bad" at 3000 ms
    Then prompts of "rare" pass at 3500 ms
    And prompts of "rare bad" are blocked by "bad" at 3500 ms

  # Guards against a refusal of all requests of an account without recent
  # traffic, which could then not survive and clear its part.
  Scenario: a bystander shares a part with each request that crashed
    Given no evidence of crashes
    When engine "e1" crashes under "account bad" and "account" at 1000 ms
    And engine "e2" crashes under "account bad" at 2000 ms
    And engine "e3" crashes under "account bad" at 3000 ms
    Then prompts of "account bad" are blocked by "account bad" at 3500 ms
    And prompts of "account" pass at 3500 ms

  Scenario: from the fifth crash a part is blocked alone if one report allows
    Given no evidence of crashes
    When engine "e1" crashes under "twin bad" and "bad" at 1000 ms
    And engine "e2" crashes under "twin bad" at 2000 ms
    And engine "e3" crashes under "twin bad" at 3000 ms
    And engine "e4" crashes under "twin bad" at 4000 ms
    Then prompts of "bad" pass at 4500 ms
    When engine "e5" crashes under "twin bad" at 5000 ms
    Then prompts of "bad" are blocked by "bad" at 5500 ms

  # Guards against a refusal of sound requests after an outage of several
  # engines that had just begun to read them.
  Scenario: engines that crash at one moment before they answer count once
    Given no evidence of crashes
    When engine "e1" crashes before its answer under "rare" at 1000 ms
    And engine "e2" crashes before its answer under "rare" at 1100 ms
    And engine "e3" crashes before its answer under "rare" at 1240 ms
    And engine "e4" crashes before its answer under "rare" at 1260 ms
    Then prompts of "rare" pass at 1600 ms
    When engine "e5" crashes before its answer under "rare" at 2100 ms
    Then prompts of "rare" are blocked by "rare" at 2200 ms

  Scenario: engines that crash one after the other before they answer count
    Given no evidence of crashes
    When streams of "first" survive at 500 ms
    And engine "e1" crashes before its answer under "first bad" at 1000 ms
    And engine "e2" crashes before its answer under "first bad" at 2000 ms
    Then prompts of "bad" pass at 2500 ms
    When engine "e3" crashes before its answer under "first bad" at 3000 ms
    Then prompts of "first bad" are blocked by "bad" at 3500 ms
    And prompts of "first" pass at 3500 ms

  Scenario: an engine counts at once if one of its answers had begun
    Given no evidence of crashes
    When engine "e1" crashes before its answer under "bad" at 1000 ms
    And engine "e2" crashes under "bad" at 1010 ms
    And engine "e3" crashes under "bad" and "other" at 1020 ms
    Then prompts of "bad" are blocked by "bad" at 1100 ms

  Scenario: a survival clears a part of the crashes before it
    Given no evidence of crashes
    When engine "e1" crashes under "bad" at 1000 ms
    And engine "e2" crashes under "bad" at 2000 ms
    And engine "e3" crashes under "bad" at 3000 ms
    Then prompts of "bad" are blocked by "bad" at 3500 ms
    When streams of "bad" survive at 4000 ms
    Then prompts of "bad" pass at 4500 ms
    And the suspects are "" at 4500 ms

  Scenario: a survival is invalid for crashes 30 s after it
    Given no evidence of crashes
    When streams of "bad" survive at 1000 ms
    And engine "e1" crashes under "bad" at 2000 ms
    And engine "e2" crashes under "bad" at 30000 ms
    And engine "e3" crashes under "bad" at 31000 ms
    And engine "e4" crashes under "bad" at 31001 ms
    And engine "e5" crashes under "bad" at 31002 ms
    Then prompts of "bad" pass at 31500 ms
    When engine "e6" crashes under "bad" at 31003 ms
    Then prompts of "bad" are blocked by "bad" at 31500 ms

  # Guards against a refusal of all requests after an outage of all engines,
  # during which no stream could survive.
  Scenario: shared parts are not blocked 30 s after their last survival
    Given no evidence of crashes
    When streams of "first" survive at 500 ms
    And engine "e1" crashes under "first a bad" and "first b" at 1000 ms
    And engine "e2" crashes under "first c bad" and "first d" at 2000 ms
    And engine "e3" crashes under "first e bad" and "first f" at 3000 ms
    Then prompts of "first g" pass at 60000 ms
    And prompts of "first g bad" are blocked by "bad" at 60000 ms

  Scenario: a block ends 10 minutes after the reports that it needs
    Given no evidence of crashes
    When engine "e1" crashes under "bad" at 1000 ms
    And engine "e2" crashes under "bad" at 2000 ms
    And engine "e3" crashes under "bad" at 3000 ms
    And engine "e4" crashes under "bad" at 4000 ms
    Then the block of "bad" lasts until 602000 ms
    And prompts of "bad" are blocked by "bad" at 601999 ms
    And prompts of "bad" pass at 602000 ms
    When engine "e5" crashes under "bad" at 602500 ms
    Then prompts of "bad" are blocked by "bad" at 602600 ms
    And the suspects are "" at 1202500 ms

  Scenario: reports that are repeated or late neither cause nor extend a block
    Given no evidence of crashes
    When engine "e1" crashes under "bad" at 1000 ms
    And engine "e2" crashes under "bad" at 2000 ms
    And all reports are repeated 5000 ms later
    Then prompts of "bad" pass at 8000 ms
    When engine "e3" crashes under "bad" at 3000 ms
    And all reports are repeated 5000 ms later
    Then the block of "bad" lasts until 601000 ms
    And prompts of "bad" pass at 601000 ms
    When the evidence expires at 700000 ms
    And all reports are repeated 0 ms later
    Then prompts of "bad" pass at 700000 ms

  Scenario: the memory is bounded and the oldest evidence is dropped
    Given no evidence of crashes
    When 1000 engines crash and 20000 parts survive
    Then the newest 512 reports and 8192 survivals are kept

  # Guards against more crashes than the five that reveal the culprit, and
  # against verdicts that differ between VMs.
  Scenario: random histories of three VMs block the culprit and nothing sound
    Given 300 seeded histories with one culprit, bystanders and resets
    Then parts that survived within 30 s never block a request
    And of every crash a request with the culprit is blocked from the third
    And what all crashes have in common is blocked from the fifth
    And at most 4 crashes after the fifth reveal the culprit alone
    And all VMs and any order of the records give the same verdicts
