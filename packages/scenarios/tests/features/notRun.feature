Feature: A request that is refused as "not run" did not run, according to the upstreams

  Scenario: work beyond the latency bound is refused at once
    Given 2 entries with 2 slow engines with 1 slot each
    And 1 other caller keeps the engines busy from entry-1
    When a caller sends a request to entry-1 with a deadline of 60 ms
    Then the stream is refused with overloaded, outcome not-run and a retry delay
    And the engines have run no request "refused"

  Scenario: all engines are down
    Given 2 entries with 2 engines and 0 printers
    And all engines are killed
    And entry-1 sees all engines as unreachable
    When a caller streams 5 tokens from entry-1 and is refused
    Then the stream is refused with no-route, outcome not-run and a retry delay

  Scenario: an engine evicts all runs
    Given 2 entries with 2 engines and 0 printers
    And engine-1 evicts all runs
    When a caller streams 5 tokens from entry-1 and is refused
    Then the stream is refused with no-route, outcome not-run and a retry delay
    And the engines have run no request "refused"

  Scenario: an entry is draining
    Given 2 entries with 2 engines and 0 printers
    And 1 other caller keeps the engines busy from entry-1
    And entry-1 is draining and takes no more requests
    When a caller streams 5 tokens from entry-1 and is refused
    Then the stream is refused with not-ready, outcome not-run and a retry delay
    And the engines have run no request "refused"
