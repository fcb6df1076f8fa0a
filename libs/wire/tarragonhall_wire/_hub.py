"""All links of one process: accepts and dials them, and dispatches messages to handlers."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import replace

import eventlet
import structlog
from tarragonhall_decisions import peer_room_limits_for
from tarragonhall_model import LinkClosedError, LinkError, QueryTimeline, TimelineEvents

from tarragonhall_wire._guard import attempt, repeat
from tarragonhall_wire._handshake import HandshakeError, Peer, client_handshake, server_handshake
from tarragonhall_wire._inbound import Inbound, InboundClient, NoRoomError
from tarragonhall_wire._link import HEARTBEAT_SECONDS, Link
from tarragonhall_wire._problems import Problems
from tarragonhall_wire._timeline import Timeline
from tarragonhall_wire._traffic import Traffic
from tarragonhall_wire._websocket import WebSocket, accept, connect

log = structlog.get_logger(__name__)

BACKLOG = 1_024
# For the TCP connection, the WebSocket handshake and the mutual authentication together.
OPEN_TIMEOUT_SECONDS = 2.0
# Delay after a failed accept, for example when out of file descriptors, before the next one.
ACCEPT_PAUSE_SECONDS = 0.1
# A machine without power does not answer. The dialling kernel resends the first packet only after
# one second, so after power returns a new dial succeeds sooner than one already waiting.
CONNECT_TIMEOUT_SECONDS = 0.5
RECONNECT_MIN_SECONDS = 0.1
# After all processes were killed, those that dialled too early dial again within this time, and
# elections wait for it: with 2 s a leader was elected up to 1 s after its voters had started.
RECONNECT_MAX_SECONDS = 0.5
# Links are checked this many times in each interval of heartbeats.
CHECKS_PER_HEARTBEAT = 4
# A link on which messages are unanswered for this long is probed. Most messages are answered within
# milliseconds, and a change of settings must pass within seconds of a fault of the network.
UNANSWERED_SECONDS = 0.5
# Several round trips between distant regions. A link whose probe is unanswered for longer is
# replaced if the peer answers on a new connection, and all other links are probed: the same fault
# of the network may have hit them.
PROBE_SECONDS = 0.2
PROBE_ALL_INTERVAL_SECONDS = 1.0


class Hub:
    """The links of one process.

    Handlers are registered by message class. `link_to` returns the link to an address and redials
    it from then on until `disconnect`. If the peer has already dialled, its link is used: two links
    between two processes would double the heartbeats, and a restarted process is reachable as soon
    as it has dialled instead of after the delay before the next dial.

    An open connection can lose all packets without a reset while new ones work. Links on which
    messages stay unanswered are therefore replaced by new connections, long before their silence
    alone would close them.

    An unexpected exception costs one message, one link or one round of a loop, never the dialling
    of an address, the heartbeats of the other links, or a callback.
    """

    __slots__ = (
        "_accepted_by_address",
        "_acceptor",
        "_checks",
        "_dial_targets",
        "_dialled_by_address",
        "_handler_by_class",
        "_heartbeats_started",
        "_link_closed_callbacks",
        "_link_open_callbacks",
        "_listener",
        "_probed_all_at",
        "_probing",
        "_rng",
        "_secret",
        "_stopped",
        "_handshakes",
        "accepted",
        "local_peer",
        "problems",
        "timeline",
        "traffic",
    )

    def __init__(
        self,
        local_peer: Peer,
        secret: bytes,
        timeline: Timeline,
        rng: random.Random,
        traffic: Traffic | None = None,
        handshakes: Inbound | None = None,
    ) -> None:
        # Peers that have connected and are not authenticated yet.
        self._handshakes = handshakes or Inbound(peer_room_limits_for(0))
        self.local_peer = local_peer
        self.timeline = timeline
        self.problems = Problems()
        self.traffic = traffic or Traffic()
        self.accepted: list[Link] = []
        # The newest of each peer: its earlier incarnation may have left a half-open link.
        self._accepted_by_address: dict[str, Link] = {}
        self._secret = secret
        self._rng = rng
        self._handler_by_class: dict[type, Callable[[Link, object], object]] = {}
        self._link_closed_callbacks: list[Callable[[Link], None]] = []
        self._link_open_callbacks: list[Callable[[Link], None]] = []
        self._dialled_by_address: dict[str, Link] = {}
        self._dial_targets: set[str] = set()
        self._probing: set[Link] = set()
        self._probed_all_at = 0.0
        self._listener = None
        self._acceptor = None
        self._stopped = False
        self._heartbeats_started = False
        self._checks = 0
        self.handle(QueryTimeline, lambda _link, query: self._find_events(query))

    def handle(self, message_class: type, handler: Callable[[Link, object], object]) -> None:
        """Register the only handler for a message class.

        A request handler runs in a green thread of its own and returns the reply. A handler of
        one-way messages runs in the reader's thread, in order, and must not block.
        """
        if message_class in self._handler_by_class:
            raise ValueError(f"{message_class.__name__} already has a handler")
        self._handler_by_class[message_class] = handler

    def on_link_open(self, callback: Callable[[Link], None]) -> None:
        """Call `callback` with each link that opens, before its first message."""
        self._link_open_callbacks.append(callback)

    def on_link_closed(self, callback: Callable[[Link], None]) -> None:
        """Call `callback` with each link that closes."""
        self._link_closed_callbacks.append(callback)

    def listen(self, address: str) -> None:
        """Accept links on `host:port`."""
        self._listener = eventlet.listen(split_address(address), backlog=BACKLOG, reuse_port=False)
        self._acceptor = eventlet.spawn(repeat, self._accept_next, lambda: True)

    @property
    def port(self) -> int:
        """Return the port listened on, for an address whose port was 0."""
        return self._listener.getsockname()[1]

    def link_to(self, address: str) -> Link:
        """Return the open link to an address; raise `LinkClosedError` if there is none yet."""
        link = self._find_open_link(address)
        if link is not None:
            return link
        if address not in self._dial_targets:
            self._dial_targets.add(address)
            eventlet.spawn_n(self._dial_loop, address)
            eventlet.sleep(0)
            link = self._find_open_link(address)
        if link is None:
            raise LinkClosedError(f"no link to {address}")
        return link

    def _find_events(self, query: QueryTimeline) -> TimelineEvents:
        return replace(self.timeline.find(query), problems=self.problems.texts())

    def _find_open_link(self, address: str) -> Link | None:
        """Return the newest open link to an address, whichever end dialled it.

        A peer that has dialled again did so since the earlier link no longer works for it.
        """
        newest = None
        for by_address in (self._dialled_by_address, self._accepted_by_address):
            link = by_address.get(address)
            if link is None or link.closed:
                continue
            if newest is None or link.opened_at > newest.opened_at:
                newest = link
        return newest

    def wait_for_link(self, address: str, timeout_s: float) -> Link:
        """Return the link to an address, waiting for it to open."""
        with eventlet.Timeout(timeout_s, False):
            while True:
                try:
                    return self.link_to(address)
                except LinkClosedError:
                    eventlet.sleep(0.01)
        raise LinkClosedError(f"no link to {address} within {timeout_s} s")

    def disconnect(self, address: str) -> None:
        """Close the link to an address and stop dialling it."""
        self._dial_targets.discard(address)
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
        self._dial_targets.clear()
        if self._acceptor is not None:
            # Killed before its socket is closed: the loop must not wait on a closed socket.
            self._acceptor.kill()
            self._listener.close()
        for link in self.links():
            link.close()

    def _dispatch(self, link: Link, message: object) -> object:
        handler = self._handler_by_class.get(type(message))
        if handler is None:
            raise LinkError(f"no handler for {type(message).__name__} in this process")
        return handler(link, message)

    def _accept_next(self) -> None:
        try:
            connection, address = self._listener.accept()
        except OSError as error:
            log.warning("link.accept_failed", error=str(error))
            eventlet.sleep(ACCEPT_PAUSE_SECONDS)
            return
        try:
            client = self._handshakes.open(address[0])
        except NoRoomError:
            connection.close()
            return
        eventlet.spawn_n(self._accept, connection, client)
        # A flood of connections must not keep all others waiting.
        eventlet.sleep(0)

    def _accept(self, connection, client: InboundClient) -> None:
        websocket = None
        try:
            with eventlet.Timeout(OPEN_TIMEOUT_SECONDS, HandshakeError("handshake timed out")):
                websocket = accept(connection, client)
                peer = server_handshake(
                    websocket.send, websocket.recv, self._secret, self.local_peer
                )
        except (LinkError, NoRoomError, OSError, EOFError) as error:
            log.warning("link.refused", error=str(error))
            if websocket is not None:
                websocket.close()
            return
        finally:
            client.close()
        websocket.unauthenticated = None
        link = Link(websocket, peer, self._dispatch, self.timeline.clock, self.traffic)
        earlier = self._find_open_link(peer.address)
        self.accepted.append(link)
        self._accepted_by_address[peer.address] = link
        if earlier is not None:
            self._start_probe(earlier)
        try:
            self._run_link(link)
        finally:
            self.accepted.remove(link)
            if self._accepted_by_address.get(peer.address) is link:
                del self._accepted_by_address[peer.address]

    def _check_links(self) -> None:
        """Check all links and send their heartbeats: one loop, however many links there are."""
        eventlet.sleep(HEARTBEAT_SECONDS / CHECKS_PER_HEARTBEAT)
        self._checks += 1
        now = time.monotonic()
        links = self.links()
        if self._checks % CHECKS_PER_HEARTBEAT == 0:
            for link in links:
                attempt(link.send_heartbeat, now)
        for link in links:
            if link.unanswered_s(now) > UNANSWERED_SECONDS:
                self._start_probe(link)

    def _probe_all(self) -> None:
        """Probe every link, at most once in `PROBE_ALL_INTERVAL_SECONDS`."""
        now = time.monotonic()
        if now - self._probed_all_at < PROBE_ALL_INTERVAL_SECONDS:
            return
        self._probed_all_at = now
        for link in self.links():
            self._start_probe(link)

    def _start_probe(self, link: Link) -> None:
        if link in self._probing:
            return
        self._probing.add(link)
        eventlet.spawn_n(self._probe, link)

    def _probe(self, link: Link) -> None:
        """Probe a link, and replace it if its peer answers on another connection only."""
        try:
            replacement = self._dial_replacement(link)
        finally:
            self._probing.discard(link)
        if replacement is None:
            return
        log.warning("link.replaced", peer=link.peer.instance)
        self._dialled_by_address[link.peer.address] = replacement
        link.close()
        self._run_dialled(link.peer.address, replacement)

    def _dial_replacement(self, link: Link) -> Link | None:
        """Return a new link to the peer of a link whose probe is not answered, None otherwise."""
        probed_at = time.monotonic()
        link.send_probe()
        eventlet.sleep(PROBE_SECONDS)
        if not (link.closed or link.has_message_since(probed_at)):
            self._probe_all()
        while not (self._stopped or link.closed or link.has_message_since(probed_at)):
            if self._find_open_link(link.peer.address) is not link:
                # The peer has dialled meanwhile. Requests that wait on this link must not wait for
                # its silence to close it.
                link.close()
                return None
            replacement = self._dial(link.peer.address)
            if replacement is None:
                eventlet.sleep(RECONNECT_MIN_SECONDS)
                continue
            if not (link.closed or link.has_message_since(probed_at)):
                return replacement
            replacement.close()
        return None

    def _run_link(self, link: Link) -> None:
        if self._stopped:
            # The handshake was under way when the hub was stopped.
            link.close()
            return
        if not self._heartbeats_started:
            self._heartbeats_started = True
            eventlet.spawn_n(repeat, self._check_links, lambda: not self._stopped)
        log.info("link.up", peer=link.peer.instance)
        for callback in self._link_open_callbacks:
            attempt(callback, link)
        try:
            link.run()
        finally:
            if not self._stopped:
                log.info("link.down", peer=link.peer.instance)
            for callback in self._link_closed_callbacks:
                attempt(callback, link)

    def _dial_loop(self, address: str) -> None:
        delay_s = RECONNECT_MIN_SECONDS
        while address in self._dial_targets and not self._stopped:
            if self._find_open_link(address) is not None:
                # The peer has dialled; the next `link_to` after that link closes dials again.
                self._dial_targets.discard(address)
                return
            if attempt(self._dial_and_run, address):
                delay_s = RECONNECT_MIN_SECONDS
                continue
            # Jitter, so that the peers of a restarted instance do not all dial at once.
            eventlet.sleep(delay_s * self._rng.uniform(0.5, 1.5))
            delay_s = min(delay_s * 2, RECONNECT_MAX_SECONDS)

    def _dial_and_run(self, address: str) -> bool:
        """Dial a link and serve it until it closes; return whether it opened."""
        link = self._dial(address)
        if link is None:
            return False
        self._dialled_by_address[address] = link
        self._run_dialled(address, link)
        return True

    def _run_dialled(self, address: str, link: Link) -> None:
        try:
            self._run_link(link)
        finally:
            if self._dialled_by_address.get(address) is link:
                del self._dialled_by_address[address]

    def _dial(self, address: str) -> Link | None:
        websocket: WebSocket | None = None
        peer: Peer | None = None
        try:
            with eventlet.Timeout(OPEN_TIMEOUT_SECONDS, HandshakeError("handshake timed out")):
                websocket = connect(split_address(address), CONNECT_TIMEOUT_SECONDS)
                peer = client_handshake(
                    websocket.send, websocket.recv, self._secret, self.local_peer
                )
        except (LinkError, OSError, EOFError, ValueError, OverflowError) as error:
            # The last two: no `host:port`, or a host name or port that cannot exist.
            log.debug("link.dial_failed", address=address, error=str(error))
            return None
        finally:
            if peer is None and websocket is not None:
                websocket.close()
        return Link(websocket, peer, self._dispatch, self.timeline.clock, self.traffic)


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port` into host and port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
