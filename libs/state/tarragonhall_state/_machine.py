"""The control state machine: decodes a command, dispatches it and stores the result."""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model import (
    AnnounceEntry,
    AnnounceServer,
    AnnounceStore,
    AttemptId,
    CallClosed,
    CallOpened,
    CallRunning,
    CodecError,
    Command,
    ConfirmRetired,
    DrainServer,
    EntryRecord,
    EvacuateZone,
    Execution,
    FoundStores,
    Living,
    PolicyDelta,
    ProgramInfo,
    ProgramReport,
    ProgramStatus,
    PublishRelay,
    Quarantined,
    RecordDepartures,
    Refusal,
    RefusalCode,
    RelayDocument,
    RelayPublished,
    RemoveEntry,
    RemoveServer,
    RemoveStore,
    RetireStore,
    ServerRecord,
    SettleOwners,
    StoreRecord,
    StoreRetiring,
    View,
    decode,
    encode,
    record,
    shard_of,
)

from tarragonhall_state._configuration import Configuration, ConfigurationSnapshot
from tarragonhall_state._departures import Departure, Departures
from tarragonhall_state._journal import JOURNAL_SHARDS, Journal, JournalSnapshot, program_id_of
from tarragonhall_state._requests import (
    JOURNAL_WINDOW_MS,
    MAX_JOURNAL_REQUESTS,
    MAX_OPERATOR_REQUESTS,
    OPERATOR_WINDOW_MS,
    CallReference,
    Remembered,
    RequestTable,
    body_digest,
)
from tarragonhall_state._views import Views

SNAPSHOT_FORMAT = 1


@record
class StateSnapshot:
    """The whole state at one log index."""

    format: int
    clock_ms: int
    configuration: ConfigurationSnapshot
    views: Views
    operator_requests: RequestTable
    journal_requests: RequestTable
    journals: list[JournalSnapshot] = field(default_factory=list)
    relay: RelayDocument | None = None
    departures: list[Departure] = field(default_factory=list)


class ControlState:
    """The replicated state of the control members. `apply` is deterministic on all of them."""

    __slots__ = (
        "_clock_ms",
        "_journal_requests",
        "_journals",
        "_operator_requests",
        "_views",
        "configuration",
        "departures",
        "relay",
    )

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.relay: RelayDocument | None = None
        self.departures = Departures()
        self._views = Views()
        self._journals = [Journal() for _ in range(JOURNAL_SHARDS)]
        self._operator_requests = RequestTable(OPERATOR_WINDOW_MS, MAX_OPERATOR_REQUESTS)
        self._journal_requests = RequestTable(JOURNAL_WINDOW_MS, MAX_JOURNAL_REQUESTS)
        # Leaders' clocks differ; log time must not go backwards when the leader changes.
        self._clock_ms = 0

    def apply(self, index: int, data: bytes) -> object:
        """Apply one committed command and return its result."""
        try:
            command = decode(data)
        except CodecError as error:
            return Refusal(RefusalCode.BAD_INPUT, f"undecodable command: {error}")
        if not isinstance(command, Command):
            return Refusal(RefusalCode.BAD_INPUT, "expected a command")
        self._clock_ms = max(self._clock_ms, command.at_ms)
        digest = body_digest(command.body)
        earlier = self.find_request(command.request_id)
        if earlier is not None:
            if earlier.digest != digest:
                message = "this request id was used for something else"
                return Refusal(RefusalCode.CONFLICT, message)
            return self.repeat_result(earlier)
        return self._execute(command, digest)

    def find_request(self, request_id: str) -> Remembered | None:
        """Return the stored result of an applied request, or None."""
        found = self._operator_requests.find(request_id)
        return found if found is not None else self._journal_requests.find(request_id)

    def repeat_result(self, remembered: Remembered) -> object:
        """Return the result of an earlier request for a resend of it."""
        result = remembered.result
        if not isinstance(result, CallReference):
            return result
        return self._journal(result.program_id).repeat_result(result)

    @property
    def revision(self) -> int:
        """Return the settings revision in force."""
        return self.configuration.revision

    @property
    def epoch(self) -> int:
        """Return the epoch of the view."""
        return self._views.epoch

    @property
    def unsettled_owners_version(self) -> int:
        """Return the owners version while earlier owners may still act, otherwise 0."""
        views = self._views
        return views.owners_version if views.settled_version < views.owners_version else 0

    @property
    def relay_version(self) -> int:
        """Return the version of the current relay document; 0 before the first."""
        return self.relay.version if self.relay is not None else 0

    def retirement(self, store_id: str) -> StoreRetiring | Refusal:
        """Return the progress of the retirement of a store member."""
        return self._views.retirement(store_id)

    def policy_since(self, revision: int) -> PolicyDelta:
        """Return the delta that brings a follower from a revision to the current one."""
        return self.configuration.policy_since(revision)

    def view(self) -> View:
        """Return the view of the current epoch."""
        return self._views.view()

    def server(self, server_id: str) -> ServerRecord | None:
        """Return the record of the backend server's current incarnation, or None."""
        return self._views.server_by_id.get(server_id)

    def announced_record(
        self, node: EntryRecord | ServerRecord | StoreRecord
    ) -> EntryRecord | ServerRecord | StoreRecord | None:
        """Return the announced record under the id of a node, without the operators' drain."""
        match node:
            case EntryRecord(entry_id=entry_id):
                return self._views.entry_by_id.get(entry_id)
            case ServerRecord(server_id=server_id):
                return self._views.server_by_id.get(server_id)
            case StoreRecord(store_id=store_id):
                return self._views.store_by_id.get(store_id)

    def call(
        self, program_id: str, seq: int, org_id: str
    ) -> CallOpened | CallRunning | CallClosed | Refusal:
        """Return the state of a call."""
        entries = self._views.entry_by_id
        return self._journal(program_id).call(program_id, seq, org_id, entries)

    def attempts_under(self, program_id: str) -> list[AttemptId]:
        """Return the newest attempt of each call of a program and of all its sub-agents."""
        return self._journal(program_id).attempts_under(program_id)

    def execution(self, program_id: str, seq: int) -> Execution:
        """Return whether a call is known not to have run, without revealing its owner."""
        return self._journal(program_id).execution(program_id, seq)

    def program(self, program_id: str, org_id: str | None) -> ProgramReport | Refusal:
        """Return a program and its closed calls; operators may omit the organisation."""
        return self._journal(program_id).program(program_id, org_id)

    def programs(
        self, org_id: str | None = None, status: ProgramStatus | None = None, limit: int = 200
    ) -> list[ProgramInfo]:
        """Return the most recently opened programs, newest first."""
        found: list[ProgramInfo] = []
        for journal in self._journals:
            found.extend(journal.programs(org_id, status, limit))
        found.sort(key=lambda info: info.opened_at_ms, reverse=True)
        return found[:limit]

    def program_count(self) -> int:
        """Return the number of stored programs, ended ones included."""
        return sum(journal.count() for journal in self._journals)

    def open_programs(self, program_ids: list[str]) -> Living:
        """Return the ids of the given programs that are open."""
        return Living([one for one in program_ids if self._journal(one).open_programs([one])])

    def quarantine(self, fingerprint: str, now_ms: int) -> Quarantined:
        """Return whether a request is quarantined."""
        return self._journal("").quarantine(fingerprint, now_ms)

    def next_due_ms(self) -> int | None:
        """Return the log time at which `ExpirePrograms` may next have work, or None."""
        due = [journal.next_due_ms() for journal in self._journals]
        return min((one for one in due if one is not None), default=None)

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return encode(
            StateSnapshot(
                format=SNAPSHOT_FORMAT,
                clock_ms=self._clock_ms,
                configuration=self.configuration.snapshot(),
                views=self._views,
                operator_requests=self._operator_requests,
                journal_requests=self._journal_requests,
                journals=[journal.snapshot() for journal in self._journals],
                relay=self.relay,
                departures=self.departures.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        snapshot = decode(data)
        if not isinstance(snapshot, StateSnapshot) or snapshot.format != SNAPSHOT_FORMAT:
            raise CodecError("this snapshot has a format that this version cannot read")
        self._clock_ms = snapshot.clock_ms
        self.configuration.restore(snapshot.configuration)
        self._views = snapshot.views
        self._operator_requests = snapshot.operator_requests
        self._journal_requests = snapshot.journal_requests
        self.relay = snapshot.relay
        self.departures.restore(snapshot.departures)
        for journal, saved in zip(self._journals, snapshot.journals, strict=True):
            journal.restore(saved)

    def _execute(self, command: Command, digest: bytes) -> object:
        now_ms = self._clock_ms
        result = self.configuration.apply(command.body, command.request_id, now_ms)
        if result is not None:
            self._operator_requests.add(command.request_id, digest, now_ms, result)
            return result
        if isinstance(command.body, PublishRelay):
            # Not stored by request id: applying it again is harmless, and each of hundreds of
            # documents a day would be held a second time.
            return self._publish_relay(command.body.document)
        if isinstance(command.body, RecordDepartures):
            return self.departures.add(command.body.backends, now_ms)
        result = self._change_view(command.body, now_ms)
        if result is None:
            result = self._change_journal(command.body, now_ms)
        if result is None:
            kind = type(command.body).__name__
            result = Refusal(RefusalCode.BAD_INPUT, f"unknown command {kind}")
        stored = _result_to_store(command.body, result)
        self._journal_requests.add(command.request_id, digest, now_ms, stored)
        return result

    def _publish_relay(self, document: RelayDocument) -> RelayPublished:
        if document.version > self.relay_version:
            self.relay = document
        return RelayPublished(self.relay_version)

    def _change_view(self, body: object, now_ms: int) -> object:
        match body:
            case AnnounceEntry(entry=entry):
                return self._views.announce_entry(entry, now_ms)
            case RemoveEntry(entry_id=entry_id, incarnation=incarnation, stopped=stopped):
                return self._views.remove_entry(entry_id, incarnation, now_ms, stopped)
            case SettleOwners(owners_version=version):
                return self._views.settle_owners(version, now_ms)
            case AnnounceServer(server=server):
                return self._views.announce_server(server, now_ms)
            case RemoveServer(server_id=server_id, incarnation=incarnation):
                return self._views.remove_server(server_id, incarnation, now_ms)
            case AnnounceStore(store=store):
                return self._views.announce_store(store, now_ms)
            case RemoveStore(store_id=store_id, incarnation=incarnation):
                return self._views.remove_store(store_id, incarnation, now_ms)
            case FoundStores(store_ids=store_ids):
                return self._views.bootstrap_stores(store_ids, now_ms)
            case RetireStore(store_id=store_id, keep=keep):
                return self._views.retire_store(store_id, keep, now_ms)
            case ConfirmRetired(store_id=store_id):
                return self._views.confirm_retired(store_id, now_ms)
            case DrainServer(server_id=server_id, draining=draining):
                return self._views.drain_server(server_id, draining, now_ms)
            case EvacuateZone(availability_zone=zone, evacuated=evacuated):
                return self._views.evacuate_zone(zone, evacuated, now_ms)
        return None

    def _change_journal(self, body: object, now_ms: int) -> object:
        journal = self._journal(program_id_of(body))
        return journal.apply(body, self._views.entry_by_id, now_ms)

    def _journal(self, program_id: str) -> Journal:
        return self._journals[shard_of(program_id, JOURNAL_SHARDS)]


def _result_to_store(body: object, result: object) -> object:
    """Return the result to store; a reference where the journal already holds the content.

    A second copy of each history and answer for five minutes would double a busy member's memory.
    """
    match result:
        case CallOpened(attempts=attempts, started=started):
            return CallReference(program_id_of(body), _seq_of(body), attempts, started)
        case CallClosed():
            return CallReference(program_id_of(body), _seq_of(body))
    return result


def _seq_of(body: object) -> int:
    for part in ("attempt", "spec"):
        if hasattr(body, part):
            return getattr(body, part).seq
    return body.seq
