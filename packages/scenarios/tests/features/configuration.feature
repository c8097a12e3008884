Feature: A confirmed configuration is in force on every instance within seconds and never reverts

  Scenario: nothing changes before confirm
    Given 3 entries with 2 engines and 0 printers
    When an operator plans intent "second" at entry-2
    Then version 1 is in force at every entry

  Scenario: one of two concurrent confirmations succeeds and the other is refused with the conflicting change
    Given 3 entries with 2 engines and 0 printers
    When operators plan "left" at entry-1 and "right" at entry-2 and confirm both at once
    Then one confirmation succeeds with version 2 and the other is refused with the conflicting change
    And version 2 is in force at every entry

  Scenario: an intent is idempotent when it is sent again, at any entry and after a change of leader
    Given 3 entries with 2 engines and 0 printers
    When an operator plans intent "second" at entry-1
    And an operator plans intent "second" at entry-3
    Then both plans are the same
    When an operator confirms the plan at entry-2
    Then the version is 2 and the confirmation is not a repeat
    When the leader is killed
    And an operator plans intent "second" at a running entry
    And an operator confirms the plan at a running entry
    Then the version is 2 and the confirmation is a repeat

  Scenario: an intent id can't be reused for a different intent
    Given 3 entries with 2 engines and 0 printers
    When an operator plans intent "second" at entry-1
    And an operator plans a different intent with id "second" at entry-2
    Then the operator is refused with intent-reused

  Scenario: an entry that was down catches up with the version that was confirmed meanwhile
    Given 3 entries with 2 engines and 0 printers
    And entry-3 is killed
    When an operator confirms intent "second" at entry-1
    And entry-3 starts again
    And all entries are ready
    Then version 2 is in force at every entry

  Scenario: entries without a disk follow, and serve no callers until a quorum has confirmed the version to them
    Given 4 entries, 3 of them with disks, and 2 engines
    When an operator confirms intent "second" at entry-4
    Then version 2 is in force at every entry
    When entry-1 is killed
    And entry-2 is killed
    And entry-4 starts again
    Then entry-4 refuses callers as not ready
    When entry-1 starts again
    And all entries are ready
    Then version 2 is in force at every entry

  Scenario: five hundred confirmed changes survive repeated crashes of all processes at once
    Given 3 entries with 2 engines and 0 printers
    When an operator confirms 500 changes while all entries are killed at random points
    Then every entry comes back to the last confirmed version or a newer one

  Scenario: a voter that lost its disk does not vote with an empty log, and can be replaced
    Given 3 entries with 2 engines and 0 printers
    And entry-3 loses its disk
    And entry-2 is killed
    When entry-3 starts again
    Then entry-1 can't confirm anything
    When entry-2 starts again
    And all entries are ready
    And an operator replaces the old replica of entry-3 with its new one at entry-1
    And entry-2 is killed
    And an operator confirms intent "second" at entry-1
    Then version 2 is in force at every running entry

  Scenario: invalid operator requests are refused with a specific error and have no effect
    Given a standalone entry with 2 engines and 0 printers
    Then entry-1 refuses each of these requests of an operator:
      | path                    | body                                        | status | id             |
      | /v1/plans               | {"id":                                      | 400    | broken-json    |
      | /v1/plans               | {"id":"x","modles":[]}                      | 400    | bad-intent     |
      | /v1/plans               | {"id":"x","models":[{"name":"m","layers":9}]} | 422  | cannot-place   |
      | /v1/plans/none/confirm  | {}                                          | 404    | unknown-plan   |
      | /v1/voters              | {"action":"promote","name":"x"}             | 400    | bad-body       |
      | /v1/voters              | {"action":"add","name":"nobody"}            | 409    | voters-refused |
      | /v1/voters              | {"action":"remove","name":"entry-1"}        | 409    | voters-refused |
      | /v1/init                | {}                                          | 409    | cluster-exists |
      | /v1/nothing             | {}                                          | 404    | unknown-path   |
    And version 1 is in force at every entry
