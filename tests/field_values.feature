Feature: Texts as values of header fields

  # Guards against two texts, or two values, that become the same one.
  Scenario: any text that is valid is decoded from the value that carries it
    Then 500 generated texts are either invalid or decoded as they were

  # Guards against a text that is called valid and that the HTTP library
  # refuses to send, or sends as something else.
  Scenario: any text that is valid is received as it was sent
    Then 500 generated texts that are valid are received as they were sent

  Scenario: any value is identified by a text of its own
    Then 500 generated values are encoded again from the texts that identify them
    And these texts can be written to JSON

  Scenario: the examples in the documentation hold
    Then the examples of the modules field_values and decoding hold
