Feature: Admission under floods
  Urgent work is served first; in a flood every other rank keeps its floor,
  and a refusal says truly that nothing ran.

  Background:
    Given today's fleet whose endpoints serve 20 statements a second

  @invariant_5
  Scenario: A flood of the last rank leaves the others alone
    When callers send 5 of "fault-report" and 5 of "dispatch" a second
    And "ledger" floods in at 20 times what the primary serves
    Then at least 99 % of "fault-report" is served
    And at least 95 % of "dispatch" is served
    And each write of the flood that was refused as not run did not run

  @invariant_5
  Scenario: A flood of the urgent rank leaves each other its floor
    When callers send 6 of "dispatch" and 6 of "ledger" a second
    And "fault-report" floods in at 20 times what the primary serves
    Then at least 10 % of the work served is "dispatch"
    And at least 10 % of the work served is "ledger"
    And each write of the flood that was refused as not run did not run

  Scenario: The owner is killed in the middle of a flood
    When callers send 5 of "fault-report" and 5 of "dispatch" a second
    And "ledger" floods in at 20 times what the primary serves
    And the primary's owner is killed in the middle
    Then "fault-report" is served again within 3 seconds
    And from then on at least 99 % of "fault-report" is served

  Scenario: Transactions left open do not hold up statements
    When callers leave 14 transactions open on the primary
    Then 20 statements are served within 3 seconds
    And one more transaction is refused as not run
