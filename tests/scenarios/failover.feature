Feature: Failover and write acknowledgement

  @invariant_2
  Scenario Outline: Failover of a failed primary loses no acknowledged write
    Given four daemons before a group under writes
    When the primary is <failure>
    Then writes under a new term are acknowledged within 9 seconds
    When the failure ends
    Then all endpoints follow one primary
    And every acknowledged write is in its log

    Examples:
      | failure           |
      | killed            |
      | frozen            |
      | cut from replicas |
      | cut from daemons  |

  @invariant_2
  Scenario Outline: A failover does not depend on the platform
    Given four daemons before a group under writes
    And the platform is <platform>
    When the primary is killed
    Then writes under a new term are acknowledged within 9 seconds
    When the failure ends
    Then all endpoints follow one primary
    And every acknowledged write is in its log

    Examples:
      | platform |
      | killed   |
      | frozen   |

  @invariant_2
  Scenario: The primary and the daemons of its zone fail together
    Given four daemons before a group under writes
    When the daemons of the primary's zone are killed
    And the primary is killed
    Then writes under a new term are acknowledged within 9 seconds
    And every acknowledged write is in the new primary's log

  @invariant_2
  Scenario: A freeze shorter than a second causes no failover
    Given four daemons before a group under writes
    When the primary is frozen for 0.9 seconds
    Then 3 seconds later the term is the same
    And every acknowledged write is in its log

  @invariant_2
  Scenario: No stale read after a replaced primary and its daemons resume
    Given four daemons before a group under writes
    And a caller's session through the primary's zone
    When the primary and the daemons of its zone are frozen
    Then writes under a new term are acknowledged within 9 seconds
    When a caller writes through another zone
    And the session reads while all wake
    Then the read sees that write

  @invariant_2
  Scenario: A minority acknowledges nothing
    Given four daemons before a group under writes
    When both replicas are killed
    Then no further write is acknowledged

  @invariant_2
  Scenario: A planned switchover under writes
    Given four daemons before a group under writes
    When an operator moves the primary
    Then writes under a new term are acknowledged within 3 seconds
    And all endpoints follow one primary
    And every acknowledged write is in its log
    And no write ended as unknown
