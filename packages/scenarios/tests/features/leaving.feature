Feature: A leaving upstream receives no new work, and a planned stop cuts off no request

  Scenario: an engine says that it leaves
    Given 3 entries before 4 engines and 0 printers
    When 2 callers begin to stream 60 tokens from each entry
    And engine-1 says that it leaves
    And every entry knows that engine-1 leaves
    And all streams have ended
    Then every answer is whole
    And engine-1 computes nothing more

  Scenario: each entry in turn is stopped under load, the leader included
    Given 3 entries before 4 engines and 0 printers
    When 2 callers begin to stream 150 tokens from each entry
    And entry-1 is asked to stop and ends with code 0
    And all streams have ended
    Then every answer is whole
    When entry-1 starts again
    And all entries are ready
    And 2 callers begin to stream 150 tokens from each entry
    And entry-2 is asked to stop and ends with code 0
    And all streams have ended
    Then every answer is whole
    When entry-2 starts again
    And all entries are ready
    And 2 callers begin to stream 150 tokens from each entry
    And entry-3 is asked to stop and ends with code 0
    And all streams have ended
    Then every answer is whole

  Scenario: a second entry is lost right after the first came back
    Given 3 entries before 4 engines and 1 printer
    And entry-1 is killed
    And entry-1 starts again
    And all entries are ready
    And entry-2 is killed
    When a caller sends slip "sale 9" with key "k9" to entry-3
    Then all answers are 200 and alike
    And slip "sale 9" was printed 1 time
    When an operator confirms intent "second" at entry-1
    Then version 2 is in force at every living entry
