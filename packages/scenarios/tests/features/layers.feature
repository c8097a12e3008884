Feature: Every layer computes each token exactly once, and completions are complete

  Scenario: a stage is killed in mid-stream
    Given 2 entries with 4 engines and 0 printers
    When a caller streams 40 tokens from entry-1 and engine-1 is killed at token 5
    Then every completion is complete and correct

  Scenario: answers are duplicated, delayed and reordered
    Given 2 entries with 2 engines and 0 printers
    And engine-1 sends each answer twice and 15 ms late
    When 4 callers stream 12 tokens from each entry
    Then every completion is complete and correct

  Scenario: a repeatable request ends with an unknown outcome when the only engine with a range of layers is killed
    Given a standalone entry with 2 engines and 0 printers
    When a caller streams 300 tokens from entry-1 and engine-1 is killed at token 5
    Then the stream ends with error no-route and outcome unknown
    And the text before the error is a prefix of the expected text

  Scenario Outline: an engine evicts its runs and their caches are moved to another: <what>
    Given 2 entries with 4 engines and 0 printers
    And <repeats>
    When a caller streams 40 tokens with key "draft-2" from entry-1 and the busy engine number <number> evicts at token 5
    Then every completion is complete and correct
    And the timeline of entry-1 has the event stage-moved
    And no layer computed a position twice: 6 layers, 40 tokens and a prompt of 9

    Examples:
      | what                            | repeats                      | number |
      | the first stage                 | the model is repeatable      | 1      |
      | the last stage                  | the model is repeatable      | 2      |
      | a request that is not repeatable | the model is not repeatable | 1      |

  Scenario: completions are complete when a link becomes a hundred times slower
    Given 2 entries with 2 engines behind links of 0 ms and 30 ms
    When 2 callers stream 8 tokens from each entry
    Then every completion is complete and correct
