"""Fixtures: a sidecar on loopback with a fake backend server, an entry's link and fake control."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import collections  # noqa: E402 - the patch comes first
import time  # noqa: E402

import pytest  # noqa: E402
from tarragonhall_fakes import free_address, start_engine, start_service  # noqa: E402
from tarragonhall_model import (  # noqa: E402
    AttemptEnded,
    AttemptId,
    CallKind,
    CallSpec,
    Chunk,
    Dispatch,
    EntryRecord,
    Fresh,
    Living,
    LoadReport,
    ServerKind,
    View,
)
from tarragonhall_sidecar import SidecarSettings, _reconciler, start_sidecars  # noqa: E402
from tarragonhall_wire import make_context, make_metrics  # noqa: E402

SECRET = b"for tests only"
WAIT_SECONDS = 5.0


def eventually(check):
    """Wait until `check` returns a true value, and return it."""
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        eventlet.sleep(0.01)
    raise AssertionError(f"the condition was not met within {WAIT_SECONDS} seconds")


class FakeControl:
    """Replaces control: records the sidecar's proposals and answers which programs are live."""

    def __init__(self, context) -> None:
        self.context = context
        self.proposed = []
        self.living: set[str] = set()
        self.follower = None
        self.node = None

    def propose(self, body, timeout_s, request_id=None):
        self.proposed.append(body)

    def request(self, query, timeout_s):
        return Living([name for name in query.program_ids if name in self.living])

    def follow(self, node, follower, load):
        self.node, self.follower = node, follower
        entry = EntryRecord("entry", "1", "", "tx-austin")
        follower.apply_view(View(1, [entry], []))

    def confirm(self, fencing):
        self.follower.confirm(Fresh(0, 1, fencing), self.context.monotonic())

    def leave(self, node, timeout_s):
        self.proposed.append(("left", node))


class SidecarHarness:
    """One sidecar with its backend server, control and an entry's link."""

    def __init__(self, kind: ServerKind, slots: int = 2) -> None:
        self.kind = kind
        starts = {ServerKind.MODEL: start_engine, ServerKind.SERVICE: start_service}
        self.fake, self.server = starts[kind]()
        self.received_by_attempt = collections.defaultdict(list)
        self.reports = []
        self.entry = self._context("entry")
        self.entry.hub.handle(
            Chunk, lambda _link, m: self.received_by_attempt[m.attempt_key].append(m)
        )
        self.entry.hub.handle(
            AttemptEnded, lambda _link, m: self.received_by_attempt[m.attempt.key].append(m)
        )
        self.entry.hub.handle(LoadReport, lambda _link, m: self.reports.append(m))
        self.slots = slots
        self.start_sidecar()

    def start_sidecar(self) -> None:
        """Start the sidecar; after `stop_sidecar`, as a new incarnation."""
        self.context = self._context("beside")
        self.control = FakeControl(self.context)
        target = "m" if self.kind is ServerKind.MODEL else "bill"
        settings = SidecarSettings(
            "s1", self.server.address, self.kind, [target], self.slots, "ignored", 500
        )
        self.role = start_sidecars([settings], self.context, self.control)
        self.link = self.entry.hub.wait_for_link(self.context.link_address, 2)

    def stop_sidecar(self) -> None:
        """Stop the sidecar without a drain or a leave notice."""
        self.role.stop()
        self.context.hub.stop()

    def stop(self) -> None:
        """Stop everything."""
        self.stop_sidecar()
        self.entry.hub.stop()
        self.server.stop()

    def attempt(self, program: str, seq: int = 1, number: int = 1) -> AttemptId:
        """Return the id of an attempt for the current incarnation of the sidecar."""
        return AttemptId(program, seq, number, "s1", self.control.node().incarnation)

    def dispatch(self, attempt: AttemptId, body: str, **options) -> Dispatch:
        """Return a dispatch of a model or service call."""
        deadline_ms = options.pop("deadline_ms", 5_000)
        if self.kind is ServerKind.MODEL:
            options = {"max_tokens": 100, "stream": True, **options}
            spec = CallSpec(attempt.seq, CallKind.MODEL, "m", body, **options)
        else:
            spec = CallSpec(attempt.seq, CallKind.SERVICE, "bill", body, repeatable=False)
        return Dispatch(attempt, "org", spec, [], 1, deadline_ms)

    def send(self, program: str, body: str, **options) -> AttemptId:
        """Dispatch a first attempt and return its id."""
        attempt = self.attempt(program)
        self.reply = self.link.request(self.dispatch(attempt, body, **options), 2)
        return attempt

    def end_of(self, attempt: AttemptId) -> AttemptEnded:
        """Wait for the end of an attempt."""
        ends = self.ends_of
        return eventually(lambda: ends(attempt))[0]

    def ends_of(self, attempt: AttemptId) -> list[AttemptEnded]:
        """Return the ends received so far."""
        return [m for m in self.received_by_attempt[attempt.key] if isinstance(m, AttemptEnded)]

    def text_of(self, attempt: AttemptId) -> str:
        """Return the streamed text received so far."""
        return "".join(
            m.text for m in self.received_by_attempt[attempt.key] if isinstance(m, Chunk)
        )

    def _context(self, name: str):
        metrics = make_metrics(None, 0, name)
        return make_context(name, "tx-austin", free_address(), [], SECRET, metrics)


@pytest.fixture(autouse=True)
def short_reconcile_interval(monkeypatch):
    """Shorten the interval of reconcile rounds, which repair lost messages."""
    monkeypatch.setattr(_reconciler, "RECONCILE_INTERVAL_SECONDS", 0.2)


@pytest.fixture
def engine_harness():
    """A sidecar with a fake engine."""
    harness = SidecarHarness(ServerKind.MODEL)
    yield harness
    harness.stop()


@pytest.fixture
def service_harness():
    """A sidecar with a fake service."""
    harness = SidecarHarness(ServerKind.SERVICE)
    yield harness
    harness.stop()
