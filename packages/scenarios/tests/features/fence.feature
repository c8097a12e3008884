Feature: A leader that was partitioned or paused has no effect

  Scenario: a paused leader resumes after another was elected and engines received newer orders
    Given 3 entries with 4 engines and 0 printers
    When the leader is paused
    And an operator confirms an intent without engine-4 at a running entry
    And engine-3 has received orders from the new leader
    And the paused leader resumes
    Then no engine accepts an order from the old leader within a second
    And version 2 is in force at every entry

  Scenario: a new leader sends orders to engines that don't check fences only when all older orders are void
    Given 3 entries with 2 engines that don't check fences
    When the leader is paused
    And an operator confirms an intent with a new model version at a running entry
    And the paused leader resumes
    Then every engine eventually holds the new model version
