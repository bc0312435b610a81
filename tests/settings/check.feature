Feature: Validation reports all faults of a document with path and remedy

  Scenario Outline: the example of a deployment has no fault
    Given the example text of "<deployment>"
    Then the settings check finds nothing
    And the settings of all its VMs have no fault

    Examples:
      | deployment  |
      | nadroga     |
      | lagotermica |

  Scenario Outline: an invalid services text is rejected with path and remedy
    Given the example text of "nadroga"
    When its "<place>" is set to <value>
    Then the settings check names "<path>" with the remedy "<remedy>"
    And the settings check finds <count> faults

    Examples: structure
      | place                | value  | path                   | remedy                    | count |
      | services.1.kind      | "pain" | $.services[1].kind     | use engine, plain         | 1     |
      | services.0.depend_on | []     | $.services[0].depend_on | write depends_on, or remove the field | 1 |
      | deployment           | 7      | $.deployment           | write a string            | 1     |
      | regions              | {}     | $.regions              | write an array            | 1     |
      | services.0.model     | 3      | $.services[0].model    | write an object with model or null | 1 |
      | services.0.max_tokens | 2.5   | $.services[0].max_tokens | write a whole number    | 1     |
      | region_link          | {"price_per_gigabyte": 1e999} | $.region_link.price_per_gigabyte | write a number | 1 |

    Examples: values
      | place                     | value | path                                 | remedy                           | count |
      | client_accounts.2.requests_per_second | -1 | $.client_accounts[2].requests_per_second | write a number above 0 | 1 |
      | client_accounts.0.key_sha256 | "open sesame" | $.client_accounts[0].key_sha256 | write the SHA-256 of the key, never the key itself | 1 |
      | region_link               | {"price_per_gigabyte": -0.1} | $.region_link.price_per_gigabyte | write a number 0 or more | 1 |
      | services.0.objective      | {"stall": 0, "preemption": 0, "token_gap_tail": 0} | $.services[0].objective | give at least one of them a weight above zero | 1 |
      | services.0.model          | null  | $.services[0].model                  | name the model that its engines serve | 1 |
      | services.1.model          | {"model": "m"} | $.services[1].model         | remove the model, or make the kind "engine" | 1 |
      | services.0.calls          | [{"method": "GET", "path": "/a", "idempotent": true}] | $.services[0].calls | remove the calls, or make the kind "plain" | 1 |
      | services.1.calls.0.path   | "stock" | $.services[1].calls[0].path        | write the path below the service, such as "/bookings" | 1 |
      | client_accounts.3.client_account | "a/b" | $.client_accounts[3].client_account | use 1 to 200 characters without spaces and "/" | 1 |

    Examples: references
      | place                     | value | path                                 | remedy                           | count |
      | services.0.depends_on     | ["desk-ap"] | $.services[0].depends_on[0]    | write "desk-app", or add that service, or remove the name | 1 |
      | services.1.depends_on     | ["shop-assistant"] | $.services[0].depends_on | remove one of these dependencies | 1 |
      | services.1.depends_on     | ["desk-app"] | $.services[1].depends_on      | remove one of these dependencies | 1 |
      | regions.1.availability_zones | ["nadi-yard"] | $.regions[1].availability_zones[0] | keep one of the two       | 1 |
      | services.1.service        | "shop-assistant" | $.services[1].service     | keep one of the two              | 12 |
      | withheld_upstreams        | ["e1", "e1"] | $.withheld_upstreams[1]       | keep one of the two              | 1 |

  Scenario: faults of all kinds are reported together
    Given the example text of "lagotermica"
    When its "services.0.kind" is set to 5
    And its "services.1.depends_on" is set to ["nobody"]
    And its "client_accounts.0.weight" is set to -2
    And its "colour" is set to "blue"
    And its "regions.0.region" is set to "guanacaste"
    Then the settings check finds 5 faults

  Scenario Outline: a document that is not valid JSON is rejected without a traceback
    Then the settings check of the bytes <bytes> names "$"

    Examples:
      | bytes                     |
      | b''                       |
      | b'\xff\xfe'               |
      | b'{"deployment": NaN}'    |
      | b'{"a": "\\ud800"}'       |
      | b'[' * 100000             |
      | b'1' * 5000               |
      | b'null'                   |

  Scenario: a duplicate field is reported
    Then the settings check of the bytes b'{"services": [], "services": []}' names "$.services"

  Scenario: no document causes a traceback
    Then the settings check handles any JSON value
    And the settings check handles any mutation of the example texts
    And the settings check handles any bytes

  Scenario Outline: invalid VM settings are rejected with path and remedy
    Given the example VM settings of "nadroga"
    When their "<place>" is set to <value>
    Then the settings check names "<path>" with the remedy "<remedy>"
    And the settings check finds 1 faults

    Examples:
      | place           | value              | path              | remedy |
      | listen.callers  | "localhost:80"     | $.listen.callers  | write it as "IP:port" with a numeric IP address |
      | listen.peers    | "127.0.0.1:18100"  | $.listen.peers    | give each listener a separate address |
      | known_peers.0   | "127.0.0.1:70000"  | $.known_peers[0]  | write it as "IP:port" with a numeric IP address |
      | platform.plugin | "ftp"              | $.platform.plugin | use one of http |
      | platform.url    | "127.0.0.1:9000"   | $.platform.url    | write it as "http://IP:port" |
      | peer_keys       | []                 | $.peer_keys       | add a key |
      | cursor_keys.0.secret | "short"       | $.cursor_keys[0].secret | use at least 32 bytes |
      | cursor_keys.0.secret | {"file": "/nowhere/at/all"} | $.cursor_keys[0].secret.file | name a file that contains the secret |
      | log_level       | "loud"             | $.log_level       | use one of debug, info, warning, error |
      | known_peer      | []                 | $.known_peer      | write known_peers, or remove the field |

  Scenario: faults never contain a secret
    Given the example VM settings of "nadroga"
    When their "cursor_keys.0.secret" is set to "swordfish"
    Then no fault of the settings shows "swordfish"
