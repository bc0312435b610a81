Feature: Translation between the users' platform and the internal model

  Scenario: reserved headers of a caller are not forwarded
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

  Scenario: the remaining time, the upstream and the account are added
    Then a request is forwarded with these headers
      | header           | value |
      | Request-Deadline | 1234  |
      | Expect-Instance  | u1    |
      | Tenant           | acme  |
      | Request-Id       | q1    |
      | X-Other          | kept  |

  Scenario Outline: decoding of a caller's generation headers
    Then the counts <counts> with the parts <parts> are decoded as <meaning>

    Examples:
      | counts   | parts         | meaning          |
      | 1460,80  | 5c:800,91:410 | 1460 80 2 parts  |
      | 1460,80  | none          | 1460 80 0 parts  |
      | many     | none          | no generation    |
      | 1460     | none          | no generation    |
      | 1460,80  | 5c            | no generation    |

  # Guards against tables that are filled with names of any length.
  Scenario: the names of prompt parts have a bounded length
    Then a part name of 64 characters is kept as it is
    And a part name of 65 characters is kept as 32 others, always the same

  Scenario Outline: invalid server entries are rejected one by one
    Then the entry <entry> <outcome>

    Examples:
      | entry                                                                | outcome     |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"}   | is used     |
      | {"service":"s","address":"10.0.0.1:80","zone":"z","state":"asleep"}  | is rejected |
      | {"service":"s","address":"10.0.0.1","zone":"z","state":"ready"}      | is rejected |
      | {"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready"}     | is rejected |
      | {"service":"s","zone":"z","state":"ready"}                           | is rejected |
      | [1,2                                                                 | is rejected |

  Scenario: a desired state is decoded into the internal model
    Given the desired state of the stand-in
    Then its version, routes, services, accounts and limits are decoded

  Scenario: the error for an invalid desired state names the value
    Given the desired state of the stand-in
    When the field "kind" of its first route is "odd"
    Then decoding fails with an error that names "odd"

  Scenario: the error for invalid settings names the field and a remedy
    Then settings with the unknown field "colour" are rejected with an error naming it
    And settings without "region" are rejected with an error naming it
    And settings with the address "here" are rejected with an error naming it
    And settings with "caller_memory_mb" 12 are rejected with an error naming it
    And settings with "caller_memory_mb" 150 are rejected with an error naming it
    And settings with "caller_connections" 0 are rejected with an error naming it
    And settings with "caller_connections" 4200 are rejected with an error naming it

  Scenario Outline: decoding of an upstream's request limit
    Then the request limit <header> is decoded as <meaning>

    Examples:
      | header | meaning  |
      | 1.25   | 1.25     |
      | 0      | 0.0      |
      | none   | no limit |
      | many   | invalid  |
      | -1     | invalid  |
      | nan    | invalid  |
      | inf    | invalid  |

  Scenario Outline: decoding of the time for which an upstream stays cold
    Then the remaining warm-up <header> is decoded as <meaning>

    Examples:
      | header     | meaning  |
      | 850        | 850.0    |
      | 12.5       | 12.5     |
      | 0          | 0.0      |
      | none       | nothing  |
      | soon       | invalid  |
      | -1         | invalid  |
      | nan        | invalid  |
      | 400 digits | invalid  |

  # Guards against a deployment whose whole state is lost by a mistake in a
  # value of little weight.
  Scenario Outline: decoding of a service's warm-up
    Given the desired state of the stand-in
    When its first service states the warm-up <warm_up> and the rate <rate>
    Then that service is cold for <duration> ms and tolerates <per_s> requests a second

    Examples:
      | warm_up  | rate    | duration | per_s |
      | 1.5      | 22      | 1500     | 22    |
      | none     | none    | 0        | 0     |
      | -1       | -22     | 0        | 0     |
      | "1"      | "many"  | 0        | 0     |
      | null     | [22]    | 0        | 0     |
      | true     | {}      | 0        | 0     |
      | 1e400    | 10**400 | 0        | 0     |

  Scenario: a warm-up that cannot be used is logged once
    Given the desired state of the stand-in
    When its first service states the warm-up -7 and the rate 22
    Then decoding it twice logs one warning that names desk.warmupS

  Scenario Outline: decoding of the warm-up in the entry of a server
    Then the warm-up <left> in an entry is decoded as <meaning>

    Examples:
      | left   | meaning |
      | 850    | 850     |
      | -1     | 0       |
      | "soon" | 0       |
      | null   | 0       |
      | [1]    | 0       |

  # Guards against a comma that is missing or left over in the template.
  Scenario Outline: the template of the settings gives valid settings
    Then the template of the settings with <values> gives the rules <rules>

    Examples:
      | values                                         | rules            |
      | nothing optional                               | None, None, None |
      | warmupExcess 1.5, warmupSlack 5, evacuateMs 9  | 1.5, 5.0, 9.0    |
      | evacuateMs 5000                                | None, None, 5000.0 |

  # Guards against a continuation that cannot be encoded.
  Scenario Outline: the handle <handle> of a moved run
    Then the response to a move with the handle <handle> gives <outcome>

    Examples:
      | handle      | outcome       |
      | "h7"        | that handle   |
      | "핸들"      | that handle   |
      | 7           | that handle   |
      | "a\r\nb"    | no handle     |
      | " a"        | no handle     |
      | ""          | no handle     |
      | "\ud800"    | no handle     |
