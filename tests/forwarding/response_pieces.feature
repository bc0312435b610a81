Feature: The pieces of a response are handled in bounded portions, in order

  # Guards against work that grows with the number of ready connections and of
  # pieces in what they have received.
  Scenario Outline: an iteration of the loop handles a bounded number of pieces
    Given <count> upstreams that answer with 5000 chunks of one byte
    When a request is sent to each and all responses have ended
    Then no iteration of the loop handled more than <most> pieces
    And each response is whole and has ended once

    Examples:
      | count | most |
      | 1     | 96   |
      | 3     | 160  |
      | 12    | 448  |

  # Guards against the end of a connection that overtakes what came before it.
  Scenario Outline: the end of a connection follows the pieces before it
    Given an upstream that answers with 5000 chunks of one byte, then <end>
    When a request is sent to each and all responses have ended
    Then 5000 bytes have come before the response <outcome>

    Examples:
      | end                   | outcome     |
      | the last chunk        | is complete |
      | closes the connection | fails       |

  # Guards against a write error that discards what has been received.
  Scenario: a connection that breaks while pieces wait loses none of them
    Given an upstream that answers with 500 chunks of one byte, then the last chunk
    When a request is sent whose connection breaks after the 100th piece
    Then 500 bytes have come before the response is complete

  # Guards against pieces that are forwarded to a caller that does not read.
  Scenario: no piece is handled while the attempt is paused
    Given an upstream that answers with 5000 chunks of one byte, then the last chunk
    When a request is sent whose listener pauses at each 100th piece for 2 ms
    Then no piece has come during a pause
    And each response is whole and has ended once

  # Guards against a response that waits for its turn and was given up.
  Scenario: a cancelled attempt gets no further piece
    Given an upstream that answers with 5000 chunks of one byte, then the last chunk
    When a request is sent whose listener cancels it at the 200th piece
    Then 200 bytes have come and the connection is closed

  # Guards against heads of many fields that are parsed in the same iteration.
  Scenario: an iteration of the loop parses one long head
    Given 5 upstreams that answer with a head of 1000 fields
    When a request is sent to each and all responses have ended
    Then no iteration of the loop parsed more than 1 head
    And each response is whole and has ended once
