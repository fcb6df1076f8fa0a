Feature: Servers and sidecars that die while calls run

  Scenario: A sidecar is killed while a billing call runs
    # The process beside the order desk dies after the desk was told to bill. Nobody can know any
    # more whether it did; the caller must hear so at once, and nobody may bill a second time.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 1.5 seconds for a call
    When the caller sends call 1 "bill cellar 3" through "entry-1"
    And "sidecar-1" dies while the call runs
    Then the call is refused as "server_failed" and "unknown" within 8 seconds
    When "sidecar-1" is started again
    And the caller sends call 1 "bill cellar 3" through "entry-2"
    Then the call is refused as "server_failed" and "unknown" within 8 seconds
    And "bill cellar 3" took effect 1 time
    When the caller sends call 2 "and go on" through "entry-2"
    Then the caller gets the answer to "and go on"

  Scenario: A sidecar is killed while a call runs that may be repeated
    # The same death, but the call only reads. It runs again as soon as a server can take it, and its
    # caller only waits a little longer.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 1.5 seconds for a call
    When the caller sends the repeatable call 1 "list cellars" through "entry-1"
    And "sidecar-1" dies while the call runs
    And "sidecar-1" is started again
    Then the caller gets the answer to "list cellars"

  Scenario: A service bills and then hangs
    # The desk has billed the district and never answers. The caller must hear at its timeout that
    # the call may have run, and a resend must not bill again.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk hangs after it has done "bill district 12"
    When the caller sends call 1 "bill district 12" with a timeout of 1.5 seconds
    Then the call is refused as "deadline" and "unknown" within 4 seconds
    When the caller sends call 1 "bill district 12" through "entry-2"
    Then the call is refused as "deadline" and "unknown" within 4 seconds
    And "bill district 12" took effect 1 time

  Scenario: One request crashes every server that runs it
    # The request brings the order desk down whenever it runs, and its caller sends it again under a
    # new program. Without quarantine the desk would never stay up for the others.
    Given a deployment with two entries
    And a program of a caller
    And the order desk crashes at "poison" and is restarted by the platform
    When the caller sends the repeatable call 1 "poison" through "entry-1"
    Then the call is refused as "quarantined" and "unknown" within 15 seconds
    When the caller opens another program
    And the caller sends call 1 "poison" through "entry-2"
    Then the call is refused as "quarantined" and "not_run" within 2 seconds
    When the caller sends call 1 "harmless" through "entry-2"
    Then the caller gets the answer to "harmless"
