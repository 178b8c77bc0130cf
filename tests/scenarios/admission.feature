Feature: Admission control under overload
  Urgent work is served first. During an overload every other rank keeps its
  floor, and a statement that was refused as not run did not run.

  Background:
    Given today's fleet whose endpoints serve 20 statements a second

  @invariant_5
  Scenario: An overload of the lowest rank does not affect the others
    When callers send 5 of "fault-report" and 5 of "dispatch" a second
    And "ledger" floods in at 20 times what the primary serves
    Then at least 99 % of "fault-report" is served
    And at least 95 % of "dispatch" is served
    And each write of the flood that was refused as not run did not run

  @invariant_5
  Scenario: An overload of the most urgent rank leaves the others their floors
    When callers send 6 of "dispatch" and 6 of "ledger" a second
    And "fault-report" floods in at 20 times what the primary serves
    Then at least 10 % of the work served is "dispatch"
    And at least 10 % of the work served is "ledger"
    And each write of the flood that was refused as not run did not run

  Scenario: The owner is killed during an overload
    When callers send 5 of "fault-report" and 5 of "dispatch" a second
    And "ledger" floods in at 20 times what the primary serves
    And the primary's owner is killed in the middle
    Then "fault-report" is served again within 3 seconds
    And from then on at least 99 % of "fault-report" is served

  Scenario: Open transactions do not block statements
    When callers leave 14 transactions open on the primary
    Then 20 statements are served within 3 seconds
    And one more transaction is refused as not run
