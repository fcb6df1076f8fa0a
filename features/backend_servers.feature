Feature: Backend servers that fail, and the sidecars beside them

  Scenario: A service acts and then hangs
    # The billing service charges a district and then never answers. The caller must not hear that
    # nothing ran, and asking again must not charge the district twice.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk does "hang" with "bill district 9"
    When the caller sends call 1 "bill district 9" with 2 seconds
    Then the caller is told that it is "unknown" whether the call ran
    When the caller sends call 1 "bill district 9" with 2 seconds
    Then the caller is told that it is "unknown" whether the call ran
    And "bill district 9" took effect 1 time

  Scenario: A service takes a request and falls silent
    # Something between the two ends has lost track of the connection: the request vanishes. No one
    # can tell, so the caller hears that the outcome is unknown, within its time.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk does "silent" with "confirm cellar 3"
    When the caller sends call 1 "confirm cellar 3" with 2 seconds
    Then the caller is told that it is "unknown" whether the call ran
    And "confirm cellar 3" took effect 0 time

  Scenario: A service answers the request of someone else
    # A producer would take another's confirmation for its own and lose its meeting.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk does "crossed" with "book stand 4"
    When the caller sends call 1 "book stand 4" with 5 seconds
    Then the caller is told that it is "unknown" whether the call ran
    And "book stand 4" took effect 1 time

  Scenario: The sidecar is killed while a billing call runs
    # The platform replaces the process beside the order desk. The bill may have been written; the
    # new process cannot know, and must not write it again.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk takes 1 second for a call
    When the caller sends call 1 "bill district 5" through "entry-1"
    And "sidecar-1" is killed and started again while the call runs
    Then the caller does not hear that the call was not run
    And "bill district 5" took effect 1 time

  Scenario: A request that crashes every engine is sent again under new programs
    # One prompt brings down the engine. Its caller sends it again and again, each time in a new
    # program; without the count of crashes every replica would be lost to it in turn.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the engine crashes whenever it meets the poisonous prompt and is restarted each time
    When the caller sends the poisonous prompt in 6 programs, one after the other
    Then the last of them are refused as "quarantined"
    And the engine crashed 2 times
    And another prompt of the caller is answered

  Scenario: A server is drained while it runs a call
    # An operator takes the order desk away for an upgrade. The call it runs must end whole, and a new
    # one must not reach it.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk takes 1 second for a call
    When the caller sends call 1 "log order 6" through "entry-1"
    And the server "desk-1" is drained while the call runs
    Then the caller gets the answer to "log order 6"
    When the caller sends call 2 "log order 7" with 2 seconds
    Then the caller is told that it is "not_run" whether the call ran
    And "log order 7" took effect 0 time
