Feature: What callers and operators receive while control members fail

  Scenario: The leading control member is killed under load
    # The instance that leads dies while programs run. Whatever it had committed is known to the
    # others; whatever it had not is sent again by the entries under the same request id. Callers
    # notice a pause, and no bill is written twice.
    Given a deployment with three control members
    And a program of a caller
    When 30 calls run one after the other, and the leader is killed after 10
    Then all 30 are answered in order
    And each of the 30 took effect once

  Scenario: Every control member is killed at once
    # A rack loses power. Nothing that a caller was told may be missing when it comes back: a school
    # that heard "confirmed" must find its confirmation. While nobody can confirm the settings, a
    # call is refused as "not run" with a time to come back, and the caller does.
    Given a deployment with three control members
    And a program of a caller
    When 5 calls run one after the other
    And every control member is killed and started again
    And 5 calls more run one after the other
    Then all 10 are answered in order
    And each of the 10 took effect once
    And the program's history holds all 10

  Scenario: The leader is paused, misses a change, and goes on
    # The host of the leader stalls for some seconds. Another member leads and an operator withdraws
    # a key. When the old leader goes on it must not serve what it knew: the key would work again.
    Given a deployment with three control members
    And a program of a caller
    When the leader is paused
    And the key of the caller is withdrawn
    And its calls are refused as "unauthenticated"
    And the paused member goes on
    Then every call in the next 3 seconds is refused as "unauthenticated"
    And the settings revision of no member went back

  Scenario: A member loses its data folder, is taken back in, and then another one is lost
    # The disk of a member is replaced and it starts empty under its old name. Were it to vote as
    # before, two leaders could be chosen. After the repair a second instance dies at once; with the
    # repaired member caught up, nothing is missing.
    Given a deployment with three control members
    And a program of a caller
    When 5 calls run one after the other
    And a member that does not lead is killed and its data folder wiped
    And it is started again and replaced by the operator
    And the other member that does not lead is killed
    And 5 calls more run one after the other
    Then all 10 are answered in order
    And the program's history holds all 10
