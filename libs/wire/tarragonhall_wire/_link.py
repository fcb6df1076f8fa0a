"""An authenticated connection to a peer that carries requests, replies and one-way messages."""

from __future__ import annotations

import collections
import contextlib
import itertools
import time
from collections.abc import Callable

import cbor2
import eventlet
import structlog
from eventlet.event import Event
from tarragonhall_model import (
    CodecError,
    LinkClosedError,
    LinkError,
    LinkOverloadedError,
    QueryTimeline,
    RequestTimeoutError,
    TarragonhallError,
    from_plain,
    to_plain,
)

from tarragonhall_wire._guard import UNEXPECTED, report_failure
from tarragonhall_wire._handshake import Peer
from tarragonhall_wire._timeline import HybridClock
from tarragonhall_wire._traffic import Traffic, message_kind

log = structlog.get_logger(__name__)

# At this interval an idle link costs about 2 x 60 bytes per second in each direction.
HEARTBEAT_SECONDS = 1.0
# Three lost heartbeats. A firewall that has dropped the connection's state discards packets without
# a reset, and the kernel would keep retransmitting for minutes.
RECEIVE_TIMEOUT_SECONDS = 3.5
SEND_QUEUE_MESSAGES = 10_000
# The request of a probe, which every process answers at once, those of earlier releases included.
PROBE = QueryTimeline(limit=0)
# Nobody waits for the reply to a request with this correlation.
PROBE_CORRELATION = 0

ONE_WAY, REQUEST, REPLY, FAILURE, PING = range(5)

# The first byte of an array of five items in CBOR.
ENVELOPE_HEAD = b"\x85"

Handler = Callable[["Link", object], object]


class _LastEncoded:
    """The encoding of the message that was sent last.

    The same message often goes to many links in a row, to all followers of a member for example.
    """

    __slots__ = ("_data", "_kind", "_message")

    def __init__(self) -> None:
        self._message: object = None
        self._data = b""
        self._kind = ""

    def encode(self, message: object) -> tuple[bytes, str]:
        """Return the encoding of a message, which must not change any more, and its kind."""
        if message is not self._message:
            plain = to_plain(message)
            self._data, self._kind = cbor2.dumps(plain), message_kind(plain)
            self._message = message
        return self._data, self._kind


_last_encoded = _LastEncoded()


class Link:
    """One connection. Messages stay in order in each direction; a closed link never reopens."""

    __slots__ = (
        "_clock",
        "_correlations",
        "_handler",
        "_last_message",
        "_last_received",
        "_last_sent",
        "_pending",
        "_send_queue",
        "_socket",
        "_traffic",
        "_unanswered_since",
        "_wake",
        "_writer_waits",
        "closed",
        "opened_at",
        "peer",
        "received_bytes",
        "sent_bytes",
    )

    def __init__(
        self,
        socket,
        peer: Peer,
        handler: Handler,
        clock: HybridClock,
        traffic: Traffic | None = None,
    ) -> None:
        self._socket = socket
        self._traffic = traffic or Traffic()
        self._handler = handler
        self._clock = clock
        self._correlations = itertools.count(1)
        self._pending: dict[int, Event] = {}
        self._send_queue: collections.deque[bytes] = collections.deque()
        self._wake = eventlet.semaphore.Semaphore(0)
        self._writer_waits = False
        self._last_received = self._last_sent = self.opened_at = time.monotonic()
        self._last_message = self.opened_at
        # When the first message was sent since the peer last sent one; heartbeats do not count.
        self._unanswered_since: float | None = None
        self.peer = peer
        self.closed = False
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, message: object) -> None:
        """Queue a one-way message; whether it arrives is unknown."""
        self._enqueue_message(ONE_WAY, 0, message)

    def request(self, message: object, timeout_s: float) -> object:
        """Send a request and wait for the reply."""
        correlation = next(self._correlations)
        waiter = Event()
        self._pending[correlation] = waiter
        try:
            self._enqueue_message(REQUEST, correlation, message)
            with eventlet.Timeout(timeout_s, False):
                return waiter.wait()
            raise RequestTimeoutError(f"{self.peer.instance}: no reply in {timeout_s} s")
        finally:
            self._pending.pop(correlation, None)

    def close(self) -> None:
        """Close the link; all pending requests fail with `LinkClosedError`."""
        if self.closed:
            return
        self.closed = True
        self._wake_writer()
        for waiter in list(self._pending.values()):
            if not waiter.ready():
                waiter.send_exception(LinkClosedError(f"link to {self.peer.instance} closed"))
        self._pending.clear()
        eventlet.spawn_n(self._socket.close)

    def run(self) -> None:
        """Read until the link closes. Call once, in a green thread of its own."""
        eventlet.spawn_n(self._write_loop)
        try:
            self._read_loop()
        except LinkClosedError:
            log.debug("link.ended", peer=self.peer.instance)
        except (CodecError, LinkError) as error:
            log.warning("link.undecodable", peer=self.peer.instance, error=str(error))
        except UNEXPECTED:
            report_failure("Link.run")
        finally:
            self.close()

    def _enqueue_message(self, kind: int, correlation: int, message: object) -> None:
        self._check_open()
        if self._unanswered_since is None and kind in (ONE_WAY, REQUEST):
            self._unanswered_since = time.monotonic()
        encoded, name = _last_encoded.encode(message)
        stamp = self._clock.now()
        head = cbor2.dumps([kind, correlation, stamp.wall_ms, stamp.counter])
        self._queue_data(b"".join((ENVELOPE_HEAD, head[1:], encoded)), name)

    def unanswered_s(self, now: float) -> float:
        """Return for how many seconds messages were sent and none has arrived; 0 if closed.

        The peer's heartbeats do not count as messages: they arrive as well where only the packets
        to the peer are lost.
        """
        if self.closed or self._unanswered_since is None:
            return 0.0
        return now - self._unanswered_since

    def has_message_since(self, then: float) -> bool:
        """Return whether the peer has sent a message since a monotonic time."""
        return self._last_message >= then

    def send_probe(self) -> None:
        """Ask the peer for a sign that it receives; it comes as a message."""
        with contextlib.suppress(LinkError):
            self._enqueue_message(REQUEST, PROBE_CORRELATION, PROBE)

    def send_heartbeat(self, now: float) -> None:
        """Ping a peer to which nothing was sent lately, and close a link that is silent.

        To be called every `HEARTBEAT_SECONDS` with the monotonic time.
        """
        if self.closed:
            return
        if now - self._last_received > RECEIVE_TIMEOUT_SECONDS:
            silent_s = round(now - self._last_received, 3)
            log.warning("link.silent", peer=self.peer.instance, silent_s=silent_s)
            self.close()
            return
        if now - self._last_sent < HEARTBEAT_SECONDS / 2:
            # A message sent recently serves as a heartbeat.
            return
        try:
            self._enqueue(PING, 0, None)
        except LinkOverloadedError:
            return

    def _enqueue(self, kind: int, correlation: int, plain: object) -> None:
        self._check_open()
        stamp = self._clock.now()
        data = cbor2.dumps([kind, correlation, stamp.wall_ms, stamp.counter, plain])
        self._queue_data(data, message_kind(plain))

    def _check_open(self) -> None:
        if self.closed:
            raise LinkClosedError(f"link to {self.peer.instance} is closed")
        if len(self._send_queue) >= SEND_QUEUE_MESSAGES:
            raise LinkOverloadedError(f"send queue to {self.peer.instance} is full")

    def _queue_data(self, data: bytes, kind: str) -> None:
        self._traffic.count(kind, len(data), self.peer.availability_zone)
        self._send_queue.append(data)
        self._last_sent = time.monotonic()
        self._wake_writer()

    def _write_loop(self) -> None:
        try:
            while not self.closed:
                if not self._send_queue:
                    self._writer_waits = True
                    self._wake.acquire()
                    continue
                # All queued messages go into one write: under load most of the cost is per write.
                messages = list(self._send_queue)
                self._send_queue.clear()
                self._socket.send(*messages)
                self.sent_bytes += sum(len(data) for data in messages)
        except LinkClosedError as error:
            log.debug("link.unwritable", peer=self.peer.instance, error=str(error))
        except UNEXPECTED:
            report_failure("Link._write_loop")
        finally:
            self.close()

    def _wake_writer(self) -> None:
        if self._writer_waits:
            self._writer_waits = False
            self._wake.release()

    def _read_loop(self) -> None:
        while not self.closed:
            data = self._socket.recv()
            self._last_received = time.monotonic()
            self.received_bytes += len(data)
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        try:
            kind, correlation, wall_ms, counter, plain = cbor2.loads(data)
        except (cbor2.CBORDecodeError, ValueError, TypeError, EOFError) as error:
            raise CodecError(f"bad envelope: {error}") from error
        # A time of another type would make every later message of this process fail.
        if type(wall_ms) is not int or type(counter) is not int or type(correlation) is not int:
            raise CodecError("bad envelope: fields of another type")
        self._clock.observe(wall_ms, counter)
        if kind == PING:
            return
        self._unanswered_since = None
        self._last_message = self._last_received
        if kind in (REPLY, FAILURE):
            self._resolve(kind, correlation, plain)
            return
        message = from_plain(plain)
        if kind == REQUEST:
            eventlet.spawn_n(self._reply, correlation, message)
            return
        self._handle_one_way(message)

    def _handle_one_way(self, message: object) -> None:
        # Handled in this thread to keep one-way messages in order; handlers must not block.
        try:
            self._handler(self, message)
        except TarragonhallError as error:
            log.warning("link.message_failed", kind=type(message).__name__, error=str(error))
        except UNEXPECTED:
            # Lost like one that did not arrive, which senders must bear anyway.
            report_failure("Link._handle_one_way", type(message).__name__)

    def _resolve(self, kind: int, correlation: int, plain: object) -> None:
        waiter = self._pending.get(correlation)
        if waiter is None or waiter.ready():
            return
        if kind == FAILURE:
            waiter.send_exception(LinkClosedError(f"{self.peer.instance}: {plain}"))
            return
        waiter.send(from_plain(plain))

    def _reply(self, correlation: int, message: object) -> None:
        try:
            reply = self._handler(self, message)
            self._enqueue_message(REPLY, correlation, reply)
        except LinkClosedError:
            return
        except UNEXPECTED as error:
            # The peer must not wait for its timeout.
            log.exception("link.request_failed", kind=type(message).__name__)
            self._reply_failure(correlation, f"{type(error).__name__}: {error}")

    def _reply_failure(self, correlation: int, text: str) -> None:
        try:
            self._enqueue(FAILURE, correlation, text)
        except (LinkClosedError, LinkOverloadedError):
            return
