"""What members say to each other, and what they keep on disk.

Every message carries the group, the sender's identity and the identity it is meant for. A member
whose data folder was lost comes back under another identity: nothing meant for the old one
reaches it, and nothing it says counts for the old one.
"""

from __future__ import annotations

import enum

import cbor2
from tarragonhall_model import CodecError, record


@record
class Member:
    """One member of the group. `identity` is drawn anew whenever a data folder is made.

    An empty identity stands for a member that has not been heard yet: a founding member given in
    settings, or one just added. A member with `voting` false is a learner: it is sent the log and
    becomes a voter by itself once it has caught up.
    """

    member_id: str
    identity: str
    address: str
    voting: bool = True


class EntryKind(enum.StrEnum):
    """What an entry of the log is for."""

    DATA = "data"
    NOOP = "noop"
    MEMBERS = "members"


@record
class Entry:
    """One entry of the log; its index follows from its place. MEMBERS hold a `MemberList`."""

    term: int
    kind: EntryKind
    data: bytes


def pack_entries(entries: list[Entry]) -> bytes:
    """Return the entries as one string of bytes, empty where there are none.

    Entries are nearly all that the log sends. As records each would repeat its field names, and
    cost several times the processor time.
    """
    if not entries:
        return b""
    return cbor2.dumps([[entry.term, entry.kind.value, entry.data] for entry in entries])


def unpack_entries(packed: bytes) -> list[Entry]:
    """Return what `pack_entries` has packed; raise `CodecError` for anything else."""
    if not packed:
        return []
    try:
        return [Entry(term, EntryKind(kind), data) for term, kind, data in cbor2.loads(packed)]
    except (cbor2.CBORDecodeError, ValueError, TypeError, EOFError) as error:
        raise CodecError(f"entries of an unknown kind: {error}") from error


@record
class MemberList:
    """The whole membership, as an entry of the log and in a snapshot."""

    members: tuple[Member, ...]


@record
class Envelope:
    """Who speaks to whom. `to_identity` is empty only towards a learner not heard yet."""

    group: str
    from_identity: str
    to_identity: str
    term: int


@record
class FoundingQuery:
    """The founder asks whether the peer's folder is new; `group` of the reply is empty if so."""

    envelope: Envelope


@record
class FoundingReply:
    """The answer to `FoundingQuery`; identity and group are in the envelope."""

    envelope: Envelope


@record
class VoteRequest:
    """Ask for a vote in `for_term`; with `pre` only ask whether it would be given."""

    envelope: Envelope
    pre: bool
    for_term: int
    last_index: int
    last_term: int


@record
class VoteReply:
    """The answer to `VoteRequest` for the same `pre` and `for_term`."""

    envelope: Envelope
    pre: bool
    for_term: int
    granted: bool


@record
class AppendRequest:
    """Entries after `previous_index` as `pack_entries` makes them, none in a heartbeat."""

    envelope: Envelope
    round: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: bytes = b""


@record
class AppendReply:
    """`index` is the last entry known to match, or the last one that might, after a refusal."""

    envelope: Envelope
    round: int
    accepted: bool
    previous_index: int
    index: int


@record
class SnapshotChunk:
    """A part of a snapshot, from `offset` of `size` bytes."""

    envelope: Envelope
    round: int
    index: int
    last_term: int
    members: tuple[Member, ...]
    offset: int
    size: int
    crc: int
    data: bytes


@record
class SnapshotReply:
    """The receiver wants the bytes from `offset` next; `done` says that all is stored."""

    envelope: Envelope
    round: int
    index: int
    offset: int
    done: bool


@record
class OtherIdentity:
    """The message was meant for an identity that this data folder does not have."""

    envelope: Envelope


Message = (
    FoundingQuery
    | FoundingReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | OtherIdentity
)


@record
class SnapshotMeta:
    """What a snapshot stands for: the state after `index`, and the membership there."""

    index: int
    term: int
    group: str
    members: tuple[Member, ...]
    size: int
    crc: int
