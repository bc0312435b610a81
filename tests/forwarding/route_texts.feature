Feature: Hosts and prefixes of routes beyond ASCII

  # Guards against routes that no request can reach, and against two hosts that
  # become the same one.
  Scenario Outline: the route of the host <host> with the prefix <prefix>
    Given a VM in simulated time with a route of the host <host> with the prefix <prefix>
    When a booking is sent to the host bytes <sent> and the path <path>
    Then that route is <outcome>

    Examples:
      | host         | prefix     | sent              | path            | outcome   |
      | b.example    | /p/        | b.example         | /p/x            | found     |
      | B.Example    | /p/        | b.eXAMPLE:80      | /p/x            | found     |
      | 예약.example | /p/        | 예약.example      | /p/x            | found     |
      | 예약.Example | /p/        | 예약.eXAMPLE:80   | /p/x            | found     |
      | é.example    | /p/        | HEX:e9            | /p/x            | not found |
      | é.example    | /p/        | HEX:ff2e6578      | /p/x            | not found |
      | é.example    | /p/        | É.example         | /p/x            | not found |
      | k.example    | /p/        | HEX:e284aa2e6578616d706c65 | /p/x            | not found |
      | b.example    | /예약/     | b.example         | /%EC%98%88%EC%95%BD/x | found |
      | b.example    | /예약/     | b.example         | /%ec%98%88%ec%95%bd/x | found |
      | b.example    | /%ec%98%88/ | b.example        | /%EC%98%88/x    | found     |
      | b.example    | /é/        | b.example         | /%E9/x          | not found |
      | b.example    | /a b/      | b.example         | /a%20b/x        | found     |
      | b.example    | /a%2/      | b.example         | /a%2/x          | found     |
      | b.example    | /a~'(*)/   | b.example         | /a~'(*)/x?y=%e9 | found     |

  Scenario: two prefixes that callers send in the same way are a fault
    Given a state with the prefixes /é/ and /%c3%a9/ of one host
    Then a fault says that both have the same host and prefix
