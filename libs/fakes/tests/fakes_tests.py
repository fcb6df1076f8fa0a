"""The fakes follow the protocol in `docs/dev-guide/engine-protocol.md`."""

from __future__ import annotations

import json

import pytest
import urllib3
from tarragonhall_fakes import (
    EngineOptions,
    Fault,
    FaultKind,
    answer_to,
    start_engine,
    start_service,
)

http = urllib3.PoolManager(retries=False, timeout=3.0)


@pytest.fixture
def engine():
    made, server = start_engine()
    yield made, f"http://{server.address}", server
    server.stop()


@pytest.fixture
def service():
    made, server = start_service()
    yield made, f"http://{server.address}", server
    server.stop()


def generate(url: str, content: str, attempt: str = "p/1/1", program: str = "p") -> list[dict]:
    body = {
        "attempt": attempt,
        "program": program,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": 50,
        "priority": 1,
    }
    response = http.request("POST", f"{url}/v1/generate", json=body)
    lines = response.data.decode().split("\n")
    return [json.loads(line[6:]) for line in lines if line.startswith("data: ")]


def test_generate_streams_the_answer_and_one_terminal_event(engine):
    _engine, url, _server = engine
    events = generate(url, "hello [tokens=4]")
    text = "".join(event["text"] for event in events if "text" in event)
    assert text == " ".join(answer_to("hello [tokens=4]", 50))
    assert events[-1]["attempt"] == "p/1/1"
    assert events[-1]["characters"] == len(text)


def test_the_second_turn_finds_the_prefix_in_the_cache_until_it_is_released(engine):
    _engine, url, _server = engine
    generate(url, "one two three")
    assert generate(url, "one two three")[-1]["cached_tokens"] == 3
    http.request("POST", f"{url}/v1/release", json={"program": "p"})
    assert http.request("GET", f"{url}/v1/held").json()["programs"] == []
    assert generate(url, "one two three")[-1]["cached_tokens"] == 0


def test_the_cache_evicts_the_least_recently_used_program():
    _engine, server = start_engine(options=EngineOptions(cache_tokens=40))
    for name in ("a", "b", "c"):
        generate(f"http://{server.address}", "word " * 5, program=name)
    held = http.request("GET", f"http://{server.address}/v1/held").json()["programs"]
    assert [program["program"] for program in held] == ["c", "b"]
    server.stop()


def test_an_engine_that_checks_fencing_rejects_an_older_order():
    _engine, server = start_engine(options=EngineOptions(fencing_enforced=True))
    order = {"order": "o", "action": "load", "model": "m", "version": "1"}
    url = f"http://{server.address}/v1/orders"
    assert http.request("POST", url, json=order | {"fencing": 5}).status == 200
    assert http.request("POST", url, json=order | {"fencing": 4}).status == 409
    server.stop()


def test_a_crash_refuses_connections_afterwards(engine):
    made, url, _server = engine
    made.faults.add(Fault(FaultKind.CRASH, match="poison"))
    with pytest.raises(urllib3.exceptions.HTTPError):
        generate(url, "poison")
    with pytest.raises(urllib3.exceptions.HTTPError):
        http.request("GET", f"{url}/health")


def test_each_request_to_the_service_is_an_effect(service):
    made, url, _server = service
    for _ in range(2):
        http.request("POST", f"{url}/bill", body="{}", headers={"X-Attempt-Id": "p/1/1"})
    assert [effect["name"] for effect in made.ledger] == ["bill", "bill"]


def test_faults_are_requested_over_http(service):
    made, url, _server = service
    http.request("POST", f"{url}/faults", json={"kind": "truncated"})
    with pytest.raises(urllib3.exceptions.HTTPError):
        http.request("POST", f"{url}/bill", body="{}")
    assert len(made.ledger) == 1
