"""Tests of what an entry receives from a sidecar with a fake backend server on loopback."""

from __future__ import annotations

import eventlet
from tarragonhall_fakes import answer_to
from tarragonhall_model import Accepted, AttemptAck, AttemptOutcome, Chunk


def test_a_model_call_is_accepted_streamed_and_ended(engine_harness):
    attempt = engine_harness.send("p1", "plan the run")
    assert engine_harness.reply == Accepted()
    end = engine_harness.end_of(attempt)
    expected = " ".join(answer_to("plan the run", 100))
    assert (end.outcome, end.answer.text) == (AttemptOutcome.ANSWERED, expected)
    assert engine_harness.text_of(attempt) == expected
    chunks = [m for m in engine_harness.received_by_attempt[attempt.key] if isinstance(m, Chunk)]
    assert [chunk.index for chunk in chunks] == list(range(len(chunks)))


def test_a_service_call_takes_effect_once_and_is_answered(service_harness):
    attempt = service_harness.send("p1", '{"district": 7}')
    end = service_harness.end_of(attempt)
    assert (end.outcome, end.answer.status) == (AttemptOutcome.ANSWERED, 200)
    assert [effect["attempt"] for effect in service_harness.fake.ledger] == [attempt.key]


def test_an_acknowledged_end_is_dropped(service_harness):
    attempt = service_harness.send("p1", "{}")
    service_harness.end_of(attempt)
    service_harness.link.send(AttemptAck(attempt))
    eventlet.sleep(0.05)
    assert service_harness.role.drain(1)
