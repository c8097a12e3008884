Feature: Invalid input is refused with a specific error and does no harm

  Scenario: invalid requests are refused before any work is done
    Given a standalone entry with 2 engines and 1 printer
    When a caller sends "a body that is too large" to entry-1
    Then the response is 413 with error body-too-large and outcome not-run
    When a caller sends "broken JSON" to entry-1
    Then the response is 400 with error broken-json and outcome not-run
    When a caller sends "a body without a prompt" to entry-1
    Then the response is 400 with error bad-request and outcome not-run
    When a caller sends "too many tokens asked for" to entry-1
    Then the response is 400 with error bad-request and outcome not-run
    When a caller sends "an unknown model" to entry-1
    Then the response is 404 with error unknown-model and outcome not-run
    When a caller sends "an unknown path" to entry-1
    Then the response is 404 with error unknown-path and outcome not-run
    When a caller sends "an unknown service" to entry-1
    Then the response is 404 with error unknown-service and outcome not-run
    When a caller sends "no organisation" to entry-1
    Then the response is 401 with error missing-organisation and outcome not-run
    When a caller sends "an unknown organisation" to entry-1
    Then the response is 401 with error unknown-organisation and outcome not-run
    When a caller sends "a wrong secret" to entry-1
    Then the response is 401 with error wrong-secret and outcome not-run
    When a caller sends "an unknown class" to entry-1
    Then the response is 400 with error contradicting-header and outcome not-run
    When a caller sends "a deadline that is no number" to entry-1
    Then the response is 400 with error contradicting-header and outcome not-run
    When a caller sends "a call that claims to be repeatable" to entry-1
    Then the response is 400 with error contradicting-header and outcome not-run
    When a caller sends "a call without the key it needs" to entry-1
    Then the response is 400 with error missing-key and outcome not-run
    And the stand-ins have done no work

  Scenario: engines are freed when a caller disconnects in mid-stream
    Given a standalone entry with 2 engines and 0 printers
    When a caller disconnects from entry-1 after 3 tokens
    Then no engine has an active run
    When a caller streams 10 tokens from entry-1
    Then every completion is complete and correct

  Scenario: an incomplete request has no effect
    Given a standalone entry with 2 engines and 0 printers
    When a caller disconnects from entry-1 in the middle of a request
    And a caller streams 10 tokens from entry-1
    Then every completion is complete and correct

  Scenario: a malformed response is reported with its upstream and an unknown outcome
    Given a standalone entry with 2 engines and 0 printers
    And engine-1 sends malformed responses
    When a caller sends a completion to entry-1
    Then the response is 502 with error upstream-rubbish and outcome unknown
    And the response has a retry delay

  Scenario: an upstream does not respond
    Given a standalone entry with 2 engines and 0 printers
    And engine-2 never answers
    When a caller sends a completion to entry-1
    Then the response is 503 with error no-route and outcome unknown
    And the response has a retry delay

  Scenario: no completion is lost when one of two upstreams sends malformed responses
    Given a standalone entry with 4 engines and 0 printers
    And engine-1 sends malformed responses
    When a caller streams 20 tokens from entry-1
    Then every completion is complete and correct

  Scenario: a caller that does not read causes backpressure on the engines and is disconnected
    Given a standalone entry that disconnects stalled callers, with a model whose chunks are large
    When a caller requests 5000 tokens and never reads the response
    Then no engine has an active run
    And the engines have computed less than half of 5000 tokens
    And the log of entry-1 records that the request failed with cancelled
