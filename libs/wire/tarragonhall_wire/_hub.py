"""All links of one process: its listener, the peers it dials, and which handler gets what."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet
import structlog
from tarragonhall_model import LinkClosedError, LinkError, QueryTimeline
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.server import serve

from tarragonhall_wire._handshake import HandshakeError, Peer, answer_greeting, greet
from tarragonhall_wire._link import Link
from tarragonhall_wire._timeline import Timeline

log = structlog.get_logger(__name__)

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
OPEN_TIMEOUT_SECONDS = 2.0
HANDSHAKE_TIMEOUT_SECONDS = 2.0
RECONNECT_MIN_SECONDS = 0.1
RECONNECT_MAX_SECONDS = 2.0


class Hub:
    """The links of one process.

    Handlers are registered by message class. `link_to` returns the link dialled to an address and
    keeps it dialled from then on; `forget` ends that.
    """

    __slots__ = (
        "_dialled_by_address",
        "_handler_by_class",
        "_listeners",
        "_on_down",
        "_rng",
        "_secret",
        "_server",
        "_stopped",
        "_wanted",
        "accepted",
        "me",
        "timeline",
    )

    def __init__(self, me: Peer, secret: bytes, timeline: Timeline, rng: random.Random) -> None:
        self.me = me
        self.timeline = timeline
        self.accepted: list[Link] = []
        self._secret = secret
        self._rng = rng
        self._handler_by_class: dict[type, Callable[[Link, object], object]] = {}
        self._on_down: list[Callable[[Link], None]] = []
        self._dialled_by_address: dict[str, Link] = {}
        self._wanted: set[str] = set()
        self._server = None
        self._stopped = False
        self.handle(QueryTimeline, lambda _link, query: timeline.find(query))

    def handle(self, message_class: type, handler: Callable[[Link, object], object]) -> None:
        """Register the one handler for a class of messages.

        A handler of requests runs in a green thread of its own and returns the reply. A handler of
        one-way messages runs in the reader's thread, in order, and must not block.
        """
        if message_class in self._handler_by_class:
            raise ValueError(f"{message_class.__name__} already has a handler")
        self._handler_by_class[message_class] = handler

    def on_down(self, callback: Callable[[Link], None]) -> None:
        """Call back with each link that closes."""
        self._on_down.append(callback)

    def listen(self, address: str) -> None:
        """Accept links on `host:port`."""
        host, port = split_address(address)
        self._server = serve(
            self._accept,
            host,
            port,
            compression=None,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=OPEN_TIMEOUT_SECONDS,
            close_timeout=1,
        )
        eventlet.spawn_n(self._server.serve_forever)

    def link_to(self, address: str) -> Link:
        """Return the open link to an address, or raise `LinkClosedError` while there is none."""
        if address not in self._wanted:
            self._wanted.add(address)
            eventlet.spawn_n(self._dial_loop, address)
            eventlet.sleep(0)
        link = self._dialled_by_address.get(address)
        if link is None or link.closed:
            raise LinkClosedError(f"no link to {address}")
        return link

    def wait_for(self, address: str, timeout_s: float) -> Link:
        """Return the link to an address, waiting for it to open."""
        with eventlet.Timeout(timeout_s, False):
            while True:
                try:
                    return self.link_to(address)
                except LinkClosedError:
                    eventlet.sleep(0.01)
        raise LinkClosedError(f"no link to {address} within {timeout_s} s")

    def forget(self, address: str) -> None:
        """Close the link to an address and stop dialling it."""
        self._wanted.discard(address)
        link = self._dialled_by_address.pop(address, None)
        if link is not None:
            link.close()

    def links(self) -> list[Link]:
        """Return every open link, dialled or accepted."""
        dialled = list(self._dialled_by_address.values())
        return [link for link in dialled + self.accepted if not link.closed]

    def stop(self) -> None:
        """Close the listener and every link."""
        self._stopped = True
        self._wanted.clear()
        if self._server is not None:
            self._server.shutdown()
        for link in self.links():
            link.close()

    def _dispatch(self, link: Link, message: object) -> object:
        handler = self._handler_by_class.get(type(message))
        if handler is None:
            raise LinkError(f"no handler for {type(message).__name__} in this process")
        return handler(link, message)

    def _accept(self, socket) -> None:
        try:
            with eventlet.Timeout(HANDSHAKE_TIMEOUT_SECONDS, HandshakeError("too slow")):
                peer = answer_greeting(socket.send, socket.recv, self._secret, self.me)
        except (HandshakeError, WebSocketException, OSError) as error:
            log.warning("link.refused", error=str(error))
            return
        link = Link(socket, peer, self._dispatch, self.timeline.clock)
        self.accepted.append(link)
        self._run(link)
        self.accepted.remove(link)

    def _run(self, link: Link) -> None:
        log.info("link.up", peer=link.peer.instance)
        link.run()
        if not self._stopped:
            log.info("link.down", peer=link.peer.instance)
        for callback in self._on_down:
            callback(link)

    def _dial_loop(self, address: str) -> None:
        pause = RECONNECT_MIN_SECONDS
        while address in self._wanted and not self._stopped:
            link = self._dial(address)
            if link is None:
                # Jitter: after an instance returns, its peers must not all dial at once.
                eventlet.sleep(pause * self._rng.uniform(0.5, 1.5))
                pause = min(pause * 2, RECONNECT_MAX_SECONDS)
                continue
            pause = RECONNECT_MIN_SECONDS
            self._dialled_by_address[address] = link
            self._run(link)
            if self._dialled_by_address.get(address) is link:
                del self._dialled_by_address[address]

    def _dial(self, address: str) -> Link | None:
        socket = None
        try:
            socket = connect(
                f"ws://{address}/",
                compression=None,
                ping_interval=None,
                proxy=None,
                max_size=MAX_MESSAGE_BYTES,
                open_timeout=OPEN_TIMEOUT_SECONDS,
                close_timeout=1,
            )
            with eventlet.Timeout(HANDSHAKE_TIMEOUT_SECONDS, HandshakeError("too slow")):
                peer = greet(socket.send, socket.recv, self._secret, self.me)
        except (HandshakeError, WebSocketException, OSError, EOFError) as error:
            log.debug("link.dial_failed", address=address, error=str(error))
            if socket is not None:
                socket.close()
            return None
        return Link(socket, peer, self._dispatch, self.timeline.clock)


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
