"""One sidecar on loopback beside a fake server: what an entry receives."""

from __future__ import annotations

import eventlet
from tarragonhall_fakes import answer_to
from tarragonhall_model import Accepted, AttemptAck, AttemptOutcome, Chunk


def test_a_model_call_is_accepted_streamed_and_ended(engine_path):
    attempt = engine_path.send("p1", "plan the run")
    assert engine_path.reply == Accepted()
    end = engine_path.end_of(attempt)
    expected = " ".join(answer_to("plan the run", 100))
    assert (end.outcome, end.answer.text) == (AttemptOutcome.ANSWERED, expected)
    assert engine_path.text_of(attempt) == expected
    chunks = [m for m in engine_path.heard[attempt.key] if isinstance(m, Chunk)]
    assert [chunk.index for chunk in chunks] == list(range(len(chunks)))


def test_a_service_call_takes_effect_once_and_its_answer_comes_back(service_path):
    attempt = service_path.send("p1", '{"district": 7}')
    end = service_path.end_of(attempt)
    assert (end.outcome, end.answer.status) == (AttemptOutcome.ANSWERED, 200)
    assert [effect["attempt"] for effect in service_path.fake.ledger] == [attempt.key]


def test_an_acknowledged_end_is_forgotten(service_path):
    attempt = service_path.send("p1", "{}")
    service_path.end_of(attempt)
    service_path.link.send(AttemptAck(attempt))
    eventlet.sleep(0.05)
    assert service_path.role.drain(1)
