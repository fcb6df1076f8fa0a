from __future__ import annotations

from tarragonhall_model import (
    AttemptId,
    AttemptRecorded,
    Budget,
    CallKind,
    CallOpened,
    CallRunning,
    CallSpec,
    OpenCall,
    OpenProgram,
    Refusal,
    RefusalCode,
    ReportCrash,
    StartAttempt,
    fingerprint,
)
from tarragonhall_state._journal import Journal

SPEC = CallSpec(1, CallKind.SERVICE, "desk", "{}")
LOST = AttemptId("prog", 1, 1, "desk-1", "life")


def journal_with_attempt(spec: CallSpec = SPEC) -> Journal:
    journal = Journal()
    apply(journal, OpenProgram("prog", "org", Budget(), 600))
    apply(journal, OpenCall("prog", "org", spec, "entry-1"))
    assert isinstance(apply(journal, StartAttempt(LOST, "org", "entry-1")), AttemptRecorded)
    return journal


def apply(journal: Journal, command: object, live_entries: set[str] = frozenset()) -> object:
    return journal.apply(command, live_entries, 1_000)


def test_a_repeatable_call_whose_attempt_is_lost_allows_another_attempt():
    # The entry and the server of a call crash together. Without another attempt, the caller's
    # resends would wait forever.
    journal = journal_with_attempt()
    again = OpenCall("prog", "org", SPEC, "entry-2")
    assert apply(journal, again) == CallRunning("entry-1", LOST)
    opened = apply(journal, OpenCall("prog", "org", SPEC, "entry-2", LOST))
    assert isinstance(opened, CallOpened)
    second = AttemptId("prog", 1, opened.attempts + 1, "desk-2", "life")
    assert apply(journal, StartAttempt(second, "org", "entry-2")) == AttemptRecorded(second)


def test_a_non_repeatable_call_stays_with_its_lost_attempt():
    # The lost attempt may have had its effect, such as a bill. A second one could repeat it.
    spec = CallSpec(1, CallKind.SERVICE, "desk", "{}", repeatable=False)
    journal = journal_with_attempt(spec)
    lost = OpenCall("prog", "org", spec, "entry-2", LOST)
    assert apply(journal, lost) == CallRunning("entry-1", LOST)


def test_a_live_entry_stays_the_owner_of_its_call():
    # Only the link between the second entry and the server is broken; the first entry will receive
    # the result. If the second one took over, the call would run twice needlessly.
    journal = journal_with_attempt()
    lost = OpenCall("prog", "org", SPEC, "entry-2", LOST)
    assert apply(journal, lost, {"entry-1"}) == CallRunning("entry-1")


def test_a_request_that_crashed_two_servers_is_refused_under_a_new_program():
    # A caller resends a request that crashes servers, under a new program each time. Each first
    # call would take down another server.
    journal = journal_with_attempt()
    crash_fingerprint = fingerprint("org", "desk", "{}")
    for number in (1, 2):
        attempt = AttemptId("prog", 1, number, f"desk-{number}", "life")
        apply(journal, ReportCrash(f"desk-{number}", "life", [crash_fingerprint], [attempt]))
    apply(journal, OpenProgram("prog-2", "org", Budget(), 600))
    refused = apply(journal, OpenCall("prog-2", "org", SPEC, "entry-1"))
    assert isinstance(refused, Refusal)
    assert refused.code is RefusalCode.QUARANTINED
    assert isinstance(apply(journal, OpenCall("prog", "org", SPEC, "entry-1")), CallRunning)


def test_a_first_attempt_is_recorded_with_its_call_but_not_with_a_resend():
    journal = Journal()
    apply(journal, OpenProgram("prog", "org", Budget(), 600))
    command = OpenCall("prog", "org", SPEC, "entry-1", first_attempt=LOST)
    opened = apply(journal, command)
    assert (opened.started, opened.attempts) == (True, 1)
    other = AttemptId("prog", 1, 1, "desk-2", "life")
    again = OpenCall("prog", "org", SPEC, "entry-2", first_attempt=other)
    assert apply(journal, again) == CallRunning("entry-1", LOST)


def test_a_call_passes_from_a_live_entry_to_one_that_takes_over():
    # The first entry abandoned the call while control did not respond, and is still running. The
    # caller's resends go through the second entry, which would wait for the first one forever.
    journal = Journal()
    live_entries = {"entry-1", "entry-2"}
    apply(journal, OpenProgram("prog", "org", Budget(), 600))
    apply(journal, OpenCall("prog", "org", SPEC, "entry-1"), live_entries)
    again = OpenCall("prog", "org", SPEC, "entry-2")
    assert apply(journal, again, live_entries) == CallRunning("entry-1")
    take_over = OpenCall("prog", "org", SPEC, "entry-2", take_over=True)
    assert isinstance(apply(journal, take_over, live_entries), CallOpened)
