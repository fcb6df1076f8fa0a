"""One call of a service whose callers differ in priority, and the counts that it belongs to."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tarragonhall_decisions import (
    AdmissionLevel,
    FairParts,
    Prospect,
    UrgentTier,
    bounded_retry_ms,
)
from tarragonhall_model import Execution, Refusal, RefusalCode

from tarragonhall_relay._admission import AdmittedCall

if TYPE_CHECKING:
    from tarragonhall_relay._urgent_first import UrgentFirst

# Seconds for which a call that ended counts.
ENDED_WINDOW_S = 1.0
# A call counts as at most this many times its target: one server that hangs must not look like a
# crowd.
MAX_TARGETS = 2.0
# Shorter waits are those of calls that found a slot at once; they are not timed.
MIN_TIMED_WAIT_S = 0.001


@dataclass(slots=True)
class ClassCounts:
    """This entry's calls of one urgency at a service.

    `is_used` says that any entry had calls of the class, and `kinds` are the routes of those here.
    `ended` holds when calls were answered in full, or gave up waiting for a slot, and how long they
    had taken. `target_s` is the mean that their callers can bear, `max_wait_s` the mean wait for a
    slot.
    """

    key: str
    target_s: float = float("inf")
    max_wait_s: float = float("inf")
    kinds: set[str] = field(default_factory=set)
    is_used: bool = False
    waiting: int = 0
    running: int = 0
    ended: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, taken_s: float, now: float) -> None:
        """Record how long a call has taken since it first waited for a slot."""
        self.ended.append((now, min(taken_s, MAX_TARGETS * self.target_s)))

    def recent(self, now: float) -> tuple[int, float]:
        """Return how many calls ended lately, and the sum of the seconds that they took."""
        while self.ended and now - self.ended[0][0] > ENDED_WINDOW_S:
            self.ended.popleft()
        return len(self.ended), sum(taken_s for _, taken_s in self.ended)


@dataclass(slots=True)
class UrgentService:
    """What is kept for one service whose callers differ in priority."""

    name: str
    level: AdmissionLevel
    counts_by_urgency: dict[int, ClassCounts]
    parts: FairParts = field(default_factory=FairParts)
    calls: int = 0
    urgent_elsewhere: int | None = None
    logged: tuple[bool, int | None] = (False, None)
    logged_at: float = float("-inf")


class UrgentCall:
    """One call of a service whose callers differ in priority."""

    __slots__ = (
        "_counts",
        "_is_running",
        "_is_waiting",
        "_length",
        "_part",
        "_since",
        "_waits_since",
        "admitted",
        "kind",
        "left_s",
        "service",
        "turn",
        "urgency",
    )

    def __init__(
        self,
        part: UrgentFirst,
        service: UrgentService,
        counts: ClassCounts,
        admitted: AdmittedCall,
        urgency: int,
    ) -> None:
        self._part = part
        self._counts = counts
        self._is_waiting = False
        self._is_running = False
        self._since = 0.0
        # When the call first waited for a slot; it may do so again after a server has failed.
        self._waits_since: float | None = None
        self.admitted = admitted
        self.service = service
        self.urgency = urgency
        self.kind = admitted.route.name
        facts = admitted.facts
        left_ms = facts.program_deadline_ms
        self.left_s = left_ms / 1000 if left_ms is not None else None
        self._length = sum(part.tokens for part in facts.parts) or len(admitted.request.body)
        self.turn = part.slack.turn_of(
            self.kind, facts.program_id, admitted.starts_program, self._length
        )
        if admitted.org_id is not None:
            now = part.state.monotonic()
            service.parts.seen(admitted.org_id, _weight(admitted), now)

    def tier(self, slack_s: float | None) -> UrgentTier:
        """Return the tier of the call."""
        prospect = Prospect.IN_TIME
        if self._part.slack.is_endless(self.kind, self.turn):
            prospect = Prospect.ENDLESS
        elif slack_s is not None and slack_s < 0.0:
            prospect = Prospect.LATE
        return UrgentTier(self.urgency, prospect, self.admitted.starts_program)

    def slack_s(self) -> float | None:
        """Return the time that the program has to spare; None if it is not known."""
        return self._part.slack_s(self, self._part.state.monotonic())

    def refuse_start(self) -> Refusal | None:
        """Return the refusal of a program that must not start now; None if it may."""
        if not self.admitted.starts_program:
            return None
        refused = self._part.refuse_start(self, self._part.state.monotonic())
        if refused is None:
            return None
        return Refusal(
            RefusalCode.OVERLOADED,
            f"programs of this urgency do not start now ({refused.reason})",
            Execution.NOT_RUN,
            bounded_retry_ms(refused.retry_s),
        )

    def on_wait(self) -> None:
        """Record that the call starts to wait for a slot."""
        now = self._part.state.monotonic()
        self._part.step(self.service, now)
        self._leave()
        self._since = now
        if self._waits_since is None:
            self._waits_since = now
            self._part.slack.arrived(
                self.kind,
                self.admitted.facts.program_id,
                self.turn,
                self._length,
                self.left_s,
                now,
            )
        self._is_waiting = True
        self._counts.waiting += 1
        self.service.parts.began(self.admitted.org_id or "")

    def on_slot(self) -> None:
        """Record that the waiting call got a slot."""
        now = self._part.state.monotonic()
        wait_s = now - self._since
        self._leave()
        self._since = now
        self._is_running = True
        self._counts.running += 1
        self.service.parts.began(self.admitted.org_id or "")
        if wait_s >= MIN_TIMED_WAIT_S:
            labels = (("urgency", str(self.urgency)),)
            self._part.state.metrics.timing("relay.slot_wait_ms", wait_s * 1000, labels)

    def on_answered(self) -> None:
        """Record that the call was answered in full."""
        now = self._part.state.monotonic()
        taken_s = now - self._waits_since
        self._counts.add(taken_s, now)
        self._part.slack.ended(self.kind, self.admitted.facts.program_id, taken_s, now)

    def on_left(self) -> None:
        """Record that the call neither waits nor holds a slot, however that ended."""
        if self._is_waiting:
            # Without the calls that gave up, a class that gets no slots would look served.
            now = self._part.state.monotonic()
            self._counts.add(now - self._waits_since, now)
        self._leave()

    def _leave(self) -> None:
        if self._is_waiting:
            self._counts.waiting -= 1
        if self._is_running:
            self._counts.running -= 1
        if self._is_waiting or self._is_running:
            self.service.parts.ended(self.admitted.org_id or "")
        self._is_waiting = self._is_running = False


def _weight(call: AdmittedCall) -> float:
    """Return an organisation's part relative to others: its rate, where it has one."""
    rate = call.organisation.rate if call.organisation is not None else None
    return rate.per_second if rate is not None else 1.0
