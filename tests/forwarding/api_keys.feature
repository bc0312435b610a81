Feature: API keys beyond ASCII

  # Guards against a key that the state spells in UTF-8 and no caller can use,
  # and against two keys that become the same text.
  Scenario Outline: a key <key> in the state and a request with the bytes <bytes>
    Given a VM in simulated time whose accounts alpha and beta have the keys <key> and other
    When a lookup presents the bytes <bytes> as its key
    Then its account is <account>

    Examples:
      | key              | bytes          | account |
      | UTF8:plain       | UTF8:plain     | alpha   |
      | UTF8:schlüssel   | UTF8:schlüssel | alpha   |
      | UTF8:열쇠        | UTF8:열쇠      | alpha   |
      | UTF8:clé à       | UTF8:clé à     | alpha   |
      | UTF8:à           | UTF8:à         | alpha   |
      | UTF8:schlüssel   | HEX:fc         | unknown |
      | UTF8:é           | HEX:e9         | unknown |
      | UTF8:Ã©          | HEX:c3a9       | unknown |
      | UTF8:é           | HEX:c3a9       | alpha   |
      | UTF8:é           | HEX:ff         | unknown |
      | empty            | none           | unknown |
      | empty            | empty          | unknown |
      | line feed        | UTF8:k-1       | unknown |

  Scenario Outline: the check of a state reports a key that cannot be presented
    Given the state of the stand-in with an account whose second key is <key>
    Then a fault names the second key of that account without quoting it

    Examples:
      | key            |
      | empty          |
      | line feed      |
      | trailing blank |
