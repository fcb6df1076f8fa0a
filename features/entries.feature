Feature: Callers and the entries they reach

  Scenario: An entry is killed while a billing call runs
    # The instance of the entry dies after the call was dispatched, and the caller, who has heard
    # nothing, sends it again through another entry. Run a second time, it would bill the district
    # twice; refused, the caller could not know whether it was billed.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 1.5 seconds for a call
    When the caller sends call 1 "bill district 7" through "entry-1"
    And "entry-1" is killed while the call runs
    And the caller sends call 1 "bill district 7" through "entry-2"
    Then the caller gets the answer to "bill district 7"
    And "bill district 7" took effect 1 time

  Scenario: An entry is killed between two turns of a program
    # The entry dies while the program thinks. Its history must not die with it: the next turn goes
    # through another entry and has to be taken as the second call of the same program.
    Given a deployment with two entries
    And a program of a caller
    When the caller sends call 1 "first turn" through "entry-1"
    And the caller gets the answer to "first turn"
    And "entry-1" is killed
    And the caller sends call 2 "second turn" through "entry-2"
    Then the caller gets the answer to "second turn"
    And the history through "entry-2" is "first turn, second turn"

  Scenario: Two entries get the same call at once
    # A caller's library loses patience and sends a billing call a second time, which the balancer
    # gives to another entry. Both race; only one of them may have it run.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 0.5 seconds for a call
    When the caller sends call 1 "bill stand 12" through both entries at once
    Then both get the same answer
    And "bill stand 12" took effect 1 time

  Scenario: The second call of a program arrives before the first
    # Two calls are sent behind one another and the balancer gives them to two entries; the second
    # overtakes the first. Run out of order, it would act on something that has not happened yet.
    Given a deployment with two entries
    And a program of a caller
    When the caller sends call 2 "confirm order 8" through "entry-2"
    And the caller sends call 1 "log order 8" through "entry-1" 0.3 seconds later
    Then all calls are answered
    And "log order 8" took effect before "confirm order 8"

  Scenario: A key is withdrawn from a caller who stays connected
    # The caller keeps its connection open and goes on calling. Checked only when the connection
    # began, a withdrawn key would work for as long as the caller likes.
    Given a deployment with two entries
    And a program of a caller
    When the key of the caller is withdrawn while it goes on calling through "entry-1"
    Then its calls are refused as "unauthenticated" and "not_run" within 5 seconds
    And no call took effect after a refusal

  Scenario: An organisation spreads its calls over both entries to exceed its rate
    # The tenant sends far more than its rate through every entry at once. Counted at each entry
    # alone, it would get its rate twice, at the cost of the others.
    Given a deployment with two entries
    And a program of a caller whose organisation has a rate of 10 and a burst of 5
    When 40 programs of the caller call through both entries for 3 seconds
    Then no more calls took effect than the rate and burst allow
    And every refusal says "rate_exceeded", "not_run" and when to come back

  Scenario: An entry is stopped under load
    # The platform replaces the instance: it asks the entry to stop, and callers have requests under
    # way, in the accept backlog and on connections kept open. Each that is cut off is a buyer who
    # waits at an empty table.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 0.2 seconds for a call
    When 20 programs of the caller call through ready entries
    And "entry-1" is asked to stop meanwhile
    Then no request was cut off or refused
    And "entry-1" ended by itself

  Scenario: All entries are restarted one after the other under load
    # A new version is rolled out in the middle of the day. Callers must not notice.
    Given a deployment with two entries
    And a program of a caller
    And the order desk takes 0.05 seconds for a call
    When 10 programs of the caller call through ready entries
    And all entries are restarted one after the other meanwhile
    Then no request was cut off or refused
    And every call took effect 1 time

  Scenario: An entry is cut off from the control members
    # The entry cannot hear whether a key was withdrawn. After its lease it must admit nothing, and
    # say so to the balancer; it serves again once it can confirm its settings.
    Given a deployment with two entries
    And a program of a caller
    When the control member is frozen for 5 seconds
    Then a call through "entry-1" is refused as "stale" within 2 seconds
    And "entry-1" is not ready
    When the control member goes on
    Then a call through "entry-1" is answered within 10 seconds

  Scenario: A program is cancelled through one entry while its call runs through another
    # An operator's script gives a program up. The caller who waits for its call at another entry
    # must hear of it at once, not at the end of its timeout.
    Given a deployment with two entries
    And a program of a caller
    And the engine takes long for a call
    When the caller sends a model call through "entry-1"
    And the program is cancelled through "entry-2" while the call runs
    Then the call ends within 3 seconds

  Scenario: Two sub-agents loop without end and race for the last calls of their budget
    # Both share the budget of the program that opened them and reach it through different entries
    # at the same moment. Counted at each entry, the last calls would be spent twice.
    Given a deployment with two entries
    And a program of a caller whose budget is 7 calls
    When two sub-agents of the program call without end through both entries
    Then both are refused as "budget_exhausted" and "not_run"
    And exactly 7 of their calls took effect
