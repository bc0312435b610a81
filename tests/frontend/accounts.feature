Feature: Authentication of callers by the key of their client account

  # Guards against a key beyond ASCII that no caller can use: the services text
  # has the hash of its UTF-8, and WSGI passes each byte as a character.
  Scenario Outline: a caller sends the bytes <sent>
    Given client accounts whose keys are plain, 열쇠 and schlüssel à
    When a caller sends the authorization bytes <sent>
    Then the account is <account>

    Examples:
      | sent                      | account      |
      | Bearer plain              | plain        |
      | bearer   plain            | plain        |
      | Bearer 열쇠               | 열쇠         |
      | Bearer schlüssel à        | schlüssel à  |
      | Bearer plaim              | unknown      |
      | Basic plain               | unknown      |
