"""Messages between members, and records stored on disk.

Every message carries the group, the sender's identity and the receiver's identity. A member whose
data folder was lost returns under a new identity: it ignores messages to the old one, and its
replies do not count for the old one.
"""

from __future__ import annotations

import enum
from dataclasses import field

import cbor2
from tarragonhall_model import CodecError, decode, record


@record
class Member:
    """One member of the group. `identity` is generated whenever a data folder is created.

    An empty identity stands for a member that has not reported yet: an initial member from the
    settings, or one just added. A member with `voting` false is a learner: it receives the log and
    may be promoted to voter once it has caught up.
    """

    member_id: str
    identity: str
    address: str
    voting: bool = True


class EntryKind(enum.StrEnum):
    """The kind of a log entry."""

    DATA = "data"
    NOOP = "noop"
    MEMBERS = "members"


@record
class Entry:
    """One entry of the log; its position gives its index. MEMBERS entries hold a `MemberList`."""

    term: int
    kind: EntryKind
    data: bytes


def pack_entries(entries: list[Entry]) -> bytes:
    """Return the entries encoded as bytes, empty if there are none.

    Entries are most of the traffic of the log. Encoded as records, each would repeat its field
    names and take several times the processor time.
    """
    if not entries:
        return b""
    return cbor2.dumps([[entry.term, entry.kind.value, entry.data] for entry in entries])


def unpack_entries(packed: bytes) -> list[Entry]:
    """Decode the result of `pack_entries`; raise `CodecError` for anything else."""
    if not packed:
        return []
    try:
        entries = [Entry(term, EntryKind(kind), data) for term, kind, data in cbor2.loads(packed)]
    except (cbor2.CBORDecodeError, ValueError, TypeError, EOFError) as error:
        raise CodecError(f"entries of an unknown kind: {error}") from error
    for entry in entries:
        _check_entry(entry)
    return entries


def _check_entry(entry: Entry) -> None:
    if type(entry.term) is not int or type(entry.data) is not bytes:
        raise CodecError(f"an entry of term {entry.term!r} with {type(entry.data).__name__}")
    if entry.kind is not EntryKind.MEMBERS:
        return
    members = decode(entry.data)
    if not isinstance(members, MemberList):
        raise CodecError("an entry of kind members without a member list")
    _check_members(members.members)


def _check_members(members: tuple[Member, ...]) -> None:
    if not any(member.voting for member in members):
        raise CodecError(f"{len(members)} members, none of which votes")


@record
class MemberList:
    """The whole membership, as an entry of the log.

    `lost` are identities of the list before it whose folders are known to be lost.
    """

    members: tuple[Member, ...]
    lost: tuple[str, ...] = ()


@record
class Envelope:
    """Sender and receiver. `to_identity` is empty for a receiver that has not reported yet."""

    group: str
    from_identity: str
    to_identity: str
    term: int


@record
class FoundingQuery:
    """Bootstrap query whether the peer's folder is new; `group` of the reply is empty if so."""

    envelope: Envelope


@record
class FoundingReply:
    """The reply to `FoundingQuery`; identity and group are in the envelope."""

    envelope: Envelope


@record
class VoteRequest:
    """Request a vote in `for_term`; with `pre` only query whether it would be granted."""

    envelope: Envelope
    pre: bool
    for_term: int
    last_index: int
    last_term: int


@record
class VoteReply:
    """The reply to a `VoteRequest` with the same `pre` and `for_term`.

    `silent_s_by_id` holds the voters that have left the sender's own requests for votes unanswered,
    and for how many seconds.
    """

    envelope: Envelope
    pre: bool
    for_term: int
    granted: bool
    silent_s_by_id: dict[str, float] = field(default_factory=dict)


@record
class AppendRequest:
    """Entries after `previous_index`, encoded by `pack_entries`; none in a heartbeat."""

    envelope: Envelope
    round: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: bytes = b""


@record
class AppendReply:
    """`index` is the last entry known to match or, if not `accepted`, the last that may match."""

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
    """The receiver needs the bytes from `offset` next; `done` means that all is stored."""

    envelope: Envelope
    round: int
    index: int
    offset: int
    done: bool


@record
class OtherIdentity:
    """The message was addressed to an identity that this data folder does not have.

    The identity that it was addressed to is `lost_identity`; members of earlier versions leave it
    empty.
    """

    envelope: Envelope
    lost_identity: str = ""


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


# Indexes, terms and sizes are below this in any group: 2**63 entries take longer than any use.
MAX_NUMBER = 1 << 63


def check_message(message: Message) -> None:
    """Raise `CodecError` for a message with a number that no member sends.

    The codec has checked the types. The entries are checked when they are unpacked.
    """
    _check_numbers(message.envelope, "term")
    match message:
        case VoteRequest():
            _check_numbers(message, "for_term", "last_index", "last_term")
        case VoteReply():
            _check_numbers(message, "for_term")
        case AppendRequest():
            _check_numbers(message, "round", "previous_index", "previous_term", "commit_index")
        case AppendReply():
            _check_numbers(message, "round", "previous_index", "index")
        case SnapshotChunk():
            _check_numbers(message, "round", "index", "last_term", "offset", "size", "crc")
            _check_members(message.members)
        case SnapshotReply():
            _check_numbers(message, "round", "index", "offset")


def _check_numbers(record_: object, *names: str) -> None:
    for name in names:
        number = getattr(record_, name)
        if not 0 <= number < MAX_NUMBER:
            raise CodecError(f"{type(record_).__name__}: {name} {number} is out of range")


@record
class SnapshotMeta:
    """Describes a snapshot: the state after `index` and the membership at `index`."""

    index: int
    term: int
    group: str
    members: tuple[Member, ...]
    size: int
    crc: int
