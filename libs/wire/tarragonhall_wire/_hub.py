"""All links of one process: its listener, the peers it dials, and which handler gets what."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet
import structlog
from tarragonhall_model import LinkClosedError, LinkError, QueryTimeline

from tarragonhall_wire._handshake import HandshakeError, Peer, answer_greeting, greet
from tarragonhall_wire._link import Link
from tarragonhall_wire._timeline import Timeline
from tarragonhall_wire._traffic import Traffic
from tarragonhall_wire._websocket import WebSocket, accept, connect

log = structlog.get_logger(__name__)

BACKLOG = 1_024
# For the connection, the opening of the WebSocket and the mutual proof together.
OPEN_TIMEOUT_SECONDS = 2.0
# Out of file descriptors, for example: the loop goes on once some are free again.
ACCEPT_PAUSE_SECONDS = 0.1
# A machine without power answers nothing. Its kernel repeats the first packet after a second only,
# so a dial that began before the power came back would wait longer than one begun anew.
CONNECT_TIMEOUT_SECONDS = 0.5
RECONNECT_MIN_SECONDS = 0.1
# After every process was killed, whoever dialled too early dials again within this, and elections
# wait for it.
RECONNECT_MAX_SECONDS = 0.5


class Hub:
    """The links of one process.

    Handlers are registered by message class. `link_to` returns the link to an address and keeps it
    dialled from then on; `forget` ends that. Where the peer has dialled already its link is used:
    two links between each two processes would be twice the heartbeats, and a process that came back
    is reached as soon as it has dialled, not when the pause before the next dial is over.
    """

    __slots__ = (
        "_accepted_by_address",
        "_acceptor",
        "_dialled_by_address",
        "_handler_by_class",
        "_listener",
        "_on_down",
        "_on_up",
        "_rng",
        "_secret",
        "_stopped",
        "_wanted",
        "accepted",
        "me",
        "timeline",
        "traffic",
    )

    def __init__(
        self,
        me: Peer,
        secret: bytes,
        timeline: Timeline,
        rng: random.Random,
        traffic: Traffic | None = None,
    ) -> None:
        self.me = me
        self.timeline = timeline
        self.traffic = traffic or Traffic()
        self.accepted: list[Link] = []
        # The newest of each peer: an earlier life of it may have left one half open.
        self._accepted_by_address: dict[str, Link] = {}
        self._secret = secret
        self._rng = rng
        self._handler_by_class: dict[type, Callable[[Link, object], object]] = {}
        self._on_down: list[Callable[[Link], None]] = []
        self._on_up: list[Callable[[Link], None]] = []
        self._dialled_by_address: dict[str, Link] = {}
        self._wanted: set[str] = set()
        self._listener = None
        self._acceptor = None
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

    def on_up(self, callback: Callable[[Link], None]) -> None:
        """Call back with each link that opens, before its first message."""
        self._on_up.append(callback)

    def on_down(self, callback: Callable[[Link], None]) -> None:
        """Call back with each link that closes."""
        self._on_down.append(callback)

    def listen(self, address: str) -> None:
        """Accept links on `host:port`."""
        self._listener = eventlet.listen(split_address(address), backlog=BACKLOG, reuse_port=False)
        self._acceptor = eventlet.spawn(self._accept_loop)

    @property
    def port(self) -> int:
        """Return the port listened on, for an address whose port was 0."""
        return self._listener.getsockname()[1]

    def link_to(self, address: str) -> Link:
        """Return the open link to an address, or raise `LinkClosedError` while there is none."""
        link = self._open_link(address)
        if link is not None:
            return link
        if address not in self._wanted:
            self._wanted.add(address)
            eventlet.spawn_n(self._dial_loop, address)
            eventlet.sleep(0)
            link = self._open_link(address)
        if link is None:
            raise LinkClosedError(f"no link to {address}")
        return link

    def _open_link(self, address: str) -> Link | None:
        """Return the link to an address that is open, whoever dialled it."""
        for by_address in (self._dialled_by_address, self._accepted_by_address):
            link = by_address.get(address)
            if link is not None and not link.closed:
                return link
        return None

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
        if self._acceptor is not None:
            # Ended before its socket is closed: the loop must not find a closed socket to wait on.
            self._acceptor.kill()
            self._listener.close()
        for link in self.links():
            link.close()

    def _dispatch(self, link: Link, message: object) -> object:
        handler = self._handler_by_class.get(type(message))
        if handler is None:
            raise LinkError(f"no handler for {type(message).__name__} in this process")
        return handler(link, message)

    def _accept_loop(self) -> None:
        while True:
            try:
                connection, _address = self._listener.accept()
            except OSError as error:
                log.warning("link.accept_failed", error=str(error))
                eventlet.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            eventlet.spawn_n(self._accept, connection)

    def _accept(self, connection) -> None:
        opened = None
        try:
            with eventlet.Timeout(OPEN_TIMEOUT_SECONDS, HandshakeError("too slow")):
                opened = accept(connection)
                peer = answer_greeting(opened.send, opened.recv, self._secret, self.me)
        except (LinkError, OSError, EOFError) as error:
            log.warning("link.refused", error=str(error))
            if opened is not None:
                opened.close()
            return
        link = Link(opened, peer, self._dispatch, self.timeline.clock, self.traffic)
        self.accepted.append(link)
        self._accepted_by_address[peer.address] = link
        self._run(link)
        self.accepted.remove(link)
        if self._accepted_by_address.get(peer.address) is link:
            del self._accepted_by_address[peer.address]

    def _run(self, link: Link) -> None:
        log.info("link.up", peer=link.peer.instance)
        for callback in self._on_up:
            callback(link)
        link.run()
        if not self._stopped:
            log.info("link.down", peer=link.peer.instance)
        for callback in self._on_down:
            callback(link)

    def _dial_loop(self, address: str) -> None:
        pause = RECONNECT_MIN_SECONDS
        while address in self._wanted and not self._stopped:
            if self._open_link(address) is not None:
                # The peer has dialled; whoever finds that link closed dials again.
                self._wanted.discard(address)
                return
            if self._dial_and_run(address):
                pause = RECONNECT_MIN_SECONDS
                continue
            # Jitter: after an instance returns, its peers must not all dial at once.
            eventlet.sleep(pause * self._rng.uniform(0.5, 1.5))
            pause = min(pause * 2, RECONNECT_MAX_SECONDS)

    def _dial_and_run(self, address: str) -> bool:
        """Open a link and read it until it closes; return whether it opened."""
        link = self._dial(address)
        if link is None:
            return False
        self._dialled_by_address[address] = link
        self._run(link)
        if self._dialled_by_address.get(address) is link:
            del self._dialled_by_address[address]
        return True

    def _dial(self, address: str) -> Link | None:
        opened: WebSocket | None = None
        try:
            with eventlet.Timeout(OPEN_TIMEOUT_SECONDS, HandshakeError("too slow")):
                opened = connect(split_address(address), CONNECT_TIMEOUT_SECONDS)
                peer = greet(opened.send, opened.recv, self._secret, self.me)
        except (LinkError, OSError, EOFError) as error:
            log.debug("link.dial_failed", address=address, error=str(error))
            if opened is not None:
                opened.close()
            return None
        return Link(opened, peer, self._dispatch, self.timeline.clock, self.traffic)


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
