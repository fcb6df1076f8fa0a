"""One control member and store members in one process, with real links on loopback."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

from tarragonhall_consensus import Limits  # noqa: E402
from tarragonhall_control import ControlSettings, start_control  # noqa: E402
from tarragonhall_fakes import free_address  # noqa: E402
from tarragonhall_store import StoreSettings, start_store  # noqa: E402
from tarragonhall_wire import (  # noqa: E402
    ControlClient,
    LeaderClient,
    make_context,
    make_metrics,
)

WAIT_SECONDS = 8.0
FAST_LIMITS = Limits(
    election_seconds=0.4, lease_seconds=0.35, heartbeat_seconds=0.08, retry_seconds=0.1
)
SECRET = b"secret"


class Deployment:
    """Store members by name, and the control member that maintains their view."""

    def __init__(self, folder, **store_options) -> None:
        self.folder = folder
        self.store_options = store_options
        self.control_address = free_address()
        self.address_by_name = {}
        self.context_by_name = {}
        self.store_by_name = {}
        context = self._context("c1", self.control_address)
        settings = ControlSettings(
            data_folder=str(folder / "c1"),
            admin=free_address(),
            members={"c1": self.control_address},
            server_timeout_ms=3_000,
            entry_timeout_ms=3_000,
        )
        self.control = start_control(settings, context, FAST_LIMITS)
        self.clients = []

    def start_store(self, name: str, first_start: bool = True) -> None:
        """Start a store member; `first_start` means that the whole deployment is new."""
        address = self.address_by_name.setdefault(name, free_address())
        context = self._context(name, address)
        settings = StoreSettings(
            str(self.folder / name), may_bootstrap=first_start, **self.store_options
        )
        self.store_by_name[name] = start_store(
            settings, context, ControlClient(context), FAST_LIMITS
        )

    def stop_store(self, name: str) -> None:
        """Stop a store member without a drain, like a kill."""
        self.store_by_name.pop(name).stop()
        self.context_by_name.pop(name).hub.stop()
        eventlet.sleep(0.1)

    def leader(self) -> str | None:
        """Return the name of the leading store."""
        for name, role in self.store_by_name.items():
            if role.member is not None and role.member.is_leader():
                return name
        return None

    def voters(self) -> set[str]:
        """Return the names of the voters as the leader knows them; empty without a leader."""
        leader = self.leader()
        if leader is None:
            return set()
        members = self.store_by_name[leader].member.loop.replica.status().members
        return {member.member_id for member in members if member.voting}

    def stores_client(self) -> LeaderClient:
        """Return a client of the stores like that of an entry."""
        context = self._context(f"client-{len(self.clients)}", free_address())
        self.clients.append(context)
        addresses = [self.context_by_name[name].link_address for name in self.store_by_name]
        return LeaderClient(context, lambda: addresses)

    def wait_until(self, condition, seconds: float = WAIT_SECONDS) -> None:
        """Wait for a condition."""
        with eventlet.Timeout(seconds):
            while not condition():
                eventlet.sleep(0.02)

    def stop(self) -> None:
        """Stop all members and clients."""
        for name in list(self.store_by_name):
            self.stop_store(name)
        self.control.stop()
        for context in [*self.context_by_name.values(), *self.clients]:
            context.hub.stop()

    def _context(self, name: str, address: str):
        context = make_context(
            name, "zona-a", address, [self.control_address], SECRET, make_metrics(None, 0, name)
        )
        self.context_by_name[name] = context
        return context
