Feature: Interrupted and concurrent failover drivers

  @invariant_2
  Scenario Outline: Another driver completes an interrupted failover
    Given a group whose primary has failed
    When a driver stops <moment>
    And another driver drives to its end
    Then exactly one endpoint is primary of the highest term
    And it holds every confirmed write
    When the first driver goes on where it stopped
    Then exactly one endpoint is primary of the highest term
    And it holds every confirmed write

    Examples:
      | moment                 |
      | before its first fence |
      | after one grant        |
      | after a majority       |
      | after the promotion    |
      | after one follow       |

  @invariant_2
  Scenario Outline: Concurrent drivers elect at most one primary per term
    Given a group whose primary has failed
    When two drivers race in order <seed>
    Then no term had two primaries
    And exactly one endpoint is primary of the highest term
    And it holds every confirmed write

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  @invariant_2
  Scenario Outline: Writes of a replaced primary are not confirmed
    Given a group whose primary has failed
    When a driver stops <moment>
    And the old primary wakes and writes
    Then no majority confirms that write

    Examples:
      | moment              |
      | after a majority    |
      | after the promotion |
      | after one follow    |
