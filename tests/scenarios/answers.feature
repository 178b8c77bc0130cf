Feature: Matching of answers to requests

  @invariant_4
  Scenario: Large concurrent answers arrive complete
    Given today's fleet with a declared database
    When 8 sessions read 6 answers of 200 kilobytes each at once
    Then each answer is the one that was asked for, whole

  @invariant_4
  Scenario Outline: Answers are matched to their requests in any delivery order
    Given a daemon whose answers come <how>
    When a session asks 20 requests at once, three times
    Then each answer is the one that was asked for, whole

    Examples:
      | how          |
      | late         |
      | out of order |
      | twice        |
      | in pieces    |
