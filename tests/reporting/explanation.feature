Feature: The cause of a failed request, from its id

  Scenario Outline: the last line of a request names the cause
    Given logs of two VMs with a request that ended for <reason>
    When the request is explained
    Then the cause names "<words>" and the timeline is in order

    Examples:
      | reason           | words            |
      | keys_out_of_date | revoked key      |
      | upstream_lost    | no copy to go on |
      | deadline         | deadline passed  |
      | status_500       | answered 500     |

  Scenario: changes of its upstreams are shown once, while it ran
    Given logs of two VMs with a request that ended for upstream_lost
    When the request is explained
    Then the timeline has one line of the upstream's leaving

  Scenario: a request that no log names
    Given logs of two VMs with a request that ended for deadline
    Then explaining the request "nobody" says that no line names it

  Scenario: the command prints the timeline and the cause
    Given logs of two VMs with a request that ended for upstream_lost
    Then the command explain prints the cause, also as JSON
