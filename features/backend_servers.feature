Feature: Backend servers that fail, and the sidecars beside them

  Scenario: A service takes effect and then hangs
    # The billing service charges a district and then never answers. The caller must not be told
    # that the call was not run, and a resend must not charge the district twice.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk has the fault "hang" for "bill district 9"
    When the caller sends call 1 "bill district 9" with 2 seconds
    Then the reply has the execution "unknown"
    When the caller sends call 1 "bill district 9" with 2 seconds
    Then the reply has the execution "unknown"
    And "bill district 9" took effect 1 time

  Scenario: A service accepts a request and never responds
    # A middlebox lost the state of the connection, and the request is dropped. Whether it ran
    # cannot be known, so the caller is told within its timeout that the outcome is unknown.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk has the fault "silent" for "confirm cellar 3"
    When the caller sends call 1 "confirm cellar 3" with 2 seconds
    Then the reply has the execution "unknown"
    And "confirm cellar 3" took effect 0 time

  Scenario: A service answers with the response to another request
    # If the response were passed on, the caller would take another's confirmation for its own.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk has the fault "crossed" for "book stand 4"
    When the caller sends call 1 "book stand 4" with 5 seconds
    Then the reply has the execution "unknown"
    And "book stand 4" took effect 1 time

  Scenario: The sidecar is killed while a billing call runs
    # The platform replaces the sidecar of the order desk. The bill may have been written; the new
    # process cannot know, and must not write it again.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk takes 1 second for a call
    When the caller sends call 1 "bill district 5" through "entry-1"
    And "sidecar-1" is killed and started again while the call runs
    Then the reply does not say that the call was not run
    And "bill district 5" took effect 1 time

  Scenario: A request that crashes every engine is sent again under new programs
    # One prompt crashes the engine, and its caller resends it in new programs. Without a count of
    # crashes for each request it would crash every replica in turn.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the engine crashes whenever it runs the poisonous prompt and is restarted each time
    When the caller sends the poisonous prompt in 6 programs, one after the other
    Then the last of them are refused as "quarantined"
    And the engine crashed 2 times
    And another prompt of the caller is answered

  Scenario: A server is drained while it runs a call
    # An operator drains the order desk for an upgrade. Its running call must complete, and no new
    # call may reach it.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk takes 1 second for a call
    When the caller sends call 1 "log order 6" through "entry-1"
    And the server "desk-1" is drained while the call runs
    Then the caller gets the answer to "log order 6"
    When the caller sends call 2 "log order 7" with 2 seconds
    Then the reply has the execution "not_run"
    And "log order 7" took effect 0 time

  Scenario: The sidecar is restarted gracefully under load
    # The sidecar is upgraded while callers send calls. Running calls complete, queued calls are
    # returned to their entries, and no call runs twice.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk takes 0.2 seconds for a call
    When 10 programs of the caller call through ready entries
    And "sidecar-1" is asked to stop and started again meanwhile
    Then every answered call took effect once and every refused one never
