Feature: A request marked as not repeatable runs at most once, whichever entries it is sent to

  Scenario: the same slip sent to every entry at once
    Given 3 entries before 0 engines and 2 printers
    When a caller sends slip "sale 1" with key "k1" to every entry at once
    Then all answers are 200 and alike
    And slip "sale 1" was printed 1 time

  Scenario: the same key with another slip
    Given 3 entries before 0 engines and 2 printers
    When a caller sends slip "sale 1" with key "k1" to entry-1
    And a caller sends slip "sale 2" with key "k1" to entry-2
    Then the answer is 422 with error key-reused and outcome not-run
    And slip "sale 2" was printed 0 times

  Scenario: the printer does the work and loses the answer
    Given 3 entries before 0 engines and 1 printer
    And printer-1 drops its answers
    When a caller sends slip "sale 1" with key "k1" to entry-1
    Then the answer is 502 with error upstream-lost and outcome unknown
    When printer-1 is well again
    And a caller sends slip "sale 1" with key "k1" to entry-2
    Then the answer is 502 with error upstream-lost and outcome unknown
    And slip "sale 1" was printed 1 time

  Scenario: the printer says that it did not run
    Given 3 entries before 0 engines and 1 printer
    And printer-1 runs nothing
    When a caller sends slip "sale 1" with key "k1" to entry-1
    Then the answer is 503 with error upstream-not-reached and outcome not-run
    When printer-1 is well again
    And a caller sends slip "sale 1" with key "k1" to entry-2
    Then all answers but the first are 200
    And slip "sale 1" was printed 1 time

  Scenario Outline: the entry dies <when>
    Given 3 entries before 0 engines and 1 slow printer
    When a caller sends slip "sale 1" with key "k1" to entry-1, which is killed <delay> ms later
    And the same slip is sent to entry-2 until it is answered
    Then slip "sale 1" was printed at most once, and exactly once where the answer is 200

    Examples:
      | when                        | delay |
      | before the claim            | 0     |
      | around the claim            | 4     |
      | once claimed                | 12    |
      | while the printer works     | 120   |
      | when the printer has done   | 310   |
      | after the answer            | 500   |

  Scenario: without a quorum nothing runs
    Given 3 entries before 0 engines and 1 printer
    And entry-2 is killed
    And entry-3 is killed
    When a caller sends slip "sale 1" with key "k1" to entry-1
    Then the answer is 503 with an outcome of not-run
    And the answer says when to come back
    And slip "sale 1" was printed 0 times

  Scenario: a generation that may not run twice and loses its stage is not run again
    Given an entry alone before 4 engines and 0 printers
    And the model may not run twice
    When a caller streams 60 tokens with key "draft-1" from entry-1 and its first stage is killed at token 5
    Then the stream ends with outcome unknown
    When a caller streams 60 tokens with key "draft-1" from entry-1
    Then the answer is the error that was kept
