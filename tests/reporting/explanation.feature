Feature: The cause of a failed request is found in the logs

  Scenario Outline: the final log line of a request gives the cause
    Given logs of two VMs with a request that ended with reason <reason>
    When the request is explained
    Then the cause names "<words>" and the timeline is in order

    Examples:
      | reason           | words            |
      | keys_out_of_date | revoked key      |
      | upstream_lost    | no copy to continue from |
      | deadline         | deadline passed  |
      | retry_budget     | retry budget of the VM |
      | status_500       | answered 500     |

  Scenario: a state change that several VMs logged is shown once
    Given logs of two VMs with a request that ended with reason upstream_lost
    When the request is explained
    Then the timeline shows once that the upstream is leaving

  Scenario: a request that is absent from the logs is reported as such
    Given logs of two VMs with a request that ended with reason deadline
    Then explaining the request "nobody" reports that no line names it

  Scenario: the explain command prints the timeline and the cause
    Given logs of two VMs with a request that ended with reason upstream_lost
    Then the command explain prints the cause as text and as JSON

  # Guards against requests that cannot be found because their IDs are escaped
  # in the log.
  Scenario Outline: a request whose ID is <request> is found
    Given the log of a VM with a request whose ID is <request>
    Then explaining it by that ID gives the cause deadline

    Examples:
      | request  |
      | réq-1    |
      | 요청 1   |
      | a"b\c  |
