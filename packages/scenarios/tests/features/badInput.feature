Feature: Bad input gets a clear error and loses nothing

  Scenario: requests that can't be served are refused before anything runs
    Given an entry alone before 2 engines and 1 printer
    When a caller sends "a body that is too large" to entry-1
    Then the answer is 413 with error body-too-large and outcome not-run
    When a caller sends "broken JSON" to entry-1
    Then the answer is 400 with error broken-json and outcome not-run
    When a caller sends "a body without a prompt" to entry-1
    Then the answer is 400 with error bad-request and outcome not-run
    When a caller sends "too many tokens asked for" to entry-1
    Then the answer is 400 with error bad-request and outcome not-run
    When a caller sends "an unknown model" to entry-1
    Then the answer is 404 with error unknown-model and outcome not-run
    When a caller sends "an unknown path" to entry-1
    Then the answer is 404 with error unknown-path and outcome not-run
    When a caller sends "an unknown service" to entry-1
    Then the answer is 404 with error unknown-service and outcome not-run
    When a caller sends "no organisation" to entry-1
    Then the answer is 401 with error missing-organisation and outcome not-run
    When a caller sends "an unknown organisation" to entry-1
    Then the answer is 401 with error unknown-organisation and outcome not-run
    When a caller sends "a wrong secret" to entry-1
    Then the answer is 401 with error wrong-secret and outcome not-run
    When a caller sends "an unknown class" to entry-1
    Then the answer is 400 with error contradicting-header and outcome not-run
    When a caller sends "a deadline that is no number" to entry-1
    Then the answer is 400 with error contradicting-header and outcome not-run
    When a caller sends "a call that claims to be repeatable" to entry-1
    Then the answer is 400 with error contradicting-header and outcome not-run
    When a caller sends "a call without the key it needs" to entry-1
    Then the answer is 400 with error missing-key and outcome not-run
    And the stand-ins have done no work

  Scenario: a caller that disconnects in mid-stream frees the engines
    Given an entry alone before 2 engines and 0 printers
    When a caller leaves entry-1 after 3 tokens
    Then no engine has a run left
    When a caller streams 10 tokens from entry-1
    Then every answer is whole

  Scenario: a caller that sends half a request changes nothing
    Given an entry alone before 2 engines and 0 printers
    When a caller sends half a request to entry-1 and goes away
    And a caller streams 10 tokens from entry-1
    Then every answer is whole

  Scenario: an upstream that answers rubbish is named, and the outcome is not claimed to be known
    Given an entry alone before 2 engines and 0 printers
    And engine-1 answers rubbish
    When a caller sends a completion to entry-1
    Then the answer is 502 with error upstream-rubbish and outcome unknown
    And the answer says when to come back

  Scenario: an upstream that never answers
    Given an entry alone before 2 engines and 0 printers
    And engine-2 never answers
    When a caller sends a completion to entry-1
    Then the answer is 503 with error no-route and outcome unknown
    And the answer says when to come back

  Scenario: one upstream of two that answers rubbish costs no answer
    Given an entry alone before 4 engines and 0 printers
    And engine-1 answers rubbish
    When a caller streams 20 tokens from entry-1
    Then every answer is whole

  Scenario: a caller that reads nothing holds the engines back, and is given up
    Given an entry alone that gives up stalled callers, before a model whose chunks are large
    When a caller asks for 5000 tokens and reads nothing
    Then no engine has a run left
    And the engines have computed less than half of 5000 tokens
    And the log of entry-1 says that the request failed as cancelled
