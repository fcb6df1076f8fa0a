"""Talks to whichever member of a group leads, wherever the lead goes."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
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

# One member that answers nothing must not use up the whole time of a request: the next is tried.
# An election takes about this long, so a heartbeat finds the next leader before its lease ends.
ATTEMPT_SECONDS = 1.0
RETRY_SECONDS = 0.05
# A machine without power closes no connection; only its silence tells. The first try waits for some
# commits, so that by then the next leader is being elected, and each further one twice as long, for
# a leader that is slow.
FIRST_ATTEMPT_SECONDS = 0.3
# For how long a member that did not answer is asked last.
AVOID_SECONDS = 1.0


class UnavailableError(TarragonhallError):
    """No control member led or answered in time; whether the command takes effect is unknown."""


@dataclass(slots=True, frozen=True)
class TimedReply:
    """A reply, and when the request it answers was sent, in monotonic seconds."""

    reply: object
    sent_at: float


@dataclass(slots=True, frozen=True)
class OpenMember:
    """A control member to which a link is open."""

    address: str
    link: Link


class LeaderClient:
    """Asks the leader of one group; `addresses` returns where its members may be reached."""

    __slots__ = ("_addresses", "_avoid_until_by_address", "_context", "_leader", "_next")

    def __init__(self, context: ProcessContext, addresses: Callable[[], list[str]]) -> None:
        self._context = context
        self._addresses = addresses
        self._leader: str | None = None
        self._next = 0
        self._avoid_until_by_address: dict[str, float] = {}

    def propose(self, body: object, timeout_s: float, request_id: str | None = None) -> object:
        """Commit a command and return its result.

        The request id stays the same over every resend, so that a command whose reply was lost
        takes effect once.
        """
        request_id = request_id or new_id("req", self._context.rng)
        reply = self.ask(Propose(request_id, body), timeout_s)
        if not isinstance(reply, Proposed):
            raise UnavailableError(f"unexpected reply {type(reply).__name__}")
        return reply.result

    def ask(self, message: object, timeout_s: float) -> object:
        """Send a request to the leader until it is answered, or raise `UnavailableError`."""
        return self.ask_timed(message, timeout_s).reply

    def ask_timed(self, message: object, timeout_s: float) -> TimedReply:
        """Like `ask`, with the instant at which the request that was answered had been sent."""
        deadline = self._context.monotonic() + timeout_s
        patience_s = FIRST_ATTEMPT_SECONDS
        while True:
            left = deadline - self._context.monotonic()
            if left <= 0:
                raise UnavailableError("no control member answered in time")
            member = self._choose_member()
            if member is None:
                eventlet.sleep(RETRY_SECONDS)
                continue
            sent_at = self._context.monotonic()
            try:
                reply = member.link.request(message, min(left, patience_s))
            except LinkError:
                patience_s = min(ATTEMPT_SECONDS, 2 * patience_s)
                self._avoid(member.address)
                eventlet.sleep(RETRY_SECONDS)
                continue
            self._avoid_until_by_address.pop(member.address, None)
            match reply:
                case NotLeader(leader=leader):
                    # Members go on naming a dead leader until the next one is elected.
                    self._leader = None if self._is_avoided(leader) else leader
                    eventlet.sleep(RETRY_SECONDS)
                case Busy(retry_after_ms=pause_ms):
                    eventlet.sleep(min(left, pause_ms / 1000))
                case _:
                    self._leader = member.address
                    return TimedReply(reply, sent_at)

    def _choose_member(self) -> OpenMember | None:
        """Return the leader, or the next member that can be reached at all.

        A member that is down must not hold a request up: while it is dialled again, the others are
        asked. They are dialled only once no leader is known: links that carry nothing cost
        heartbeats.
        """
        if self._leader is not None:
            # It may be a member that joined after the addresses were learnt.
            with contextlib.suppress(LinkError):
                return OpenMember(self._leader, self._context.hub.link_to(self._leader))
        members = []
        for address in self._addresses():
            with contextlib.suppress(LinkError):
                members.append(OpenMember(address, self._context.hub.link_to(address)))
        if not members:
            return None
        heard = [one for one in members if not self._is_avoided(one.address)]
        self._next += 1
        return (heard or members)[self._next % len(heard or members)]

    def _avoid(self, address: str) -> None:
        self._leader = None
        self._avoid_until_by_address[address] = self._context.monotonic() + AVOID_SECONDS

    def _is_avoided(self, address: str | None) -> bool:
        until = self._avoid_until_by_address.get(address or "")
        return until is not None and self._context.monotonic() < until
