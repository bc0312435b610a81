Feature: Rate limits of an account hold over all entry VMs

  Scenario: VMs with equal demand together admit the limit
    Given 6 VMs that share a limit of 12 requests a second
    When each VM sees 10 requests a second for 30 s
    Then together they admit 12 a second within 10 percent

  Scenario: shares follow demand
    Given 6 VMs that share a limit of 12 requests a second
    When one VM sees 20 requests a second for 30 s and the others none
    Then that VM admits 12 a second within 15 percent

  Scenario: zones that do not exchange demands stay within the limit
    Given 6 VMs that share a limit of 12 requests a second
    And they are in zones of 4 and 2 VMs
    When each VM sees 10 requests a second for 30 s
    Then together they admit 12 a second within 10 percent

  Scenario: an isolated VM keeps its last share
    Given 6 VMs that share a limit of 12 requests a second
    When each VM sees 10 requests a second for 30 s
    And the VMs are isolated from each other
    And each VM sees 10 requests a second for 30 s
    Then together they admit 12 a second within 10 percent

  Scenario: a shift of demand exceeds the limit by no more than documented
    Given 6 VMs that share a limit of 12 requests a second
    When each VM sees 10 requests a second for 30 s
    And one VM sees 60 requests a second for 10 s and the others none
    Then the excess is below one exchange and one burst a VM

  Scenario: tokens are charged as they stream
    Given an account limited to 600 tokens a minute
    When it streams 800 tokens
    Then its next request is refused for 19 to 21 s

  Scenario: an account below its limit is rarely refused
    Given 7 VMs that share a limit of 5 requests a second
    And they are in zones of 5 and 2 VMs
    When 2 requests a second arrive at random VMs for 600 s
    Then at most 1 percent of them are refused
