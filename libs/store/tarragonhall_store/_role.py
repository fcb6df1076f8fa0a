"""The store role as run by its process: announces itself, bootstraps or joins, then serves."""

from __future__ import annotations

import os
from functools import partial

import eventlet
import structlog
from tarragonhall_consensus import Limits, RoleChanged, stored_group
from tarragonhall_group import (
    GroupHooks,
    GroupMember,
    Joiner,
    MemberRepair,
    forget_first_start,
    minimal_limits_for_losses,
    record_first_start,
    recorded_first_start,
)
from tarragonhall_model import ConfirmRetired, StoreRecord, View
from tarragonhall_state import Follower, TurnState
from tarragonhall_wire import ControlClient, ProcessContext, UnavailableError, attempt, repeat

from tarragonhall_store._service import TurnService
from tarragonhall_store._settings import StoreSettings

log = structlog.get_logger(__name__)

LOG_FOLDER = "turns"
# Files in the folder of a log that hold nothing of it.
LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".tmp"
POLL_SECONDS = 0.1
CONFIRM_RETIRED_SECONDS = 2.0
DRAIN_POLL_SECONDS = 0.02

# The stores' log contains complete turns, so it grows by megabytes per second; a snapshot of all
# stored turns is as large as some tens of seconds of log.
STORE_LIMITS = Limits(snapshot_bytes=16 * 1024 * 1024, snapshot_entries=100_000)


class StoreRole:
    """One store member: its replicated log of turns and its record in control's view."""

    __slots__ = (
        "_client",
        "_context",
        "_follower",
        "_joiner",
        "_limits",
        "_log_folder",
        "_record",
        "_recorded_first_start",
        "_reports_retired",
        "_service",
        "_settings",
        "_stopped",
        "member",
        "state",
    )

    def __init__(
        self,
        settings: StoreSettings,
        context: ProcessContext,
        client: ControlClient,
        limits: Limits | None = None,
    ) -> None:
        self._settings = settings
        self._context = context
        self._client = client
        self._limits = limits or STORE_LIMITS
        self._stopped = False
        self._reports_retired = False
        self.state = TurnState()
        self.member: GroupMember | None = None
        self._joiner: Joiner | None = None
        self._follower = Follower(models_only=True)
        self._log_folder = f"{settings.data_folder}/{LOG_FOLDER}"
        fresh = settings.may_bootstrap and not _holds_data(settings.data_folder)
        if fresh:
            record_first_start(self._log_folder)
        self._recorded_first_start = recorded_first_start(self._log_folder) is not None
        self._record = StoreRecord(
            context.instance,
            context.incarnation,
            context.link_address,
            context.availability_zone,
            fresh or self._recorded_first_start,
        )
        self._service = TurnService(self.state, context, settings.turn_room)
        self._service.register()
        client.follow(lambda: self._record, self._follower)
        eventlet.spawn_n(self._start_member)

    def ready(self) -> bool:
        """Return whether a leader of the group is known, and the disk does not hang."""
        if self.member is None or self.member.loop.is_hung():
            return False
        return self.member.is_leader() or self.member.leader_address() is not None

    def drain(self, timeout_s: float) -> bool:
        """Wait for all proposals in flight; return whether all ended in time."""
        deadline = self._context.monotonic() + timeout_s
        while self.member is not None and self.member.loop.waiting():
            if self._context.monotonic() > deadline:
                return False
            eventlet.sleep(DRAIN_POLL_SECONDS)
        return True

    def stop(self) -> None:
        """Stop the member and release the data folder."""
        self._stopped = True
        if self._joiner is not None:
            self._joiner.stop()
        if self.member is not None:
            self.member.stop()

    def _view(self) -> View:
        return self._follower.view

    def _start_member(self) -> None:
        """Start this store's member; what fails is tried again until `stop`."""
        # Chosen once: after an attempt to open the folder, it no longer counts as new.
        chosen: list[dict[str, str]] = []

        def open_once() -> None:
            if not chosen:
                chosen.append(self._bootstrap_members())
            if not self._stopped:
                self._open_member(chosen[0])

        repeat(open_once, lambda: self.member is None and not self._stopped)
        if self.member is None:
            return
        self._service.attach(self.member)
        settings = self._settings
        limits = minimal_limits_for_losses(
            settings.tolerated_losses, settings.tolerated_zone_losses
        )
        self._joiner = Joiner(
            self.member,
            self._context,
            self._store_addresses,
            self._retiring_ids,
            MemberRepair(limits),
        )
        self.member.start()
        self._joiner.start()

    def _open_member(self, bootstrap_members: dict[str, str]) -> None:
        self.member = GroupMember(
            self._log_folder,
            self._context.instance,
            bootstrap_members,
            self.state,
            self._context,
            # An exception in what follows a step must not cost the member its log.
            GroupHooks(partial(attempt, self._on_role), partial(attempt, self._after_step)),
            self._limits,
        )

    def _bootstrap_members(self) -> dict[str, str]:
        """Wait for control's choice of the bootstrap members.

        Return their addresses by id if this member is one of them, else nothing.
        """
        if self._is_in_group():
            return {}
        while not self._stopped and not self._view().store_founders:
            eventlet.sleep(POLL_SECONDS)
        view = self._view()
        if not self._record.fresh or self._context.instance not in view.store_founders:
            # Not a bootstrap member, with an empty folder: it must not vote in place of a member
            # whose lost disk held acknowledged data.
            return {}
        address_by_id = {store.store_id: store.address for store in view.stores}
        while not self._stopped and not set(view.store_founders) <= set(address_by_id):
            eventlet.sleep(POLL_SECONDS)
            view = self._view()
            address_by_id |= {store.store_id: store.address for store in view.stores}
        if self._stopped:
            return {}
        return {store_id: address_by_id[store_id] for store_id in view.store_founders}

    def _is_in_group(self) -> bool:
        """Return whether the log is one of a group; such a member waits for nobody."""
        if not self._recorded_first_start:
            return _holds_data(self._log_folder)
        if not stored_group(self._log_folder, self._context.instance, self._context.rng):
            return False
        self._forget_first_start()
        return True

    def _store_addresses(self) -> list[str]:
        return [store.address for store in self._view().stores]

    def _retiring_ids(self) -> frozenset[str]:
        return frozenset(self._view().retiring_stores)

    def _on_role(self, changed: RoleChanged) -> None:
        if self._recorded_first_start and changed.term > 0:
            self._forget_first_start()
        self._service.on_role(changed)

    def _forget_first_start(self) -> None:
        self._recorded_first_start = False
        forget_first_start(self._log_folder)

    def _after_step(self) -> None:
        """Start to report retired members once some are to be retired; nothing runs before."""
        if self._reports_retired or not self._view().retiring_stores:
            return
        self._reports_retired = True
        eventlet.spawn_n(self._report_retired_loop)

    def _report_retired_loop(self) -> None:
        """As leader, report to control the retiring members that have left the group."""
        reported: set[str] = set()
        repeat(
            partial(self._report_retired_members, reported),
            lambda: not self._stopped and bool(self._retiring_ids()),
        )
        self._reports_retired = False

    def _report_retired_members(self, reported: set[str]) -> None:
        """Report the members that have left since; `reported` holds those told already."""
        eventlet.sleep(POLL_SECONDS)
        if not self.member.is_leader():
            return
        status = self.member.loop.replica.status()
        members = {member.member_id for member in status.members}
        for store_id in self._retiring_ids() - members - reported:
            if self._is_committed(status) and self._report_retired(store_id):
                reported.add(store_id)

    def _is_committed(self, status) -> bool:
        """Return whether the member list in force is committed, because the whole log is."""
        return status.commit_index == status.last_index

    def _report_retired(self, store_id: str) -> bool:
        try:
            self._client.propose(ConfirmRetired(store_id), CONFIRM_RETIRED_SECONDS)
        except UnavailableError as error:
            log.info("store.retired_untold", store=store_id, error=str(error))
            return False
        log.info("store.retired", store=store_id)
        return True


def _holds_data(folder: str) -> bool:
    """Return whether there are files in a folder besides those that opening it begins with.

    An attempt to open a new folder may fail, and the process be restarted, before anything of the
    log is stored; the folder is new then as well.
    """
    if not os.path.isdir(folder):
        return False
    found = os.walk(folder, onerror=_raise)
    names = [name for _path, _folders, files in found for name in files]
    return any(name != LOCK_NAME and not name.endswith(TEMPORARY_SUFFIX) for name in names)


def _raise(error: OSError) -> None:
    """A folder that cannot be read must not count as new."""
    raise error
