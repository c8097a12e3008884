Feature: A leader that was cut off or frozen changes nothing

  Scenario: a frozen leader wakes after another was elected and engines got newer orders
    Given 3 entries before 4 engines and 0 printers
    When the leader is frozen
    And an operator confirms an intent without engine-4 at a living entry
    And engine-3 has seen orders of the new leader
    And the frozen leader wakes
    Then within a second no engine has taken an order of the old leader
    And version 2 is in force at every entry

  Scenario: engines that don't check the fence get no order from a new leader before all older ones are void
    Given 3 entries before 2 engines that don't check the fence
    When the leader is frozen
    And an operator confirms an intent with a new model version at a living entry
    And the frozen leader wakes
    Then every engine comes to hold the new model version
