"""A sidecar beside a fake server on loopback, an entry's end of its link, and a small journal."""

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
    """Wait until `check` returns something true, and return that."""
    limit = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < limit:
        found = check()
        if found:
            return found
        eventlet.sleep(0.01)
    raise AssertionError("it never came about")


class Journal:
    """Stands for control: takes what the sidecar proposes, and knows which programs live."""

    def __init__(self, context) -> None:
        self.context = context
        self.proposed = []
        self.living: set[str] = set()
        self.follower = None
        self.node = None

    def propose(self, body, timeout_s, request_id=None):
        self.proposed.append(body)

    def ask(self, query, timeout_s):
        return Living([name for name in query.program_ids if name in self.living])

    def follow(self, node, follower, load):
        self.node, self.follower = node, follower
        entry = EntryRecord("entry", "1", "", "tx-austin")
        follower.apply_view(View(1, [entry], []))

    def confirm(self, fencing):
        self.follower.confirm(Fresh(0, 1, fencing), self.context.monotonic())

    def leave(self, node, timeout_s):
        self.proposed.append(("left", node))


class Path:
    """The whole of one sidecar with both its ends."""

    def __init__(self, kind: ServerKind, slots: int = 2) -> None:
        self.kind = kind
        starts = {ServerKind.MODEL: start_engine, ServerKind.SERVICE: start_service}
        self.fake, self.server = starts[kind]()
        self.heard = collections.defaultdict(list)
        self.reports = []
        self.entry = self._context("entry")
        self.entry.hub.handle(Chunk, lambda _link, m: self.heard[m.attempt_key].append(m))
        self.entry.hub.handle(AttemptEnded, lambda _link, m: self.heard[m.attempt.key].append(m))
        self.entry.hub.handle(LoadReport, lambda _link, m: self.reports.append(m))
        self.slots = slots
        self.start_sidecar()

    def start_sidecar(self) -> None:
        """Start the sidecar; again after `stop_sidecar`, as a new life."""
        self.context = self._context("beside")
        self.journal = Journal(self.context)
        target = "m" if self.kind is ServerKind.MODEL else "bill"
        settings = SidecarSettings(
            "s1", self.server.address, self.kind, [target], self.slots, "ignored", 500
        )
        self.role = start_sidecars([settings], self.context, self.journal)
        self.link = self.entry.hub.wait_for(self.context.link_address, 2)

    def stop_sidecar(self) -> None:
        """Stop the sidecar without a word."""
        self.role.stop()
        self.context.hub.stop()

    def stop(self) -> None:
        """Stop everything."""
        self.stop_sidecar()
        self.entry.hub.stop()
        self.server.stop()

    def attempt(self, program: str, seq: int = 1, number: int = 1) -> AttemptId:
        """Name an attempt for this life of the sidecar."""
        return AttemptId(program, seq, number, "s1", self.journal.node().incarnation)

    def dispatch(self, attempt: AttemptId, body: str, **options) -> Dispatch:
        """Make a dispatch of a model or service call."""
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
        """Return the ends heard so far."""
        return [m for m in self.heard[attempt.key] if isinstance(m, AttemptEnded)]

    def text_of(self, attempt: AttemptId) -> str:
        """Return the streamed text heard so far."""
        return "".join(m.text for m in self.heard[attempt.key] if isinstance(m, Chunk))

    def _context(self, name: str):
        metrics = make_metrics(None, 0, name)
        return make_context(name, "tx-austin", free_address(), [], SECRET, metrics)


@pytest.fixture(autouse=True)
def quick_rounds(monkeypatch):
    """Let the rounds that wait for lost messages come soon enough for a test."""
    monkeypatch.setattr(_reconciler, "RECONCILE_SECONDS", 0.2)


@pytest.fixture
def engine_path():
    """A sidecar beside a fake engine."""
    path = Path(ServerKind.MODEL)
    yield path
    path.stop()


@pytest.fixture
def service_path():
    """A sidecar beside a fake service."""
    path = Path(ServerKind.SERVICE)
    yield path
    path.stop()
