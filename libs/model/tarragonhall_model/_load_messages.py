"""Messages by which entries tell each other their load and what they have found out."""

from __future__ import annotations

from dataclasses import field

from tarragonhall_model._codec import record


@record
class ServerSigns:
    """Signs of the health of backend servers, as numbers of calls by server.

    `silent_by_server` counts the calls whose answer is overdue, `answered_by_server` those answered
    within the last second.
    """

    silent_by_server: dict[str, int] = field(default_factory=dict)
    answered_by_server: dict[str, int] = field(default_factory=dict)


@record
class LoadDetail:
    """What an entry tells the others beyond its running calls, for the parts that are switched on.

    Each table is additive over entries, so that collectors can add and subtract them. A class of
    calls is `service/urgency`, and an organisation's calls of a service are `service/organisation`.
    `tokens_by_server` is engine memory that running calls hold until their end. The pace of a
    server is `pace_sum_by_server` over `pace_weight_by_server`, 1.0 for a server at the mean speed
    of its service. `ended_by_class` are the calls that ended within the last second, and
    `taken_ms_by_class` the sum of the times that they took. `capacity_by_zone` is what the entries
    of a zone can handle, in cores.
    """

    tokens_by_server: dict[str, int] = field(default_factory=dict)
    pace_sum_by_server: dict[str, float] = field(default_factory=dict)
    pace_weight_by_server: dict[str, float] = field(default_factory=dict)
    waiting_by_class: dict[str, int] = field(default_factory=dict)
    running_by_class: dict[str, int] = field(default_factory=dict)
    ended_by_class: dict[str, int] = field(default_factory=dict)
    taken_ms_by_class: dict[str, int] = field(default_factory=dict)
    calls_by_organisation: dict[str, int] = field(default_factory=dict)
    capacity_by_zone: dict[str, float] = field(default_factory=dict)


@record
class EntryLoad:
    """Sent by an entry to the others: its running calls by backend server.

    `detail` is None where no part that needs it is switched on, or from an earlier version.
    """

    entry_id: str
    running_by_server: dict[str, int]
    signs: ServerSigns = ServerSigns()
    detail: LoadDetail | None = None


@record
class ProgramSpent:
    """Sent by an entry to those of its zone: the tokens used by a program whose budget is
    exhausted.
    """

    org_id: str
    program_id: str
    spent: int
    retention_ms: int


@record
class ZoneLoad:
    """Sent by a zone's collector to those of other zones: the running calls of its zone's entries
    in total.
    """

    availability_zone: str
    entries: int
    running_by_server: dict[str, int]
    signs: ServerSigns = ServerSigns()
    detail: LoadDetail | None = None


@record
class LoadElsewhere:
    """Sent by a collector to an entry: the number of other entries and their running calls in
    total.
    """

    entries: int
    running_by_server: dict[str, int]
    signs: ServerSigns = ServerSigns()
    detail: LoadDetail | None = None


@record
class SuspectCall:
    """Sent by an entry to the others: an attempt of a request ended without an answer.

    `server` names the start of the backend server that ran it, for `run_ms`.
    """

    fingerprint: str
    server: str = ""
    run_ms: int = 0


@record
class SuspectCleared:
    """Sent by an entry to the others: a server has answered a request that was a suspect."""

    fingerprint: str


@record
class KnownRun:
    """A run that ended without an answer, `age_ms` ago; the other fields as in `SuspectCall`."""

    server: str
    run_ms: int
    age_ms: int


@record
class KnownSuspect:
    """A request whose last attempts ended without an answer, and how long ago the last one did."""

    fingerprint: str
    broken_runs: int
    age_ms: int
    runs: list[KnownRun] = field(default_factory=list)


@record
class KnownSuspects:
    """Sent by an entry to one that has joined the view: it has forgotten what it knew."""

    suspects: list[KnownSuspect]
