"""Replicated log: elections, replication, membership changes, snapshots and durable storage.

The factory is `open_replica(folder, member_id, address, bootstrap, machine, rng, now)`; it returns
a `ReplicaApi`. `bootstrap` lists the initial members with empty identities (one entry for a
single-member group) and is used only if the folder is new.
"""

from __future__ import annotations

from tarragonhall_consensus._files import AppendFile, Files, disk_files
from tarragonhall_consensus._interface import (
    ChangeMember,
    ConfirmRead,
    Event,
    MessageRejected,
    Output,
    PeerStatus,
    ProposalDone,
    ProposalLost,
    ProposeData,
    ReadConfirmed,
    ReadLost,
    Received,
    ReplicaApi,
    Role,
    RoleChanged,
    SendTo,
    StateMachine,
    Status,
    TakeSnapshot,
    Tick,
)
from tarragonhall_consensus._limits import TICK_SECONDS, Limits, limits_for_election_timeout
from tarragonhall_consensus._messages import Member
from tarragonhall_consensus._replica import open_replica, stored_group

__all__ = [
    "TICK_SECONDS",
    "AppendFile",
    "ChangeMember",
    "ConfirmRead",
    "Event",
    "Files",
    "Limits",
    "Member",
    "MessageRejected",
    "Output",
    "PeerStatus",
    "ProposalDone",
    "ProposalLost",
    "ProposeData",
    "ReadConfirmed",
    "ReadLost",
    "Received",
    "ReplicaApi",
    "Role",
    "RoleChanged",
    "SendTo",
    "StateMachine",
    "Status",
    "TakeSnapshot",
    "Tick",
    "disk_files",
    "limits_for_election_timeout",
    "open_replica",
    "stored_group",
]
