"""One member of a replicated log with its loop and its links to the other members."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
import structlog
from tarragonhall_consensus import (
    Limits,
    Member,
    ReplicaApi,
    Role,
    RoleChanged,
    StateMachine,
    disk_files,
    open_replica,
)
from tarragonhall_model import (
    LinkError,
    StorageError,
    StorageUnavailableError,
    TarragonhallError,
)
from tarragonhall_wire import Link, ProcessContext, repeat

from tarragonhall_group._disk_thread import DiskThread, ThreadFiles
from tarragonhall_group._loop import LogLoop, LoopHooks
from tarragonhall_group._messages import LogMessage
from tarragonhall_group._offline import offline_replica

log = structlog.get_logger(__name__)

# Below the timeout of a request, so that the sender is notified and can try another member.
PROPOSE_TIMEOUT_SECONDS = 5.0
CONFIRM_TIMEOUT_SECONDS = 1.0
# A step writes and syncs at most once. A leader whose step takes this long has lost its majority
# meanwhile.
SLOW_STEP_SECONDS = 0.4
# An election takes one to two seconds; a group that takes longer has no majority to elect with.
STALLED_ELECTION_SECONDS = 5.0
REPORT_INTERVAL_SECONDS = 1.0
STALLED_ELECTION_LOG_SECONDS = 10.0


@dataclass(slots=True)
class GroupHooks:
    """Callbacks of the member: on a role change, and after each step."""

    on_role: Callable[[RoleChanged], None] = field(default=lambda _changed: None)
    after_step: Callable[[], None] = field(default=lambda: None)


class GroupMember:
    """One member of a group. A process runs at most one: its links carry one group's log.

    `bootstrap_addresses` maps the ids of the initial members to their link addresses; it is empty
    for a member that waits to be added.

    While the data folder is unavailable, at the start or later, and after a step that failed for
    another reason, the process goes on without its member, which takes part again once the folder
    has been opened.
    """

    __slots__ = (
        "_address_by_peer",
        "_bootstrap_addresses",
        "_context",
        "_disk_thread",
        "_folder",
        "_hooks",
        "_initial_state",
        "_last_leader",
        "_leader_heard_at",
        "_limits",
        "_machine",
        "_stalled_logged_at",
        "_stopped",
        "_was_in_group",
        "loop",
        "member_id",
    )

    def __init__(
        self,
        folder: str,
        member_id: str,
        bootstrap_addresses: dict[str, str],
        machine: StateMachine,
        context: ProcessContext,
        hooks: GroupHooks | None = None,
        limits: Limits | None = None,
    ) -> None:
        self.member_id = member_id
        self._context = context
        self._hooks = hooks or GroupHooks()
        self._bootstrap_addresses = bootstrap_addresses
        self._address_by_peer: dict[str, str] = {}
        self._disk_thread = DiskThread()
        self._folder = folder
        self._machine = machine
        self._initial_state = machine.snapshot()
        self._limits = limits
        self._was_in_group = False
        self._stopped = False
        self._stalled_logged_at = float("-inf")
        self._last_leader: str | None = None
        self._leader_heard_at = float("-inf")
        loop_hooks = LoopHooks(
            self._send,
            self._on_role,
            self._hooks.after_step,
            self._on_offline,
            self._on_step,
            self._reopen,
        )
        failure = None
        try:
            replica = self._open(context.started_at)
        except StorageUnavailableError as error:
            failure = error
            replica = offline_replica(member_id, context.link_address)
        self.loop = LogLoop(replica, context.monotonic, loop_hooks, failure)
        context.hub.problems.watch("member", self._problem)

    def start(self) -> None:
        """Start to take part in the group."""
        self._context.hub.handle(LogMessage, self._on_log_message)
        self._disk_thread.start()
        eventlet.spawn_n(self._run)
        eventlet.spawn_n(repeat, self._report_and_wait, lambda: not self._stopped)

    def stop(self) -> None:
        """Stop taking part in the group."""
        self._stopped = True
        self.loop.stop()

    def is_leader(self) -> bool:
        """Return whether this member is the leader and its lease is valid now."""
        return self.loop.is_leader()

    def leader_address(self) -> str | None:
        """Return the link address of the leader, None if it is unknown or this member."""
        leader = self.loop.replica.leader()
        if leader is None or leader == self.member_id:
            return None
        return self.address_of(leader)

    def address_of(self, member_id: str) -> str | None:
        """Return the link address of a member, None if it is unknown."""
        address = self.loop.replica.address_of(member_id)
        if address is not None:
            return address
        return self._bootstrap_addresses.get(member_id) or self._address_by_peer.get(member_id)

    def confirm(self) -> bool:
        """Return whether a majority confirmed after the call that this member is the leader."""
        return self.is_leader() and self.loop.confirm(CONFIRM_TIMEOUT_SECONDS)

    def _open(self, opened_at: float) -> ReplicaApi:
        """Open the folder; `opened_at` is when the use of it before this one had ended."""
        # A folder that was emptied after this member had voted must not count as a new one.
        bootstrap = {} if self._was_in_group else self._bootstrap_addresses
        return open_replica(
            self._folder,
            self.member_id,
            self._context.link_address,
            _bootstrap_members(self.member_id, bootstrap),
            self._machine,
            self._context.rng,
            self._context.monotonic(),
            self._limits,
            ThreadFiles(disk_files(), self._disk_thread),
            started_at=opened_at,
            initial_state=self._initial_state,
        )

    def _run(self) -> None:
        try:
            self.loop.run()
        finally:
            self._disk_thread.stop()

    def _reopen(self) -> ReplicaApi:
        return self._open(self._context.monotonic())

    def _on_offline(self, failure: TarragonhallError | None) -> None:
        metrics = self._context.metrics
        metrics.gauge("group.offline", int(failure is not None))
        is_storage = isinstance(failure, StorageError)
        metrics.gauge("group.storage_failed", int(is_storage))
        if failure is None:
            metrics.count("group.storage_reopens")
        else:
            metrics.count("group.storage_failures" if is_storage else "group.step_failures")
        self._context.timeline.add("group_offline", offline=failure is not None)

    def _on_step(self, seconds: float) -> None:
        self._context.metrics.timing("group.step", seconds * 1000)
        if seconds > SLOW_STEP_SECONDS:
            log.warning("group.step_slow", step_s=round(seconds, 3))

    def _problem(self) -> str:
        """Return why this member takes no part in the group, empty if it does."""
        if self.loop.failure is not None:
            return str(self.loop.failure)
        if self.loop.is_hung():
            return f"the disk has kept a step waiting for {self.loop.step_seconds():.1f} s"
        return ""

    def _report_and_wait(self) -> None:
        self._report()
        eventlet.sleep(REPORT_INTERVAL_SECONDS)

    def _report(self) -> None:
        """Report for how long there is no leader, and the votes of an election that goes on."""
        step_s = round(self.loop.step_seconds(), 3)
        self._context.metrics.gauge("group.step_running_seconds", step_s)
        status = self.loop.replica.status()
        now = self._context.monotonic()
        if self.loop.failure is None:
            # A former leader has never heard of one, and a member that is offline hears of none.
            self._leader_heard_at = max(self._leader_heard_at, now - status.leaderless_seconds)
        leaderless_s = round(now - self._leader_heard_at, 3)
        if status.term == 0:
            # Not in a group yet.
            return
        self._context.metrics.gauge("group.leaderless_seconds", leaderless_s)
        if status.role != Role.CANDIDATE or leaderless_s < STALLED_ELECTION_SECONDS:
            return
        if now - self._stalled_logged_at < STALLED_ELECTION_LOG_SECONDS:
            return
        self._stalled_logged_at = now
        voters = {member.member_id for member in status.members if member.voting}
        answered = {*status.granted_by, *status.refused_by}
        log.warning(
            "group.election_stalled",
            term=status.term,
            leaderless_s=leaderless_s,
            granted_by=status.granted_by,
            refused_by=status.refused_by,
            unanswered_by=sorted(voters - answered),
        )

    def _send(self, peer: str, message: object) -> None:
        address = self.address_of(peer)
        if address is None:
            return
        log_message = LogMessage(self.member_id, message, self._context.link_address)
        try:
            self._context.hub.link_to(address).send(log_message)
        except LinkError:
            self._context.metrics.count("group.peer_unreachable")

    def _on_log_message(self, link: Link, log_message: LogMessage) -> None:
        if link.peer.instance != log_message.sender and link.peer.address != log_message.address:
            return
        if link.peer.address:
            self._address_by_peer[log_message.sender] = link.peer.address
        self.loop.receive(log_message.sender, log_message.message)

    def _on_role(self, changed: RoleChanged) -> None:
        self._was_in_group = self._was_in_group or changed.term > 0
        if self._last_leader is not None or changed.leader is not None:
            self._leader_heard_at = self._context.monotonic()
        self._last_leader = changed.leader
        log.info("group.role", role=changed.role, term=changed.term, leader=changed.leader)
        self._context.timeline.add("group_role", role=changed.role, term=changed.term)
        self._hooks.on_role(changed)


def _bootstrap_members(member_id: str, bootstrap_addresses: dict[str, str]) -> list[Member]:
    """Return the initial members, or an empty list for a member that waits to be added."""
    if member_id not in bootstrap_addresses:
        return []
    return [Member(name, "", address) for name, address in bootstrap_addresses.items()]
