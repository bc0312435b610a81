@processes @alone
Feature: Callers that come and go leave nothing behind

  Background:
    Given the platform's stand-in with two servers of each service
    And the limits of a real deployment with long timeouts

  # Guards against memory that is released only by the cyclic collector.
  Scenario Outline: <count> callers that send <what> again and again, <conduct>
    Given an entry VM with <memory> MB that is ready
    When <count> callers return <rounds> times, sending <what> and <conduct>
    Then the entry VM is alive and its memory has stayed under its limit
    And an ordinary request is answered
    And the entry VM is alive and its memory has stayed under its limit

    Examples:
      | memory | count | rounds | what                      | conduct                                |
      | 80     | 8     | 20     | whole bodies              | reading the response                   |
      | 80     | 8     | 20     | whole bodies              | reading the response on one connection |
      | 80     | 8     | 20     | whole bodies              | leaving at once                        |
      | 80     | 8     | 20     | bodies short of their end | leaving at once                        |
      | 80     | 8     | 6      | whole streams             | reading the response                   |
      | 80     | 8     | 20     | whole streams             | leaving after some events              |
      | 80     | 20    | 100    | heads of short lines      | leaving at once                        |
      | 80     | 20    | 100    | lookups with 90 lines     | reading the response                   |
      | 80     | 20    | 100    | lookups with 90 lines     | leaving at once                        |
      | 80     | 20    | 30     | new prompts of many parts | leaving after some events              |
