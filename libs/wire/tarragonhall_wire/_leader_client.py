"""Client of a replicated group that finds its leader and follows leader changes."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
import structlog
from tarragonhall_model import (
    Busy,
    LinkError,
    NotLeader,
    Propose,
    Proposed,
    TarragonhallError,
    new_id,
)

from tarragonhall_wire._context import ProcessContext
from tarragonhall_wire._link import Link

log = structlog.get_logger(__name__)

# An unresponsive member must not use up the whole timeout of a request: the next one is tried. An
# election takes about this long, so a heartbeat finds the next leader before its lease ends.
ATTEMPT_SECONDS = 1.0
RETRY_SECONDS = 0.05
# A machine without power closes no connection; it can be detected only by a timeout. The first
# attempt waits for a few commits, so that by then the next leader is being elected; each further
# attempt waits twice as long, for a slow leader. With 1 s for each attempt, turns that start as
# their leader loses power are refused, although another one leads after 0.5 s.
FIRST_ATTEMPT_SECONDS = 0.3
# How long a member that did not answer is tried only after all others, unless it has a new link.
AVOID_SECONDS = 1.0


class UnavailableError(TarragonhallError):
    """No leader answered in time; whether the command takes effect is unknown."""


@dataclass(slots=True, frozen=True)
class TimedReply:
    """A reply, and the monotonic time in seconds at which its request was sent."""

    reply: object
    sent_at: float


@dataclass(slots=True, frozen=True)
class ReachableMember:
    """A group member with an open link."""

    address: str
    link: Link


@dataclass(slots=True, frozen=True)
class UnansweredLink:
    """A link on which a member did not answer; the member is avoided until then (monotonic)."""

    link: Link
    until: float


class LeaderClient:
    """Sends requests to the leader of one group; `addresses` returns its members' addresses."""

    __slots__ = ("_addresses", "_context", "_leader", "_next_index", "_unanswered_by_address")

    def __init__(self, context: ProcessContext, addresses: Callable[[], list[str]]) -> None:
        self._context = context
        self._addresses = addresses
        self._leader: str | None = None
        self._next_index = 0
        self._unanswered_by_address: dict[str, UnansweredLink] = {}

    def propose(self, body: object, timeout_s: float, request_id: str | None = None) -> object:
        """Commit a command and return its result.

        The request id is the same for every resend, so that a command whose reply was lost takes
        effect once.
        """
        request_id = request_id or new_id("req", self._context.rng)
        reply = self.request(Propose(request_id, body), timeout_s)
        if not isinstance(reply, Proposed):
            raise UnavailableError(f"unexpected reply {type(reply).__name__}")
        return reply.result

    def request(self, message: object, timeout_s: float) -> object:
        """Send a request to the leader with retries; raise `UnavailableError` on timeout."""
        return self.request_timed(message, timeout_s).reply

    def request_timed(self, message: object, timeout_s: float) -> TimedReply:
        """Like `request`; also return when the request that was answered was sent."""
        deadline = self._context.monotonic() + timeout_s
        attempt_timeout_s = FIRST_ATTEMPT_SECONDS
        while True:
            remaining_s = deadline - self._context.monotonic()
            if remaining_s <= 0:
                raise UnavailableError("no leader answered in time")
            member = self._choose_member()
            if member is None:
                eventlet.sleep(RETRY_SECONDS)
                continue
            sent_at = self._context.monotonic()
            try:
                reply = member.link.request(message, min(remaining_s, attempt_timeout_s))
            except LinkError as error:
                log.info("leader.unanswered", address=member.address, error=str(error))
                attempt_timeout_s = min(ATTEMPT_SECONDS, 2 * attempt_timeout_s)
                self._avoid(member)
                eventlet.sleep(RETRY_SECONDS)
                continue
            self._unanswered_by_address.pop(member.address, None)
            match reply:
                case NotLeader(leader=leader):
                    # Members keep naming a dead leader until the next one is elected.
                    self._leader = None if self._is_avoided(leader) else leader
                    eventlet.sleep(RETRY_SECONDS)
                case Busy(retry_after_ms=delay_ms):
                    eventlet.sleep(min(remaining_s, delay_ms / 1000))
                case _:
                    self._leader = member.address
                    return TimedReply(reply, sent_at)

    def _choose_member(self) -> ReachableMember | None:
        """Return the leader, or the next reachable member.

        A member that is down must not delay a request: while it is redialled, the others are tried.
        They are dialled only if no leader is known, because idle links cost heartbeats: 25 entries
        with a link to each of ten members held 225 links that carried nothing else.
        """
        if self._leader is not None:
            # The leader may have joined the group after the addresses were last updated.
            with contextlib.suppress(LinkError):
                return ReachableMember(self._leader, self._context.hub.link_to(self._leader))
        members = []
        for address in self._addresses():
            with contextlib.suppress(LinkError):
                members.append(ReachableMember(address, self._context.hub.link_to(address)))
        if not members:
            return None
        preferred = [member for member in members if not self._is_avoided(member.address)]
        self._next_index += 1
        return (preferred or members)[self._next_index % len(preferred or members)]

    def _avoid(self, member: ReachableMember) -> None:
        self._leader = None
        until = self._context.monotonic() + AVOID_SECONDS
        self._unanswered_by_address[member.address] = UnansweredLink(member.link, until)

    def _is_avoided(self, address: str | None) -> bool:
        unanswered = self._unanswered_by_address.get(address or "")
        if unanswered is None or self._context.monotonic() >= unanswered.until:
            return False
        try:
            return self._context.hub.link_to(address) is unanswered.link
        except LinkError:
            # Not reachable at all: the failure of before still holds.
            return True
