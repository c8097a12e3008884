Feature: A leaving upstream receives no new work, and a planned stop interrupts no request

  Scenario: an engine reports that it is leaving
    Given 3 entries with 4 engines and 0 printers
    When 2 callers begin to stream 60 tokens from each entry
    And engine-1 reports that it is leaving
    And every entry sees that engine-1 is leaving
    And all streams have ended
    Then every completion is complete and correct
    And engine-1 receives no further work

  Scenario: each entry, including the leader, is stopped in turn under load
    Given 3 entries with 4 engines and 0 printers
    When 2 callers begin to stream 150 tokens from each entry
    And entry-1 is asked to stop and ends with code 0
    And all streams have ended
    Then every completion is complete and correct
    When entry-1 starts again
    And all entries are ready
    And 2 callers begin to stream 150 tokens from each entry
    And entry-2 is asked to stop and ends with code 0
    And all streams have ended
    Then every completion is complete and correct
    When entry-2 starts again
    And all entries are ready
    And 2 callers begin to stream 150 tokens from each entry
    And entry-3 is asked to stop and ends with code 0
    And all streams have ended
    Then every completion is complete and correct

  Scenario: a second entry is killed right after the first has restarted
    Given 3 entries with 4 engines and 1 printer
    And entry-1 is killed
    And entry-1 starts again
    And all entries are ready
    And entry-2 is killed
    When a caller sends slip "sale 9" with key "k9" to entry-3
    Then all responses are 200 and identical
    And slip "sale 9" was printed 1 time
    When an operator confirms intent "second" at entry-1
    Then version 2 is in force at every running entry
