Feature: Callers and the entries they reach

  Scenario: An entry is killed while a billing call runs
    # The entry dies after it dispatched the call, and the caller, without a reply, resends it
    # through another entry. If the call ran again, the district would be billed twice; if it were
    # refused, the caller could not know whether it was billed.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 1.5 seconds for a call
    When the caller sends call 1 "bill district 7" through "entry-1"
    And "entry-1" is killed while the call runs
    And the caller sends call 1 "bill district 7" through "entry-2"
    Then the caller gets the answer to "bill district 7"
    And "bill district 7" took effect 1 time

  Scenario: An entry is killed between two turns of a program
    # The entry dies between two calls. The history of the program must survive: the next call goes
    # through another entry and must be accepted as the second call of the same program.
    Given a deployment with two entries
    And a program of a caller
    When the caller sends call 1 "first turn" through "entry-1"
    And the caller gets the answer to "first turn"
    And "entry-1" is killed
    And the caller sends call 2 "second turn" through "entry-2"
    Then the caller gets the answer to "second turn"
    And the history through "entry-2" is "first turn, second turn"

  Scenario: Two entries get the same call at once
    # A caller's HTTP library times out and resends a billing call, which the load balancer sends to
    # another entry. The two entries race, and the call may run only once.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 0.5 seconds for a call
    When the caller sends call 1 "bill stand 12" through both entries at once
    Then both get the same answer
    And "bill stand 12" took effect 1 time

  Scenario: The second call of a program arrives before the first
    # Two calls are sent one after the other through different entries, and the second overtakes the
    # first. Run out of order, it would act on something that has not happened yet.
    Given a deployment with two entries
    And a program of a caller
    When the caller sends call 2 "confirm order 8" through "entry-2"
    And the caller sends call 1 "log order 8" through "entry-1" 0.3 seconds later
    Then all calls are answered
    And "log order 8" took effect before "confirm order 8"

  Scenario: A key is withdrawn from a caller who stays connected
    # The caller keeps its connection open and goes on calling. If the key were checked only when
    # the connection opened, a withdrawn key would work until the caller closed it.
    Given a deployment with two entries
    And a program of a caller
    When the key of the caller is withdrawn while it goes on calling through "entry-1"
    Then its calls are refused as "unauthenticated" and "not_run" within 5 seconds
    And no call took effect after a refusal

  Scenario: An organisation spreads its calls over both entries to exceed its rate
    # The organisation sends far more than its rate through every entry at once. If each entry
    # counted alone, it would get its rate twice, at the cost of the others.
    Given a deployment with two entries
    And a program of a caller whose organisation has a rate of 10 and a burst of 5
    When 40 programs of the caller call through both entries for 3 seconds
    Then no more calls took effect than the rate and burst allow
    And every refusal says "rate_exceeded", "not_run" and when to come back

  Scenario: An entry is stopped under load
    # The platform stops the entry gracefully while requests are in flight, in the accept backlog
    # and on connections kept open. None of them may be cut off.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 0.2 seconds for a call
    When 20 programs of the caller call through ready entries
    And "entry-1" is asked to stop meanwhile
    Then no request was cut off or refused
    And "entry-1" exited by itself

  Scenario: All entries are restarted one after the other under load
    # A new version is rolled out under load. Callers must not see an error.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 0.05 seconds for a call
    When 10 programs of the caller call through ready entries
    And all entries are restarted one after the other meanwhile
    Then no request was cut off or refused
    And every call took effect 1 time

  Scenario: An entry is cut off from the control members
    # The entry cannot learn whether a key was withdrawn. After its lease expires it must admit no
    # call and report not ready to the load balancer, until it can confirm its settings again.
    Given a deployment with two entries
    And a program of a caller
    When the control member is paused for 5 seconds
    Then a call through "entry-1" is refused as "stale" within 2 seconds
    And "entry-1" is not ready
    When the control member resumes
    Then a call through "entry-1" is answered within 10 seconds

  Scenario: A program is cancelled through one entry while its call runs through another
    # An operator's script cancels a program. The caller that waits for its call at another entry
    # must be notified at once, not at the end of its timeout.
    Given a deployment with two entries
    And a program of a caller
    And the engine takes a long time for a call
    When the caller sends a model call through "entry-1"
    And the program is cancelled through "entry-2" while the call runs
    Then the call ends within 3 seconds

  Scenario: A program is cancelled while a call of its sub-agent runs
    # If the call of the sub-agent ran on after its root program was cancelled, it would hold a slot
    # and memory of the engine until it had generated an answer that nobody reads.
    Given a deployment with two entries
    And a program of a caller
    And a sub-agent of the program
    And the engine takes a long time for a call
    When the caller sends a model call through "entry-1"
    And the sub-agent's root is cancelled through "entry-2" while the call runs
    Then the call ends within 3 seconds
    And the engine runs and holds nothing of the sub-agent within 10 seconds

  Scenario: Two sub-agents loop endlessly and race for the last calls of their budget
    # Both share the budget of their parent program and use it through different entries at the same
    # time. If each entry counted alone, the last calls of the budget would be used twice.
    Given a deployment with two entries
    And a program of a caller whose budget is 7 calls
    When two sub-agents of the program call in an endless loop through both entries
    Then both are refused as "budget_exhausted" and "not_run"
    And exactly 7 of their calls took effect
