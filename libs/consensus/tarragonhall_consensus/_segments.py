"""Contents of the frames of a log segment, and recovery of a log from its segments.

Each segment starts with a `SegmentStart` that repeats the state left by earlier segments, so that
those can be removed once a snapshot covers their entries.
"""

from __future__ import annotations

import enum
import sys
from dataclasses import dataclass

import cbor2
from tarragonhall_model import StorageError, from_plain, record

from tarragonhall_consensus._frames import Scan, scan
from tarragonhall_consensus._log import Log
from tarragonhall_consensus._messages import Entry, EntryKind

FORMAT_VERSION = 1
SEGMENT_SUFFIX = ".segment"


class Item(enum.IntEnum):
    """The kinds of item in a frame. A frame is one batch of items and is stored atomically."""

    STATE = 1
    ENTRY = 2
    RESET = 3


@record
class HardState:
    """State that must survive a restart: a member that lost it could vote twice in one term."""

    term: int = 0
    vote: str = ""
    group: str = ""


@record
class SegmentStart:
    """The first frame of each segment."""

    format_version: int
    member_id: str
    identity: str
    base_index: int
    base_term: int
    state: HardState


@dataclass(slots=True)
class Segment:
    """A segment file, the last log index when it was started, and the lowest index in it."""

    path: str
    first_sequence: int
    base_index: int
    lowest_index: int = sys.maxsize

    def include_index(self, index: int) -> None:
        """Record that the segment holds an entry at `index`."""
        self.lowest_index = min(self.lowest_index, index)


@dataclass(slots=True)
class Replay:
    """The state recovered from the segments read so far."""

    start: SegmentStart
    state: HardState
    log: Log
    segments: list[Segment]
    next_sequence: int
    last_segment_data: bytes


def segment_name(first_sequence: int) -> str:
    """Return the file name of the segment whose first frame has this sequence."""
    return f"{first_sequence:020d}{SEGMENT_SUFFIX}"


def sequence_of(name: str) -> int:
    """Return the sequence of the first frame from a segment's file name."""
    digits = name.removesuffix(SEGMENT_SUFFIX)
    if not digits.isdecimal():
        raise StorageError(f"{name}: not a file of this program; move it out of the data folder")
    return int(digits)


def state_item(state: HardState) -> list:
    """Return the item that replaces the hard state."""
    return [Item.STATE, state.term, state.vote, state.group]


def entry_item(index: int, entry: Entry) -> list:
    """Return the item that writes an entry at `index` and drops existing entries from there on."""
    return [Item.ENTRY, index, entry.term, entry.kind.value, entry.data]


def reset_item(index: int, term: int) -> list:
    """Return the item that drops every entry, replaced by a snapshot up to `index`."""
    return [Item.RESET, index, term]


def put_entry(log: Log, index: int, entry: Entry) -> None:
    """Write an entry at `index`, dropping existing entries from there on."""
    if index <= log.last_index:
        log.truncate_from(index)
    log.append(entry)


class SegmentReader:
    """Reads segments in order; raises `StorageError` with the location of any inconsistency."""

    __slots__ = ("_replay",)

    def __init__(self) -> None:
        self._replay: Replay | None = None

    def read(self, path: str, sequence: int, data: bytes, last: bool) -> None:
        """Read one segment; only the last may have a torn end."""
        replay = self._replay
        if replay is not None and sequence != replay.next_sequence:
            raise StorageError(f"{path}: segment {replay.next_sequence} before it is missing")
        found = scan(data, sequence)
        self._check(path, found, last)
        start = _segment_start(path, found)
        if replay is None:
            replay = self._begin(start, sequence)
        elif start.base_index != replay.log.last_index or start.identity != replay.start.identity:
            raise StorageError(f"{path}: does not continue the segment before it")
        replay.segments.append(Segment(path, sequence, start.base_index))
        for payload in found.payloads[1:]:
            self._apply_batch(path, payload)
        replay.next_sequence = sequence + len(found.payloads)
        replay.last_segment_data = data[: found.good_bytes]

    def result(self) -> Replay | None:
        """Return the recovered state, None if there was no segment."""
        return self._replay

    def _check(self, path: str, found: Scan, last: bool) -> None:
        if found.bad_at is None:
            return
        # Truncating here would drop entries that this member has acknowledged. The group may have
        # committed them because of that, and would lose them silently.
        if found.has_later_frame or not last or not found.payloads:
            raise StorageError(
                f"{path}: corrupt at byte {found.bad_at}; the member must be replaced"
            )

    def _begin(self, start: SegmentStart, sequence: int) -> Replay:
        log = Log(start.base_index, start.base_term)
        self._replay = Replay(start, start.state, log, [], sequence, b"")
        return self._replay

    def _apply_batch(self, path: str, payload: bytes) -> None:
        replay = self._replay
        for item in cbor2.loads(payload):
            match item:
                case [Item.STATE, term, vote, group]:
                    replay.state = HardState(term, vote, group)
                case [Item.ENTRY, index, term, kind, data]:
                    if not replay.log.base_index < index <= replay.log.last_index + 1:
                        raise StorageError(f"{path}: entry {index} does not follow the one before")
                    replay.segments[-1].include_index(index)
                    put_entry(replay.log, index, Entry(term, EntryKind(kind), data))
                case [Item.RESET, index, term]:
                    replay.log.reset(index, term)
                case _:
                    raise StorageError(
                        f"{path}: unknown item {item[0]}; written by a newer version"
                    )


def _segment_start(path: str, found: Scan) -> SegmentStart:
    plain = cbor2.loads(found.payloads[0]) if found.payloads else None
    if not isinstance(plain, list) or plain[0] != "SegmentStart":
        raise StorageError(f"{path}: the segment start is missing; the member must be replaced")
    if plain[1]["format_version"] != FORMAT_VERSION:
        raise StorageError(
            f"{path}: format version {plain[1]['format_version']}, "
            f"this program reads {FORMAT_VERSION}"
        )
    return from_plain(plain)
