"""Failures of backend servers and of the sidecar itself, on loopback, as an entry sees them."""

from __future__ import annotations

import eventlet
import pytest
from tarragonhall_fakes import Fault, FaultKind, answer_to
from tarragonhall_fakes._batch import Run
from tarragonhall_model import (
    Attach,
    AttemptAck,
    AttemptOutcome,
    CancelAttempt,
    CloseCall,
    EngineOrder,
    Rejected,
    RejectReason,
    ReleaseProgram,
    ReportCrash,
    fingerprint,
)
from tarragonhall_sidecar import _backend

from .conftest import eventually


@pytest.mark.parametrize(
    ("kind", "detail"),
    [
        (FaultKind.TRUNCATED, "broke"),
        (FaultKind.CROSSED, "another attempt"),
    ],
)
def test_an_answer_that_is_cut_or_of_someone_else_is_not_passed_on(engine_path, kind, detail):
    """An engine ends a stream early, or mixes up two of them. A cafeteria lead would read half an
    allergy warning, or that of another school, and take it for the whole truth.
    """
    engine_path.fake.faults.add(Fault(kind))
    end = engine_path.end_of(engine_path.send("p1", "nuts?"))
    assert (end.outcome, end.answer) == (AttemptOutcome.FAILED, None)
    assert detail in end.detail


def test_no_text_of_another_attempt_reaches_the_stream(engine_path):
    """Two streams are crossed inside the engine. The terminal event would tell, but by then the
    caller has read another's words, so each token must name its attempt.
    """
    engine_path.fake.faults.add(Fault(FaultKind.CROSSED))
    attempt = engine_path.send("p1", "nuts?")
    engine_path.end_of(attempt)
    assert engine_path.text_of(attempt) == ""


def test_a_doubled_answer_is_passed_on_once(engine_path):
    """An engine sends every part of an answer twice. The caller must read each word once."""
    engine_path.fake.faults.add(Fault(FaultKind.DOUBLED))
    attempt = engine_path.send("p1", "agenda")
    expected = " ".join(answer_to("agenda", 100))
    assert engine_path.end_of(attempt).answer.text == expected
    assert engine_path.text_of(attempt) == expected


@pytest.mark.parametrize("kind", [FaultKind.HANG, FaultKind.SILENT])
def test_a_stream_without_progress_times_out_and_frees_its_slot(engine_path, kind):
    """An engine accepts a request, or begins its answer, and then says nothing more. Its callers
    would wait for good and its slots fill up. It may have run, so "not run" would be untrue.
    """
    engine_path.fake.faults.add(Fault(kind))
    end = engine_path.end_of(engine_path.send("p1", "agenda"))
    assert end.outcome is AttemptOutcome.TIMED_OUT
    later = engine_path.end_of(engine_path.send("p2", "agenda"))
    assert later.outcome is AttemptOutcome.ANSWERED


def test_an_answer_that_comes_late_is_still_whole(engine_path):
    """An engine holds back its terminal event for a while. The answer must not be given up on."""
    engine_path.fake.faults.add(Fault(FaultKind.LATE, seconds=0.3))
    end = engine_path.end_of(engine_path.send("p1", "agenda"))
    assert end.outcome is AttemptOutcome.ANSWERED


def test_tokens_beyond_the_limit_are_cut(engine_path, monkeypatch):
    """An engine ignores the limit that a call's budget reserved. What it generates beyond is
    neither passed on nor charged.
    """
    from tarragonhall_fakes import _engine

    monkeypatch.setattr(_engine, "answer_to", lambda text, _limit: answer_to(text, 1_000))
    end = engine_path.end_of(engine_path.send("p1", "[tokens=300]", max_tokens=5))
    assert (end.outcome, end.answer.usage.generated) == (AttemptOutcome.ANSWERED, 5)
    assert end.answer.text == " ".join(answer_to("[tokens=300]", 5))


def test_a_service_that_acts_and_hangs_is_never_called_not_run(service_path):
    """The billing service charges a district and then hangs. Whoever hears "not run" would bill it
    again.
    """
    service_path.fake.faults.add(Fault(FaultKind.HANG))
    attempt = service_path.send("p1", "{}", deadline_ms=300)
    assert service_path.end_of(attempt).outcome is AttemptOutcome.TIMED_OUT
    assert len(service_path.fake.ledger) == 1


@pytest.mark.parametrize("kind", [FaultKind.TRUNCATED, FaultKind.CROSSED])
def test_a_service_answer_that_is_cut_or_of_someone_else_is_not_passed_on(service_path, kind):
    """A service closes in the middle of its answer, or answers the wrong request. The driver would
    act on half a confirmation or on that of another school.
    """
    service_path.fake.faults.add(Fault(kind))
    end = service_path.end_of(service_path.send("p1", "{}"))
    assert (end.outcome, end.answer) == (AttemptOutcome.FAILED, None)


def test_a_service_answer_sent_twice_is_taken_once(service_path):
    """A service sends its response twice on one connection. The second must not be taken for the
    answer to the next call.
    """
    service_path.fake.faults.add(Fault(FaultKind.DOUBLED))
    first = service_path.end_of(service_path.send("p1", '{"a":1}'))
    second = service_path.end_of(service_path.send("p2", '{"b":2}'))
    assert ("a" in first.answer.text, "b" in second.answer.text) == (True, True)


def test_a_run_that_fails_in_an_unforeseen_way_still_ends(service_path, monkeypatch):
    """A fault in the sidecar's own code stops a run. Its caller must not wait for good, and the
    slot must come free.
    """

    def fail(*_args) -> None:
        raise LookupError("unforeseen")

    with monkeypatch.context() as patched:
        patched.setattr(_backend, "_call_service", fail)
        ends = [service_path.end_of(service_path.send(f"p{n}", "{}")) for n in range(3)]
    assert [end.outcome for end in ends] == [AttemptOutcome.FAILED] * 3
    later = service_path.end_of(service_path.send("p9", "{}"))
    assert later.outcome is AttemptOutcome.ANSWERED


def test_a_server_that_cannot_be_reached_has_not_run_the_call(service_path):
    """The service died a moment ago and no probe has noticed yet. Nothing was sent, so the call may
    be tried elsewhere even though it must not be repeated.
    """
    service_path.server.crash()
    end = service_path.end_of(service_path.send("p1", "{}"))
    assert end.outcome is AttemptOutcome.NOT_RUN
    assert service_path.fake.ledger == []


def test_a_crash_is_charged_to_all_that_ran_before_anyone_tries_again(engine_path):
    """A poison request brings down the engine beside an innocent one. Both callers hear of a crash,
    and the journal has it first, so that a resend of the poison can be recognised.
    """
    engine_path.fake.faults.add(Fault(FaultKind.CRASH, match="poison"))
    innocent = engine_path.send("p1", "agenda [tokens=90]")
    poison = engine_path.send("p2", "poison")
    proposed_by_then = []
    end = eventually(
        lambda: engine_path.ends_of(poison)
        and (proposed_by_then.extend(engine_path.journal.proposed) or engine_path.ends_of(poison))
    )[0]
    assert end.outcome is AttemptOutcome.CRASHED
    assert engine_path.end_of(innocent).outcome is AttemptOutcome.CRASHED
    assert innocent.key in end.detail
    report = next(one for one in proposed_by_then if isinstance(one, ReportCrash))
    charged = {fingerprint("org", "m", body) for body in ("agenda [tokens=90]", "poison")}
    assert set(report.fingerprints) == charged


def test_a_restarted_sidecar_runs_nothing_of_its_earlier_life(service_path):
    """The sidecar is killed while a bill is under way and comes back. The entry resends the same
    dispatch; the new life cannot know what the old one did and must not bill again.
    """
    service_path.fake.seconds_per_call = 0.2
    attempt = service_path.attempt("p1")
    dispatch = service_path.dispatch(attempt, "{}")
    service_path.link.request(dispatch, 2)
    eventually(lambda: len(service_path.server.received) >= 2)
    service_path.stop_sidecar()
    service_path.start_sidecar()
    assert service_path.link.request(dispatch, 2) == Rejected(RejectReason.INCARNATION)
    eventlet.sleep(0.3)
    assert len(service_path.fake.ledger) <= 1


def test_an_answer_that_no_entry_takes_is_put_in_the_journal(service_path):
    """The entry dies after it dispatched a bill. The district was charged, so its caller must find
    the answer when it asks again through another entry.
    """
    service_path.fake.seconds_per_call = 0.2
    attempt = service_path.send("p1", "{}")
    service_path.entry.hub.stop()
    closes = eventually(
        lambda: [one for one in service_path.journal.proposed if isinstance(one, CloseCall)]
    )
    assert (closes[0].attempt, closes[0].answer.status) == (attempt, 200)


def test_another_entry_attaches_and_gets_the_whole_answer(engine_path):
    """An entry is killed in the middle of a stream and its caller comes back through another. The
    new one must get the answer from its first word.
    """
    body = "agenda [tokens=60]"
    attempt = engine_path.send("p1", body)
    eventually(lambda: engine_path.text_of(attempt))
    engine_path.entry.hub.forget(engine_path.context.link_address)
    engine_path.heard.clear()
    eventlet.sleep(0.05)
    link = engine_path.entry.hub.wait_for(engine_path.context.link_address, 2)
    link.request(Attach(attempt), 2)
    expected = " ".join(answer_to(body, 100))
    assert engine_path.end_of(attempt).answer.text == expected
    assert engine_path.text_of(attempt) == expected


def test_a_cancelled_run_stops_in_the_engine(engine_path):
    """A caller cancels a program whose agent talks on and on. The engine must stop to generate for
    no one.
    """
    attempt = engine_path.send("p1", "agenda [tokens=5000]", max_tokens=5_000)
    eventually(lambda: engine_path.text_of(attempt))
    engine_path.link.request(CancelAttempt(attempt), 2)
    assert engine_path.end_of(attempt).outcome is AttemptOutcome.CANCELLED
    eventually(lambda: not engine_path.fake.batch.running)


def test_runs_of_an_earlier_life_are_stopped_in_the_engine(engine_path):
    """The sidecar is killed while the engine generates a long answer for it. No one will take that
    answer, and until it ends the new life would count on a slot that is not free.
    """
    engine_path.fake.batch.submit(Run("p9/1/1", "p9", ["agenda"], ["w"] * 100_000, 1))
    eventually(lambda: "p9/1/1" in engine_path.fake.batch.running)
    attempt = engine_path.send("p1", "agenda")
    assert engine_path.end_of(attempt).outcome is AttemptOutcome.ANSWERED
    eventually(lambda: not engine_path.fake.batch.running)


def test_memory_of_a_program_that_ended_is_released_until_it_is_gone(engine_path):
    """An engine forgets to act on a release. The memory would stay held for a program that no one
    will ever call again, until the listing is looked at once more.
    """
    attempt = engine_path.send("p1", "agenda")
    engine_path.end_of(attempt)
    engine_path.link.send(AttemptAck(attempt))
    engine_path.fake.faults.add(Fault(FaultKind.SLOW, match="p1"))
    engine_path.link.send(ReleaseProgram("p1"))
    eventually(lambda: not engine_path.fake.batch.cache.held)


def test_memory_of_a_program_that_died_without_a_word_is_released(engine_path):
    """A program's process dies between two turns and no one tells the sidecar when it expires. The
    engine must not hold its memory for good, nor lose that of a program that still lives.
    """
    engine_path.journal.living = {"alive"}
    engine_path.end_of(engine_path.send("alive", "agenda"))
    engine_path.end_of(engine_path.send("dead", "agenda"))
    eventually(lambda: list(engine_path.fake.batch.cache.held) == ["alive"])


def test_an_older_order_is_refused_for_an_engine_that_obeys_everyone(engine_path):
    """A leader that was deposed sends an order late. The engine would load the old version again
    and undo what the new leader did.
    """
    order = EngineOrder("o1", 6, "load_model", "m", "2")
    assert not engine_path.link.request(order, 2).done
    engine_path.journal.confirm(fencing=6)
    assert engine_path.link.request(order, 2).done
    assert engine_path.link.request(order, 2).done
    assert not engine_path.link.request(EngineOrder("o0", 5, "load_model", "m", "1"), 2).done
    assert [one["version"] for one in engine_path.fake.orders] == ["2"]


def test_an_order_whose_answer_was_lost_is_in_effect_by_the_engines_word(engine_path, monkeypatch):
    """The engine loads a version and its answer never comes. Were the order called failed, or given
    again by the next leader, the engine would load its weights twice and serve no one meanwhile.
    """
    monkeypatch.setattr(_backend, "ORDER_SECONDS", 0.2)
    engine_path.journal.confirm(fencing=6)
    engine_path.fake.faults.add(Fault(FaultKind.HANG, match='"order": "o1"'))
    assert engine_path.link.request(EngineOrder("o1", 6, "load_model", "m", "2"), 2).done
    engine_path.journal.confirm(fencing=7)
    assert engine_path.link.request(EngineOrder("o2", 7, "load_model", "m", "2"), 2).done
    assert [one["order"] for one in engine_path.fake.orders] == ["o1"]


def test_a_call_that_runs_ends_before_its_model_is_exchanged(engine_path):
    """A caller reads a long answer when an order for the model comes. The weights must not go from
    under it, and calls that come meanwhile are for other servers.
    """
    engine_path.journal.confirm(fencing=6)
    attempt = engine_path.send("p1", "agenda [tokens=60]")
    eventually(lambda: engine_path.text_of(attempt))
    order = EngineOrder("o1", 6, "load_model", "m", "2")
    giving = eventlet.spawn(engine_path.link.request, order, 5)
    eventually(lambda: not engine_path.journal.node().serves)
    assert engine_path.fake.orders == []
    engine_path.send("p2", "agenda")
    assert engine_path.reply == Rejected(RejectReason.NOT_SERVED)
    assert engine_path.end_of(attempt).outcome is AttemptOutcome.ANSWERED
    assert giving.wait().done
    assert (engine_path.journal.node().serves, len(engine_path.fake.orders)) == (["m"], 1)


def test_a_sidecar_that_lost_control_takes_no_orders(engine_path):
    """The sidecar sits behind a silent partition beside a deposed leader. Its confirmed number is
    old by then, and what that leader orders must not be done.
    """
    engine_path.journal.confirm(fencing=6)
    engine_path.journal.follower.lease_seconds = 0.0
    done = engine_path.link.request(EngineOrder("o1", 6, "load_model", "m", "2"), 2)
    assert (done.done, engine_path.fake.orders) == (False, [])


def test_no_callers_key_reaches_a_backend_server(engine_path, service_path):
    """A backend server that logs its requests would hand a caller's key to whoever reads its logs.
    Only what the protocol names may be sent, and no credential is among it.
    """
    for path in (engine_path, service_path):
        path.end_of(path.send("p1", "{}"))
    sent = service_path.server.received + engine_path.server.received
    known = {"host", "accept-encoding", "content-length", "user-agent", "content-type"}
    assert {name for request in sent for name in request.headers} <= known | {"x-attempt-id"}
    generated = [one for one in engine_path.server.received if one.path == "/v1/generate"]
    fields = {"attempt", "program", "model", "version", "messages", "max_tokens", "priority"}
    assert [set(one.json()) for one in generated] == [fields]


def test_load_reports_reach_the_entries_and_name_what_is_held(engine_path):
    engine_path.journal.living = {"p1"}
    engine_path.end_of(engine_path.send("p1", "agenda"))
    report = eventually(
        lambda: [report for report in engine_path.reports if report.held_programs == ("p1",)]
    )[0]
    assert (report.server_id, report.slots, report.healthy) == ("s1", 2, True)


def test_a_drain_finishes_what_runs_and_refuses_the_rest(engine_path):
    """An instance is restarted for an upgrade. A stand reads a stream that must end whole."""
    body = "agenda [tokens=80]"
    attempt = engine_path.send("p1", body)
    drained = eventlet.spawn(engine_path.role.drain, 3)
    eventlet.sleep(0.05)
    engine_path.send("p2", "agenda")
    assert engine_path.reply == Rejected(RejectReason.DRAINING)
    assert engine_path.end_of(attempt).answer.text == " ".join(answer_to(body, 100))
    engine_path.link.send(AttemptAck(attempt))
    assert drained.wait()
    assert engine_path.journal.proposed[-1][0] == "left"
