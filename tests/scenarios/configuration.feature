Feature: Configuration
  Operators change plans. An accepted revision is in force on every daemon
  within seconds, and no daemon returns to an older one.

  Background:
    Given today's fleet with a declared database

  @invariant_9
  Scenario: An applied plan is in force on all daemons
    When an operator applies a plan to revision 1
    Then revision 2 is in force on all daemons within 2 seconds

  @invariant_9
  Scenario: Concurrent apply and revert by two operators
    Given an operator has applied a plan to revision 1
    When one applies and another reverts from revision 2 at once, 10 times
    Then of each pair one was accepted and one refused for its revision
    And all daemons agree on the last accepted revision within 2 seconds
    And the audit trail tells both sides of each race

  @invariant_9
  Scenario: The platform's answer is lost after the change took effect
    Given the platform loses the next 1 answers after the change took effect
    When an operator applies a plan to revision 1
    Then revision 2 is in force on all daemons within 2 seconds
    And the same change made again is answered as repeated, with revision 2

  @invariant_9
  Scenario: The platform answers slowly
    Given the platform answers after 300 ms
    When an operator applies a plan to revision 1
    Then revision 2 is in force on all daemons within 5 seconds

  @invariant_9
  Scenario: Changes are refused while the platform is down
    Given an operator has applied a plan to revision 1
    And the platform is down
    When an operator applies a plan to revision 2
    Then the change is refused as not run
    And a caller's write still succeeds
    And revision 2 is in force on all daemons within 2 seconds
    When the platform is back
    And an operator applies a plan to revision 2
    Then revision 3 is in force on all daemons within 5 seconds

  @invariant_9
  Scenario: A frozen daemon catches up with configuration changes
    Given daemon "d3" is frozen until the others miss it
    And an operator has applied a plan to revision 1
    And an operator has applied a plan to revision 2
    And the platform is down
    When daemon "d3" wakes
    Then revision 3 is in force on all daemons within 5 seconds
    And no daemon has ever put an older revision in force

  @invariant_9
  Scenario: A daemon restarts while the platform is down
    Given an operator has applied a plan to revision 1
    And the platform is down
    When daemon "d1" is killed and started anew
    Then revision 2 is in force on all daemons within 5 seconds
    And a caller of daemon "d1" can write
    And no daemon has ever put an older revision in force

  @invariant_9
  Scenario: A daemon starts without the platform and other daemons
    Given the platform is down
    And all daemons are killed
    When daemon "d0" is started but reaches nobody
    Then it says that it waits for the configuration and takes no callers
    When the platform is back
    Then a caller of daemon "d0" can write

  @invariant_2
  Scenario: A second change of the endpoints waits until the first is recorded
    Given endpoint "werkstatt-db-2" is frozen
    When an operator leaves endpoint "werkstatt-db-3" out of revision 1
    Then revision 2 is in force on all daemons within 2 seconds
    When an operator applies a plan to revision 2
    Then the change is refused as not run
    When endpoint "werkstatt-db-2" wakes
    And an operator applies a plan to revision 2
    Then revision 3 is in force on all daemons within 5 seconds
    And a caller's write still succeeds

  @invariant_9
  Scenario: Exit codes of the command line
    Given the plan is written to "plan.ini"
    Then these commands exit with these codes:
      | command                            | code |
      | apply plan.ini -e 1 --change-id c2 | 0    |
      | apply plan.ini -e 1 --change-id c2 | 0    |
      | apply plan.ini -e 1                | 1    |
      | apply missing.ini -e 2             | 2    |
      | revert werkstatt-db 1 -e 2         | 0    |
      | revert werkstatt-db 77 -e 3        | 2    |
      | history werkstatt-db -o json       | 0    |
      | status                             | 0    |
      | audit -o json                      | 0    |
      | switchover werkstatt-db nowhere    | 3    |
    And revision 3 is in force on all daemons within 2 seconds
