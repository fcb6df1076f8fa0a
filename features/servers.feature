Feature: Servers and sidecars that crash while calls run

  Scenario: A sidecar is killed while a billing call runs
    # The sidecar of the order desk dies after it sent the call on. Whether the desk billed cannot
    # be known; the caller must be told so at once, and the call must not run again.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 1.5 seconds for a call
    When the caller sends call 1 "bill cellar 3" through "entry-1"
    And process "sidecar-1" is killed while the call runs
    Then the call is refused as "server_failed" and "unknown" within 8 seconds
    When "sidecar-1" is started again
    And the caller sends call 1 "bill cellar 3" through "entry-2"
    Then the call is refused as "server_failed" and "unknown" within 8 seconds
    And "bill cellar 3" took effect 1 time
    When the caller sends call 2 "and go on" through "entry-2"
    Then the caller gets the answer to "and go on"

  Scenario: A sidecar is killed while a call runs that may be repeated
    # The call only reads, so it runs again as soon as a server has a free slot. Its caller only
    # waits longer.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 1.5 seconds for a call
    When the caller sends the repeatable call 1 "list cellars" through "entry-1"
    And process "sidecar-1" is killed while the call runs
    And "sidecar-1" is started again
    Then the caller gets the answer to "list cellars"

  Scenario: A service bills and then hangs
    # The order desk has billed the district and never answers. The caller must be told at its
    # timeout that the call may have run, and a resend must not bill again.
    Given a deployment with two entries
    And a program of a caller
    And the caller has been served before
    And the order desk hangs after it has run "bill district 12"
    When the caller sends call 1 "bill district 12" with a timeout of 1.5 seconds
    Then the call is refused as "deadline" and "unknown" within 4 seconds
    When the caller sends call 1 "bill district 12" through "entry-2"
    Then the call is refused as "deadline" and "unknown" within 4 seconds
    And "bill district 12" took effect 1 time

  Scenario: One request crashes every server that runs it
    # The request crashes the order desk whenever it runs, and its caller resends it in a new
    # program. Without quarantine it would keep the desk down for other callers.
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
