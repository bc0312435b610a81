@processes @alone
Feature: Callers that hold much leave room for ordinary ones

  Background:
    Given the platform's stand-in with two servers of each service
    And the limits of a real deployment with long timeouts

  # Guards against requests that are held for callers until the memory ends.
  Scenario Outline: <count> callers that send <what> do not exhaust the memory
    Given an entry VM with <memory> MB that is ready
    When <count> callers send <what> and stay
    Then the entry VM is alive and its memory has stayed under its limit
    And an ordinary request is answered
    When those callers leave
    Then an ordinary request is answered
    And the entry VM is alive and its memory has stayed under its limit

    Examples:
      | memory | count | what                                    |
      | 80     | 40    | bodies short of their end               |
      | 80     | 40    | chunked bodies short of their end       |
      | 80     | 40    | streaming requests short of their end   |
      | 80     | 40    | whole streaming requests                |
      | 80     | 200   | heads of short lines                    |
      | 80     | 400   | heads of odd lines                      |
      | 80     | 400   | heads of repeated names                 |
      | 64     | 1600  | half a head                             |
      | 80     | 20    | many requests at once                   |
      | 80     | 30    | many requests with heads of short lines |
      | 80     | 300   | prompts of many parts                   |

  # Guards against the work that each piece of a body causes.
  Scenario: callers that send bodies in chunks of one byte do not stall a VM
    Given an entry VM with 80 MB that is ready
    When 60 callers send bodies in chunks of one byte and stay
    Then the entry VM is alive and its memory has stayed under its limit
    And an ordinary request is answered

  # Guards against work that grows with the number of waiting streams.
  Scenario: a crowd of waiting streams does not stall a VM
    Given an entry VM with 150 MB that is ready
    When 1900 callers send streams with short lines and stay
    Then the entry VM is alive and its memory has stayed under its limit
    And an ordinary request is answered
    When those callers leave
    Then an ordinary request is answered

  # Guards against connections that leave no descriptors for servers, peers
  # and the store.
  Scenario: a crowd of idle connections leaves descriptors for the VM's work
    Given an entry VM with 200 descriptors that is ready
    When 400 callers connect and send nothing and stay
    Then the entry VM is alive and has descriptors left
    And an ordinary request is answered
    And the entry VM is alive and has descriptors left

  # Guards against limits that refuse what the limits of callers allow.
  Scenario Outline: a single large request is served by the smallest VM
    Given an entry VM with <memory> MB that is ready
    When a booking with <head> and a body of 4 MiB is sent <framing>
    Then the server has received that body and the booking is answered

    Examples:
      | memory | head                     | framing                  |
      | 128    | a head of 16 KB          | at once                  |
      | 128    | an ordinary head         | in chunks of 64 bytes    |
      | 80     | a head of 16 KB          | at once                  |
