Feature: A request marked as not repeatable runs at most once, even if it is sent to several entries

  Scenario: the same slip sent to every entry at once
    Given 3 entries with 0 engines and 2 printers
    When a caller sends slip "sale 1" with key "k1" to every entry at once
    Then all responses are 200 and identical
    And slip "sale 1" was printed 1 time

  Scenario: the same key with another slip
    Given 3 entries with 0 engines and 2 printers
    When a caller sends slip "sale 1" with key "k1" to entry-1
    And a caller sends slip "sale 2" with key "k1" to entry-2
    Then the response is 422 with error key-reused and outcome not-run
    And slip "sale 2" was printed 0 times

  Scenario: the printer runs the call but its response is lost
    Given 3 entries with 0 engines and 1 printer
    And printer-1 drops its responses
    When a caller sends slip "sale 1" with key "k1" to entry-1
    Then the response is 502 with error upstream-lost and outcome unknown
    When printer-1 recovers
    And a caller sends slip "sale 1" with key "k1" to entry-2
    Then the response is 502 with error upstream-lost and outcome unknown
    And slip "sale 1" was printed 1 time

  Scenario: the printer refuses the call as not run
    Given 3 entries with 0 engines and 1 printer
    And printer-1 refuses all calls as not run
    When a caller sends slip "sale 1" with key "k1" to entry-1
    Then the response is 503 with error upstream-not-reached and outcome not-run
    When printer-1 recovers
    And a caller sends slip "sale 1" with key "k1" to entry-2
    Then all responses but the first are 200
    And slip "sale 1" was printed 1 time

  Scenario Outline: the entry is killed <when>
    Given 3 entries with 0 engines and 1 slow printer
    When a caller sends slip "sale 1" with key "k1" to entry-1, which is killed <delay> ms later
    And the same slip is retried at entry-2 until its outcome is final
    Then slip "sale 1" was printed at most once, and exactly once where the response is 200

    Examples:
      | when                        | delay |
      | before the claim            | 0     |
      | around the claim            | 4     |
      | once claimed                | 12    |
      | while the printer works     | 120   |
      | when the printer has done   | 310   |
      | after the answer            | 500   |

  Scenario: nothing runs without a quorum
    Given 3 entries with 0 engines and 1 printer
    And entry-2 is killed
    And entry-3 is killed
    When a caller sends slip "sale 1" with key "k1" to entry-1
    Then the response is 503 with an outcome of not-run
    And the response has a retry delay
    And slip "sale 1" was printed 0 times

  Scenario: a generation that is not repeatable is not run again after it lost a stage
    Given a standalone entry with 4 engines and 0 printers
    And the model is not repeatable
    When a caller streams 60 tokens with key "draft-1" from entry-1 and its first stage is killed at token 5
    Then the stream ends with outcome unknown
    When a caller streams 60 tokens with key "draft-1" from entry-1
    Then the response repeats the stored error
