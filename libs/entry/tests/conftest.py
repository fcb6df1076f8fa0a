"""An entry on a loopback port, with a fake journal in memory and functions as sidecars."""

from __future__ import annotations

import random
from dataclasses import replace

import eventlet
import pytest
import urllib3
from tarragonhall_decisions import share_ids
from tarragonhall_entry import EntrySettings, start_entry
from tarragonhall_model import (
    AbandonCall,
    Accepted,
    Answer,
    AttemptEnded,
    AttemptOutcome,
    AttemptRecorded,
    Budget,
    CallAbandoned,
    CallClosed,
    CallOpened,
    CloseCall,
    DisproveAttempt,
    EndProgram,
    Execution,
    ExecutionKnown,
    Fresh,
    HandOver,
    KeyPolicy,
    LinkClosedError,
    OpenCall,
    OpenProgram,
    OrganisationPolicy,
    PolicyDelta,
    ProgramInfo,
    ProgramStatus,
    QueryCall,
    QueryExecution,
    Rate,
    Refusal,
    RefusalCode,
    ServerKind,
    ServerRecord,
    Spent,
    StartAttempt,
    View,
    secret_hash,
)
from tarragonhall_wire import (
    HybridClock,
    Metrics,
    Peer,
    ProcessContext,
    Timeline,
    elapsed_seconds,
)

KEY = "thk_test"
POLICY = PolicyDelta(
    0,
    1,
    full=True,
    organisations=(OrganisationPolicy("org", "/org", Rate(1_000.0, 1_000.0)),),
    keys=(KeyPolicy(secret_hash(KEY), "org"),),
)


class FakeLink:
    """A link to a sidecar; each request is answered by the function `sidecar`."""

    def __init__(self, sidecar, address) -> None:
        self.sidecar = sidecar
        self.peer = Peer("sidecar", "life", address)
        self.sent = []

    def request(self, message, _timeout_s):
        self.sent.append(message)
        return self.sidecar(self, message)

    def send(self, message) -> None:
        self.sent.append(message)


class FakeHub:
    """A hub with one handler for each message class and one link for each address."""

    def __init__(self) -> None:
        self.handler_by_class = {}
        self.link_by_address = {}
        self.on_link_closed_callbacks = []

    def handle(self, message_class, handler) -> None:
        self.handler_by_class[message_class] = handler

    def on_link_closed(self, callback) -> None:
        self.on_link_closed_callbacks.append(callback)

    def link_to(self, address):
        if address not in self.link_by_address:
            raise LinkClosedError("no link")
        return self.link_by_address[address]

    def disconnect(self, address) -> None:
        self.link_by_address.pop(address, None)

    def wait_for_link(self, address, _timeout_s):
        return self.link_to(address)

    def deliver(self, link, message) -> None:
        self.handler_by_class[type(message)](link, message)

    def cut(self, address) -> None:
        link = self.link_by_address.pop(address)
        for callback in self.on_link_closed_callbacks:
            callback(link)


class FakeControl:
    """A journal in memory that checks neither budgets nor the order of calls."""

    def __init__(self) -> None:
        self.call_by_name = {}
        self.attempts_by_name = {}
        self.program_by_id = {}
        self.commits = []
        self.queries = []
        self.follower = None
        self.left = False

    def follow(self, node, follower, load, settled_owners=int) -> None:
        self.follower = follower
        follower.apply_view(View(1, [node()], [], entries_version=2))
        self.confirm()

    def confirm(self) -> None:
        follower = self.follower
        fresh = Fresh(follower.settings_revision or 1, follower.view.epoch, 1, policy=POLICY)
        follower.confirm(fresh, elapsed_seconds())

    def leave(self, _node, _timeout_s) -> None:
        self.left = True
        view = self.follower.view
        left = View(view.epoch + 1, [], view.servers, entries_version=view.entries_version + 1)
        self.follower.apply_view(left)

    def propose(self, body, _timeout_s, request_id=None):
        self.commits.append(body)
        match body:
            case OpenProgram():
                info = ProgramInfo(
                    body.program_id, body.program_id, body.org_id, ProgramStatus.OPEN,
                    Budget(), Spent(), 1, 0, body.labels, body.parent,
                )  # fmt: skip
                self.program_by_id[body.program_id] = info
                return info
            case EndProgram():
                return self.program_by_id[body.program_id]
            case OpenCall():
                name = (body.program_id, body.spec.seq)
                return self.call_by_name.setdefault(name, CallOpened(0, []))
            case StartAttempt():
                return AttemptRecorded(body.attempt)
            case CloseCall():
                name = (body.attempt.program_id, body.attempt.seq)
                self.call_by_name[name] = CallClosed(body.answer, body.refusal)
                return self.call_by_name[name]
            case DisproveAttempt():
                return CallOpened(body.attempt.number, [])
            case AbandonCall():
                self.call_by_name.pop((body.program_id, body.seq), None)
                return CallAbandoned()
        raise AssertionError(body)

    def request(self, query, _timeout_s):
        self.queries.append(query)
        if isinstance(query, QueryExecution):
            known = (query.program_id, query.seq) in self.call_by_name
            return ExecutionKnown(Execution.UNKNOWN if known else Execution.NOT_RUN)
        assert isinstance(query, QueryCall)
        missing = Refusal(RefusalCode.NOT_FOUND, "no such call")
        return self.call_by_name.get((query.program_id, query.seq), missing)


class Entry:
    """An entry with its fakes, and an HTTP client for it."""

    def __init__(self, grace_ms: int = 0) -> None:
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        self.hub, self.control = FakeHub(), FakeControl()
        self.metrics = Metrics()
        self.context = ProcessContext(
            "entry-1", "life-1", "zone", "127.0.0.1:1", [], self.hub, self.metrics,
            Timeline(HybridClock("entry-1")), random.Random(1),
        )  # fmt: skip
        self.role = start_entry(
            EntrySettings(self.address, 10, grace_ms), self.context, self.control
        )
        # Hand the token buckets over, so that the entry need not wait for an owner's lease to end.
        shares = share_ids("org", Rate(1_000.0, 1_000.0))
        for share in shares:
            self.hub.deliver(None, HandOver(share, 1_000.0 / len(shares), 2))
        self.http = urllib3.PoolManager(retries=False)

    def serve(self, sidecar, name: str = "desk-1", kind=ServerKind.SERVICE) -> FakeLink:
        """Add a backend server with the given function as its sidecar."""
        address = f"127.0.0.1:{len(self.hub.link_by_address) + 2}"
        link = FakeLink(sidecar, address)
        self.hub.link_by_address[address] = link
        view = self.control.follower.view
        server = ServerRecord(name, f"life-{name}", address, "zone", kind, ["desk"], slots=2)
        servers = [*view.servers, server]
        self.control.follower.apply_view(replace(view, epoch=view.epoch + 1, servers=servers))
        return link

    def end(self, link, dispatch, text: str = "done") -> None:
        """Deliver the end of an attempt with an answer."""
        ended = AttemptEnded(dispatch.attempt, AttemptOutcome.ANSWERED, Answer(text))
        self.hub.deliver(link, ended)

    def answer_at_once(self, text: str = "done"):
        """Return a sidecar that accepts and answers every dispatch."""

        def sidecar(link, message):
            eventlet.spawn_n(self.end, link, message, text)
            return Accepted()

        return sidecar

    def request(self, method: str, path: str, body=None, key: str | None = KEY):
        """Send one request and return the response."""
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        url = f"http://{self.address}{path}"
        return self.http.request(method, url, json=body, headers=headers, timeout=10)

    def call(self, seq: int = 1, program_id: str = "prog-1", key: str = KEY, **fields):
        """Send a call and return the response."""
        body = {"seq": seq, "kind": "service", "target": "desk", "body": {}} | fields
        return self.request("POST", f"/v1/programs/{program_id}/calls", body, key)


@pytest.fixture
def entry():
    made = Entry()
    yield made
    made.role.stop()
