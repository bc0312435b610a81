Feature: Request IDs beyond ASCII

  # Guards against a run that cannot be continued, or a response that is not
  # recognized, because its ID is spelled differently in a header.
  Scenario Outline: a stream with a <spelling> ID is continued from its copy
    Given a VM in simulated time with three engines
    When a stream with a <spelling> ID runs with a copy
    And its engine breaks off after event 3
    Then the holder of the copy is asked for the copy by the same bytes
    And the caller gets the whole stream from both

    Examples:
      | spelling   |
      | plain      |
      | UTF-8      |
      | Latin-1    |
      | mixed      |
      | control    |

  # Guards against the response to one of two requests that is taken for that
  # of the other.
  Scenario Outline: IDs with the bytes <first> and <second> are told apart
    Then an echo of <first> is <relation> the ID <second>

    Examples:
      | first | second | relation  |
      | c3a9  | c3a9   | that of   |
      | e9    | e9     | that of   |
      | c3a9  | e9     | not that of |
      | e9    | c3a9   | not that of |
      | c3    | c383   | not that of |
      | 61    | 61a0   | not that of |

  # Guards against a call in JSON that names a run by another ID.
  Scenario Outline: a run with a <spelling> ID that has to move
    Given a VM in simulated time with three engines
    When a stream with a <spelling> ID runs without a copy and its engine is leaving
    Then its engine is asked to move the run <outcome>

    Examples:
      | spelling | outcome         |
      | plain    | by the same ID  |
      | UTF-8    | by the same ID  |
      | Latin-1  | not at all      |
