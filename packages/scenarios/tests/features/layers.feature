Feature: Every layer runs exactly once for each token, and answers come whole

  Scenario: a stage dies in mid-stream
    Given 2 entries before 4 engines and 0 printers
    When a caller streams 40 tokens from entry-1 and engine-1 is killed at token 5
    Then every answer is whole

  Scenario: answers come twice, late and crossed
    Given 2 entries before 2 engines and 0 printers
    And engine-1 answers twice and 15 ms late
    When 4 callers stream 12 tokens from each entry
    Then every answer is whole

  Scenario: the only holder of a range dies, and a repeatable answer says that its outcome is unknown
    Given an entry alone before 2 engines and 0 printers
    When a caller streams 300 tokens from entry-1 and engine-1 is killed at token 5
    Then the stream ends with error no-route and outcome unknown
    And what came before the error is the beginning of the whole answer

  Scenario Outline: an engine gives its runs up and their caches go on elsewhere: <what>
    Given 2 entries before 4 engines and 0 printers
    And <repeats>
    When a caller streams 40 tokens with key "draft-2" from entry-1 and the busy engine number <number> evicts at token 5
    Then every answer is whole
    And the time line of entry-1 has the event stage-moved
    And no position passed a layer twice: 6 layers, 40 tokens and a prompt of 9

    Examples:
      | what                            | repeats                      | number |
      | the first stage                 | the model may run twice      | 1      |
      | the last stage                  | the model may run twice      | 2      |
      | a draft that may not be repeated | the model may not run twice | 1      |

  Scenario: a link slows a hundredfold and answers still come whole
    Given 2 entries before 2 engines with links of 0 ms and 30 ms
    When 2 callers stream 8 tokens from each entry
    Then every answer is whole
