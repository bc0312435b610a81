Feature: Names of the users' platform are decoded once

  Scenario: headers that are the system's own never come from a caller
    Then a request with these headers is forwarded without them
      | header           |
      | Credential       |
      | Tenant           |
      | Hold             |
      | Pin-Duration     |
      | Kv-Backup        |
      | Kv-From          |
      | Kv-Fetch         |
      | Request-Priority |
      | Expect-Instance  |
      | Expect-Version   |
      | Connection       |
      | X-Named          |

  Scenario: the upstream is told the time left, its name and the account
    Then a request is forwarded with these headers
      | header           | value |
      | Request-Deadline | 1234  |
      | Expect-Instance  | u1    |
      | Tenant           | acme  |
      | Request-Id       | q1    |
      | X-Other          | kept  |

  Scenario Outline: what a caller says of a generation
    Then the counts <counts> with the parts <parts> are read as <meaning>

    Examples:
      | counts   | parts         | meaning          |
      | 1460,80  | 5c:800,91:410 | 1460 80 2 parts  |
      | 1460,80  | none          | 1460 80 0 parts  |
      | many     | none          | no generation    |
      | 1460     | none          | no generation    |
      | 1460,80  | 5c            | no generation    |

  Scenario Outline: entries that name no server to use do not stop the others
    Then the entry <entry> <outcome>

    Examples:
      | entry                                                                | outcome     |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"}   | is used     |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","state":"asleep"}  | is rejected |
      | {"service":"s","address":"10.0.0.1","zone":"z","state":"ready"}      | is rejected |
      | {"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready"}     | is rejected |
      | {"service":"s","zone":"z","state":"ready"}                           | is rejected |
      | [1,2                                                                 | is rejected |

  Scenario: a desired state is read into the project's words
    Given the desired state of the stand-in
    Then its version, routes, services, accounts and limits are read

  Scenario: a desired state with a wrong field names it
    Given the desired state of the stand-in
    When the field "kind" of its first route is "odd"
    Then reading it fails and names "odd"

  Scenario: settings with an unknown or missing field name it and the remedy
    Then settings with the unknown field "colour" are refused with its name
    And settings without "region" are refused with its name
    And settings with the address "here" are refused with its name
