"""Tests of failures of backend servers and of the sidecar, on loopback, as seen by an entry."""

from __future__ import annotations

import json

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
    NoMoreDispatches,
    Rejected,
    RejectReason,
    ReleaseProgram,
    ReportCrash,
    ServerStops,
    fingerprint,
)
from tarragonhall_sidecar import _backend

from .conftest import eventually


@pytest.mark.parametrize(
    ("kind", "detail"),
    [
        (FaultKind.TRUNCATED, "broke"),
        (FaultKind.RESET, "broke"),
        (FaultKind.CROSSED, "another attempt"),
    ],
)
def test_an_answer_that_is_truncated_or_of_another_attempt_is_not_forwarded(
    engine_harness, kind, detail
):
    """An engine ends a stream early or mixes up two streams. The caller would read half an answer,
    or that of another caller, as its own complete one.
    """
    engine_harness.fake.faults.add(Fault(kind))
    end = engine_harness.end_of(engine_harness.send("p1", "nuts?"))
    assert (end.outcome, end.answer) == (AttemptOutcome.FAILED, None)
    assert detail in end.detail


def test_no_text_of_another_attempt_reaches_the_stream(engine_harness):
    """An engine mixes up two streams. The terminal event would show it only after the caller has
    read another caller's text, so each token must name its attempt.
    """
    engine_harness.fake.faults.add(Fault(FaultKind.CROSSED))
    attempt = engine_harness.send("p1", "nuts?")
    engine_harness.end_of(attempt)
    assert engine_harness.text_of(attempt) == ""


def test_a_duplicated_answer_is_forwarded_once(engine_harness):
    """An engine sends every token of an answer twice. The caller must receive each once."""
    engine_harness.fake.faults.add(Fault(FaultKind.DOUBLED))
    attempt = engine_harness.send("p1", "agenda")
    expected = " ".join(answer_to("agenda", 100))
    assert engine_harness.end_of(attempt).answer.text == expected
    assert engine_harness.text_of(attempt) == expected


@pytest.mark.parametrize("kind", [FaultKind.HANG, FaultKind.SILENT])
def test_a_stream_without_progress_times_out_and_frees_its_slot(engine_harness, kind):
    """An engine accepts a request, or begins its answer, and then sends nothing more. Without a
    timeout its callers would wait forever and its slots fill up. It may have run the call, so
    "not run" would be wrong.
    """
    engine_harness.fake.faults.add(Fault(kind))
    end = engine_harness.end_of(engine_harness.send("p1", "agenda"))
    assert end.outcome is AttemptOutcome.TIMED_OUT
    later = engine_harness.end_of(engine_harness.send("p2", "agenda"))
    assert later.outcome is AttemptOutcome.ANSWERED


def test_a_late_answer_is_still_complete(engine_harness):
    """An engine delays its terminal event for less than the progress timeout."""
    engine_harness.fake.faults.add(Fault(FaultKind.LATE, seconds=0.3))
    end = engine_harness.end_of(engine_harness.send("p1", "agenda"))
    assert end.outcome is AttemptOutcome.ANSWERED


def test_tokens_beyond_the_limit_are_cut(engine_harness, monkeypatch):
    """An engine ignores the token limit of a call. Tokens beyond it are neither forwarded nor
    charged.
    """
    from tarragonhall_fakes import _engine

    monkeypatch.setattr(_engine, "answer_to", lambda text, _limit: answer_to(text, 1_000))
    end = engine_harness.end_of(engine_harness.send("p1", "[tokens=300]", max_tokens=5))
    assert (end.outcome, end.answer.usage.generated) == (AttemptOutcome.ANSWERED, 5)
    assert end.answer.text == " ".join(answer_to("[tokens=300]", 5))


def test_a_service_call_that_took_effect_and_hangs_is_never_reported_as_not_run(service_harness):
    """The billing service charges a district and then hangs. A caller that receives "not run" would
    bill it again.
    """
    service_harness.fake.faults.add(Fault(FaultKind.HANG))
    attempt = service_harness.send("p1", "{}", deadline_ms=300)
    assert service_harness.end_of(attempt).outcome is AttemptOutcome.TIMED_OUT
    assert len(service_harness.fake.ledger) == 1


@pytest.mark.parametrize("kind", [FaultKind.TRUNCATED, FaultKind.CROSSED, FaultKind.RESET])
def test_a_service_answer_that_is_truncated_or_of_another_attempt_is_not_forwarded(
    service_harness, kind
):
    """A service closes the connection during its answer, or answers another request. The caller
    would act on half an answer or on that of another caller.
    """
    service_harness.fake.faults.add(Fault(kind))
    end = service_harness.end_of(service_harness.send("p1", "{}"))
    assert (end.outcome, end.answer) == (AttemptOutcome.FAILED, None)


def test_a_whole_service_answer_without_a_length_arrives(service_harness):
    """A service sends neither a length nor chunks and closes the connection after its answer. The
    caller would be told that the call failed, though it took effect and was answered.
    """
    service_harness.fake.faults.add(Fault(FaultKind.UNFRAMED))
    end = service_harness.end_of(service_harness.send("p1", '{"a":1}'))
    assert end.outcome is AttemptOutcome.ANSWERED
    assert json.loads(end.answer.text) == {"service": "bill", "did": '{"a":1}'}


def test_a_service_answer_sent_twice_is_read_once(service_harness):
    """A service sends its response twice on one connection. The second one must not become the
    answer to the next call.
    """
    service_harness.fake.faults.add(Fault(FaultKind.DOUBLED))
    first = service_harness.end_of(service_harness.send("p1", '{"a":1}'))
    second = service_harness.end_of(service_harness.send("p2", '{"b":2}'))
    assert ("a" in first.answer.text, "b" in second.answer.text) == (True, True)


def test_a_run_that_raises_an_unexpected_error_still_ends(service_harness, monkeypatch):
    """A bug in the sidecar raises an error in a run. Its caller must not wait forever, and its slot
    must become free.
    """

    def fail(*_args) -> None:
        raise LookupError("unforeseen")

    with monkeypatch.context() as patched:
        patched.setattr(_backend, "_call_service", fail)
        ends = [service_harness.end_of(service_harness.send(f"p{n}", "{}")) for n in range(3)]
    assert [end.outcome for end in ends] == [AttemptOutcome.FAILED] * 3
    later = service_harness.end_of(service_harness.send("p9", "{}"))
    assert later.outcome is AttemptOutcome.ANSWERED


def test_a_server_that_cannot_be_reached_has_not_run_the_call(service_harness):
    """The service died and no probe has detected it yet. Nothing was sent, so even a call that must
    not be repeated may run on another server.
    """
    service_harness.server.crash()
    end = service_harness.end_of(service_harness.send("p1", "{}"))
    assert end.outcome is AttemptOutcome.NOT_RUN
    assert service_harness.fake.ledger == []


def test_a_crash_is_committed_with_all_running_requests_before_an_entry_can_retry(engine_harness):
    """A poison request crashes the engine while another request runs. The crash must be in the
    journal before the entries are notified, so that a retry of the poison request is recognised.
    """
    engine_harness.fake.faults.add(Fault(FaultKind.CRASH, match="poison"))
    innocent = engine_harness.send("p1", "agenda [tokens=90]")
    poison = engine_harness.send("p2", "poison")
    proposed_by_then = []
    end = eventually(
        lambda: engine_harness.ends_of(poison)
        and (
            proposed_by_then.extend(engine_harness.control.proposed)
            or engine_harness.ends_of(poison)
        )
    )[0]
    assert end.outcome is AttemptOutcome.CRASHED
    assert engine_harness.end_of(innocent).outcome is AttemptOutcome.CRASHED
    assert innocent.key in end.detail
    report = next(one for one in proposed_by_then if isinstance(one, ReportCrash))
    charged = {fingerprint("org", "m", body) for body in ("agenda [tokens=90]", "poison")}
    assert set(report.fingerprints) == charged


def test_a_restarted_sidecar_runs_no_dispatch_for_its_earlier_incarnation(service_harness):
    """The sidecar is killed during a billing call and restarted. The entry resends the dispatch;
    the new incarnation does not know whether the old one ran it and must not bill again.
    """
    service_harness.fake.seconds_per_call = 0.2
    attempt = service_harness.attempt("p1")
    dispatch = service_harness.dispatch(attempt, "{}")
    service_harness.link.request(dispatch, 2)
    eventually(lambda: len(service_harness.server.received) >= 2)
    service_harness.stop_sidecar()
    service_harness.start_sidecar()
    assert service_harness.link.request(dispatch, 2) == Rejected(RejectReason.INCARNATION)
    eventlet.sleep(0.3)
    assert len(service_harness.fake.ledger) <= 1


def test_an_answer_that_no_entry_acknowledges_is_committed_to_the_journal(service_harness):
    """The entry dies after it dispatched a billing call. The district was charged, so its caller
    must get the answer when it repeats the request through another entry.
    """
    service_harness.fake.seconds_per_call = 0.2
    attempt = service_harness.send("p1", "{}")
    service_harness.entry.hub.stop()
    closes = eventually(
        lambda: [one for one in service_harness.control.proposed if isinstance(one, CloseCall)]
    )
    assert (closes[0].attempt, closes[0].answer.status) == (attempt, 200)


def test_another_entry_attaches_and_gets_the_complete_answer(engine_harness):
    """An entry is killed during a stream and its caller reconnects through another entry. That one
    must get the answer from its first token.
    """
    body = "agenda [tokens=60]"
    attempt = engine_harness.send("p1", body)
    eventually(lambda: engine_harness.text_of(attempt))
    engine_harness.entry.hub.disconnect(engine_harness.context.link_address)
    engine_harness.received_by_attempt.clear()
    eventlet.sleep(0.05)
    link = engine_harness.entry.hub.wait_for_link(engine_harness.context.link_address, 2)
    link.request(Attach(attempt), 2)
    expected = " ".join(answer_to(body, 100))
    assert engine_harness.end_of(attempt).answer.text == expected
    assert engine_harness.text_of(attempt) == expected


def test_a_cancelled_run_stops_in_the_engine(engine_harness):
    """A caller cancels a program during a long answer. The engine must stop generating."""
    attempt = engine_harness.send("p1", "agenda [tokens=5000]", max_tokens=5_000)
    eventually(lambda: engine_harness.text_of(attempt))
    engine_harness.link.request(CancelAttempt(attempt), 2)
    assert engine_harness.end_of(attempt).outcome is AttemptOutcome.CANCELLED
    eventually(lambda: not engine_harness.fake.batch.running)


def test_runs_of_an_earlier_incarnation_are_stopped_in_the_engine(engine_harness):
    """The sidecar is killed while the engine generates a long answer. Nothing reads that answer,
    and until it ends the new incarnation would count a busy slot as free.
    """
    engine_harness.fake.batch.submit(Run("p9/1/1", "p9", ["agenda"], ["w"] * 100_000, 1))
    eventually(lambda: "p9/1/1" in engine_harness.fake.batch.running)
    attempt = engine_harness.send("p1", "agenda")
    assert engine_harness.end_of(attempt).outcome is AttemptOutcome.ANSWERED
    eventually(lambda: not engine_harness.fake.batch.running)


def test_a_release_is_repeated_until_the_engine_frees_the_memory(engine_harness):
    """An engine does not act on a release. Without a check of its listing, it would hold the memory
    of the ended program forever.
    """
    attempt = engine_harness.send("p1", "agenda")
    engine_harness.end_of(attempt)
    engine_harness.link.send(AttemptAck(attempt))
    engine_harness.fake.faults.add(Fault(FaultKind.SLOW, match="p1"))
    engine_harness.link.send(ReleaseProgram("p1"))
    eventually(lambda: not engine_harness.fake.batch.cache.held)


def test_memory_of_a_program_that_ended_without_a_notification_is_released(engine_harness):
    """A program's process dies between two turns and the notification of its expiry is lost. The
    engine must not hold its memory forever, nor release that of a live program.
    """
    engine_harness.control.living = {"alive"}
    engine_harness.end_of(engine_harness.send("alive", "agenda"))
    engine_harness.end_of(engine_harness.send("dead", "agenda"))
    eventually(lambda: list(engine_harness.fake.batch.cache.held) == ["alive"])


def test_an_older_order_is_refused_for_an_engine_that_ignores_fencing_numbers(engine_harness):
    """An order of a deposed leader arrives late. The engine would load the old version again and
    undo the order of the new leader.
    """
    order = EngineOrder("o1", 6, "load_model", "m", "2")
    assert not engine_harness.link.request(order, 2).done
    engine_harness.control.confirm(fencing=6)
    assert engine_harness.link.request(order, 2).done
    assert engine_harness.link.request(order, 2).done
    assert not engine_harness.link.request(EngineOrder("o0", 5, "load_model", "m", "1"), 2).done
    assert [one["version"] for one in engine_harness.fake.orders] == ["2"]


def test_an_order_whose_answer_was_lost_is_done_if_the_engine_reports_it(
    engine_harness, monkeypatch
):
    """The engine loads a version but its answer is lost. If the order counted as failed, or the
    next leader repeated it, the engine would load the weights twice and serve no calls meanwhile.
    """
    monkeypatch.setattr(_backend, "ORDER_TIMEOUT_SECONDS", 0.2)
    engine_harness.control.confirm(fencing=6)
    engine_harness.fake.faults.add(Fault(FaultKind.HANG, match='"order": "o1"'))
    assert engine_harness.link.request(EngineOrder("o1", 6, "load_model", "m", "2"), 2).done
    engine_harness.control.confirm(fencing=7)
    assert engine_harness.link.request(EngineOrder("o2", 7, "load_model", "m", "2"), 2).done
    assert [one["order"] for one in engine_harness.fake.orders] == ["o1"]


def test_a_running_call_ends_before_its_model_is_replaced(engine_harness):
    """An order for a model arrives while a call of it runs. The weights must not be replaced during
    the call, and new calls are rejected so that other servers take them.
    """
    engine_harness.control.confirm(fencing=6)
    attempt = engine_harness.send("p1", "agenda [tokens=60]")
    eventually(lambda: engine_harness.text_of(attempt))
    order = EngineOrder("o1", 6, "load_model", "m", "2")
    sending = eventlet.spawn(engine_harness.link.request, order, 5)
    eventually(lambda: not engine_harness.control.node().serves)
    assert engine_harness.fake.orders == []
    engine_harness.send("p2", "agenda")
    assert engine_harness.reply == Rejected(RejectReason.NOT_SERVED)
    assert engine_harness.end_of(attempt).outcome is AttemptOutcome.ANSWERED
    assert sending.wait().done
    assert (engine_harness.control.node().serves, len(engine_harness.fake.orders)) == (["m"], 1)


def test_a_sidecar_that_lost_control_refuses_orders(engine_harness):
    """A partition separates the sidecar and a deposed leader from the majority. The confirmed
    fencing number is outdated, so orders of that leader must be refused.
    """
    engine_harness.control.confirm(fencing=6)
    engine_harness.control.follower.lease_seconds = 0.0
    done = engine_harness.link.request(EngineOrder("o1", 6, "load_model", "m", "2"), 2)
    assert (done.done, engine_harness.fake.orders) == (False, [])


def test_no_callers_key_reaches_a_backend_server(engine_harness, service_harness):
    """A backend server that logs its requests would expose a caller's key in its logs. Only the
    headers and fields of the protocol may be sent, and none of them is a credential.
    """
    for harness in (engine_harness, service_harness):
        harness.end_of(harness.send("p1", "{}"))
    sent = service_harness.server.received + engine_harness.server.received
    known = {"host", "accept-encoding", "content-length", "user-agent", "content-type"}
    assert {name for request in sent for name in request.headers} <= known | {"x-attempt-id"}
    generated = [one for one in engine_harness.server.received if one.path == "/v1/generate"]
    fields = {"attempt", "program", "model", "version", "messages", "max_tokens", "priority"}
    assert [set(one.json()) for one in generated] == [fields]


def test_load_reports_reach_the_entries_and_name_the_held_programs(engine_harness):
    engine_harness.control.living = {"p1"}
    engine_harness.end_of(engine_harness.send("p1", "agenda"))
    report = eventually(
        lambda: [report for report in engine_harness.reports if report.held_programs == ("p1",)]
    )[0]
    assert (report.server_id, report.slots, report.healthy) == ("s1", 2, True)


def test_a_drain_finishes_running_calls_and_rejects_new_ones(engine_harness):
    """An instance is restarted for an upgrade. A running stream must end with its whole answer."""
    body = "agenda [tokens=80]"
    attempt = engine_harness.send("p1", body)
    drained = eventlet.spawn(engine_harness.role.drain, 3)
    eventlet.sleep(0.05)
    engine_harness.send("p2", "agenda")
    assert engine_harness.reply == Rejected(RejectReason.DRAINING)
    assert engine_harness.end_of(attempt).answer.text == " ".join(answer_to(body, 100))
    engine_harness.link.send(AttemptAck(attempt))
    assert drained.wait()
    assert engine_harness.control.proposed[-1][0] == "left"


def test_a_call_that_is_sent_as_the_links_close_is_rejected(service_harness):
    """An entry has not heard yet that the sidecar drains, or has a dispatch on its way. If the link
    closed under it, whether the call ran would be unknown, though it did not.
    """
    replies = []

    def send_late():
        eventlet.sleep(0.2)
        attempt = service_harness.attempt("p1")
        replies.append(service_harness.link.request(service_harness.dispatch(attempt, "{}"), 2))

    def on_stops(_link, _message):
        eventually(lambda: replies)
        return NoMoreDispatches()

    service_harness.entry.hub.handle(ServerStops, on_stops)
    sending = eventlet.spawn(send_late)
    assert service_harness.role.drain(3)
    service_harness.context.hub.stop()
    sending.wait()
    assert replies == [Rejected(RejectReason.DRAINING)]


@pytest.mark.parametrize("answers", [True, False])
def test_a_stop_does_not_wait_long_for_entries_that_do_not_answer(service_harness, answers):
    """An entry is of an earlier release, or its connection is dead. The process must still end."""
    if not answers:
        service_harness.entry.hub.handle(ServerStops, lambda _link, _message: eventlet.sleep(9))
    with eventlet.Timeout(2.5):
        assert service_harness.role.drain(3)
