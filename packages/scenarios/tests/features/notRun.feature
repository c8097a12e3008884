Feature: What is refused as "not run" truly did not run, by the upstreams' own record

  Scenario: more work than fits the bound is refused at once
    Given 2 entries before 2 slow engines of 1 slot
    And 1 other caller keeps the engines busy from entry-1
    When a caller asks entry-1 with a deadline of 60 ms
    Then the stream is refused with overloaded, not-run, and when to come back
    And the engines have run no request "refused"

  Scenario: no engine is left
    Given 2 entries before 2 engines and 0 printers
    And all engines are killed
    And entry-1 knows that no engine is left
    When a caller streams 5 tokens from entry-1 that are never computed
    Then the stream is refused with no-route, not-run, and when to come back

  Scenario: an engine that gives up all runs
    Given 2 entries before 2 engines and 0 printers
    And engine-1 gives up all runs
    When a caller streams 5 tokens from entry-1 that are never computed
    Then the stream is refused with no-route, not-run, and when to come back
    And the engines have run no request "refused"

  Scenario: an entry that is stopping
    Given 2 entries before 2 engines and 0 printers
    And 1 other caller keeps the engines busy from entry-1
    And entry-1 is draining and takes no more requests
    When a caller streams 5 tokens from entry-1 that are never computed
    Then the stream is refused with not-ready, not-run, and when to come back
    And the engines have run no request "refused"
