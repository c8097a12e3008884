Feature: A confirmed configuration is in force on every instance within seconds and never reverts

  Scenario: nothing changes before confirm
    Given 3 entries before 2 engines and 0 printers
    When an operator plans intent "second" at entry-2
    Then version 1 is in force at every entry

  Scenario: of two operators that race, one wins and the other is told what moved
    Given 3 entries before 2 engines and 0 printers
    When operators plan "left" at entry-1 and "right" at entry-2 and confirm both at once
    Then one confirm wins with version 2 and the other is told what moved
    And version 2 is in force at every entry

  Scenario: the same intent sent again after its answer was lost gives the same result, at any entry and after a new leader
    Given 3 entries before 2 engines and 0 printers
    When an operator plans intent "second" at entry-1
    And an operator plans intent "second" at entry-3
    Then both plans are the same
    When an operator confirms the plan at entry-2
    Then the version is 2 and it is no repeat
    When the leader is killed
    And an operator plans intent "second" at a living entry
    And an operator confirms the plan at a living entry
    Then the version is 2 and it is a repeat

  Scenario: an intent's name can't stand for another intent
    Given 3 entries before 2 engines and 0 printers
    When an operator plans intent "second" at entry-1
    And an operator plans another intent named "second" at entry-2
    Then the operator is refused with intent-reused

  Scenario: an entry that was cut off comes back to the version that was confirmed without it
    Given 3 entries before 2 engines and 0 printers
    And entry-3 is killed
    When an operator confirms intent "second" at entry-1
    And entry-3 starts again
    And all entries are ready
    Then version 2 is in force at every entry

  Scenario: entries without a disk follow, and serve nothing before a quorum told them the version
    Given 4 entries, 3 of them with disks, before 2 engines
    When an operator confirms intent "second" at entry-4
    Then version 2 is in force at every entry
    When entry-1 is killed
    And entry-2 is killed
    And entry-4 starts again
    Then entry-4 refuses callers as not ready
    When entry-1 starts again
    And all entries are ready
    Then version 2 is in force at every entry

  Scenario: five hundred confirmed changes survive the death of all processes at once
    Given 3 entries before 2 engines and 0 printers
    When an operator confirms 500 changes while all entries die at random points
    Then every entry comes back to the last confirmed version or a newer one

  Scenario: a voter that lost its disk does not vote from an empty memory, and is replaced
    Given 3 entries before 2 engines and 0 printers
    And entry-3 loses its disk
    And entry-2 is killed
    When entry-3 starts again
    Then entry-1 can't confirm anything
    When entry-2 starts again
    And all entries are ready
    And an operator replaces the old replica of entry-3 by its new one at entry-1
    And entry-2 is killed
    And an operator confirms intent "second" at entry-1
    Then version 2 is in force at every living entry

  Scenario: operators' mistakes get a clear refusal and change nothing
    Given an entry alone before 2 engines and 0 printers
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
