Feature: Membership, leaving hosts and graceful shutdown

  Background:
    Given today's fleet with a declared database

  @invariant_7
  Scenario: A leaving endpoint receives no new work
    Given callers read history and write all the time
    When the host list marks endpoint "werkstatt-db-2" as leaving
    Then 3 seconds later no answer comes from "werkstatt-db-2"
    And no caller's request was lost

  @invariant_7
  Scenario: A leaving primary is switched over and receives no new work
    Given callers read history and write all the time
    When the host list marks endpoint "werkstatt-db-1" as leaving
    Then 3 seconds later no answer comes from "werkstatt-db-1"
    And a caller's write still succeeds
    And each write ran at most once and each acknowledged one once

  @invariant_7
  Scenario: A failover prefers an endpoint that stays
    Given callers read history and write all the time
    And the host list marks endpoint "werkstatt-db-3" as leaving
    And the mark is known to all daemons
    When the process of endpoint "werkstatt-db-1" is killed
    Then "werkstatt-db-2" becomes primary within 9 seconds
    And "werkstatt-db-3" was promoted only if its log was the longest
    And a caller's write still succeeds
    And 0 seconds later no answer comes from "werkstatt-db-3"

  @invariant_7
  Scenario: A leaving mark persists while the platform is down
    Given callers read history and write all the time
    And the host list marks endpoint "werkstatt-db-2" as leaving
    And the mark is known to all daemons
    When the platform is down
    And daemon "d1" is killed and started anew
    Then 3 seconds later no answer comes from "werkstatt-db-2"

  @invariant_8
  Scenario: Graceful shutdown under load
    Given callers read history and write all the time
    When daemon "d0" is told to stop
    Then it exits with code 0 within 10 seconds
    And no caller's request was lost
    And each write ran once

  @invariant_8
  Scenario: Graceful shutdown of the owner of an open transaction's endpoint
    Given a caller has an open transaction through another daemon
    When the owner of the primary is told to stop
    Then the transaction commits
    And it exits with code 0 within 10 seconds

  Scenario: Endpoints of a killed daemon get a new owner
    When the owner of the primary is killed
    Then a write through another daemon succeeds within 3 seconds

  Scenario: A short freeze does not change ownership
    When daemon "d1" is frozen for 900 ms
    Then all daemons serve and none gave up an endpoint

  Scenario: A daemon that was declared dead while frozen rejoins
    Given callers read history and write all the time
    When daemon "d1" is frozen for 4000 ms
    Then all daemons are members again within 3 seconds
    And each write ran at most once and each acknowledged one once

  @invariant_8
  Scenario: A daemon that is marked as leaving drains
    Given callers read history and write all the time
    When the host list marks daemon "d1" as leaving
    Then daemon "d1" takes no new sessions within 3 seconds
    And no caller's request was lost
