Feature: What callers and operators receive while control members fail

  Scenario: The leading control member is killed under load
    # The leader is killed while programs run. Its committed commands are on the other members;
    # entries resend the others under the same request id. Callers only see a delay, and nothing is
    # billed twice.
    Given a deployment with three control members
    And a program of a caller
    When 30 calls run one after the other, and the leader is killed after 10
    Then all 30 are answered in order
    And each of the 30 took effect once

  Scenario: Every control member is killed at once
    # A rack loses power. No answer that a caller received may be missing after the restart: a
    # confirmed order must still be confirmed. While no member can confirm the settings, calls are
    # refused as "not_run" with a retry time, and the caller retries.
    Given a deployment with three control members
    And a program of a caller
    When 5 calls run one after the other
    And every control member is killed and started again
    And 5 calls more run one after the other
    Then all 10 are answered in order
    And each of the 10 took effect once
    And the program's history holds all 10

  Scenario: The leader is paused, misses a change, and resumes
    # The host of the leader stalls for some seconds. Another member becomes leader and an operator
    # withdraws a key. When the old leader resumes it must not serve its old settings, or the key
    # would work again.
    Given a deployment with three control members
    And a program of a caller
    When the leader is paused
    And the key of the caller is withdrawn
    And its calls are refused as "unauthenticated"
    And the paused member resumes
    Then every call in the next 3 seconds is refused as "unauthenticated"
    And the settings revision of no member went back

  Scenario: A member loses its data folder, is replaced, and then another one is lost
    # The disk of a member is replaced and it starts empty under its old name. If it voted as
    # before, two leaders could be elected. Right after the repair a second member dies; since the
    # repaired one has caught up, nothing is missing.
    Given a deployment with three control members
    And a program of a caller
    When 5 calls run one after the other
    And a follower is killed and its data folder wiped
    And it is started again and replaced by the operator
    And the other follower is killed
    And 5 calls more run one after the other
    Then all 10 are answered in order
    And the program's history holds all 10
