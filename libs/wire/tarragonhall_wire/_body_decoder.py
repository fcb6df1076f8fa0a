"""Bodies of HTTP/1.1 requests, decoded in bulk and without I/O.

`h11` parses the heads. It also parses bodies, but at a cost for each chunk that lets one client
with tiny chunks keep all others waiting. What is accepted here is framed as `h11` frames it; a few
odd forms that it accepts are rejected, such as lines of trailers that end without a carriage
return.
"""

from __future__ import annotations

import re

# Bytes of a chunk's line, its extensions included.
MAX_CHUNK_LINE_BYTES = 4 * 1024
# Bytes of all lines of the trailers.
MAX_TRAILER_BYTES = 16 * 1024
# Framing that a body may have beyond what is usual for its chunks: long extensions on each of many
# chunks make a small body large.
MAX_EXCESS_FRAMING_BYTES = 16 * 1024
# Framing that each chunk may have in any case.
USUAL_FRAMING_BYTES = 16
# Chunks that are decoded before the caller gets its turn: about two milliseconds.
CHUNKS_PER_TURN = 2_048
# Bytes of a body that are held in one piece until it is whole.
BLOCK_BYTES = 64 * 1024

LINE_END = b"\r\n"
# As `h11` has it: no space before an extension, and none but at the end of the line.
CHUNK_LINE = re.compile(rb"([0-9a-fA-F]{1,20})(?:;[\t\x20-\x7e\x80-\xff]*)?[ \t]*")
# Lines of small chunks without an extension, which need no parsing.
SIZE_BY_LINE = {b"%x" % size: size for size in range(4_097)}
TRAILER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")


class BodyError(Exception):
    """A body that cannot be decoded, or is too long; `status` is that of the response."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class _Blocks:
    """Bytes in blocks of bounded size.

    One growing buffer would be moved again and again, and leave holes in the memory of the process.
    """

    __slots__ = ("_full", "full_size", "last")

    def __init__(self) -> None:
        self._full: list[bytearray] = []
        self.full_size = 0
        # The block that is being filled; call `rotate` after bytes were added.
        self.last = bytearray()

    @property
    def size(self) -> int:
        return self.full_size + len(self.last)

    def rotate(self) -> None:
        """Begin a new block if the last one is full."""
        if len(self.last) >= BLOCK_BYTES:
            self._full.append(self.last)
            self.full_size += len(self.last)
            self.last = bytearray()

    def take(self) -> bytes:
        """Return all bytes, and hold nothing any more."""
        data = b"".join([*self._full, self.last])
        self._full, self.full_size, self.last = [], 0, bytearray()
        return data


class LengthDecoder:
    """A body whose length was stated; at most `max_bytes`, else `BodyError` is raised."""

    __slots__ = ("_blocks", "_data", "announced")

    def __init__(self, length: int, max_bytes: int) -> None:
        if length > max_bytes:
            raise _too_long(max_bytes)
        self.announced = length
        # What was fed, as long as that is one piece; then all pieces together.
        self._data = b""
        self._blocks: _Blocks | None = None

    @property
    def size(self) -> int:
        """Return the number of bytes that are held."""
        return len(self._data) if self._blocks is None else self._blocks.size

    @property
    def is_done(self) -> bool:
        """Return whether the whole body has arrived."""
        return self.size >= self.announced

    @property
    def needs_input(self) -> bool:
        """Return whether nothing more can be decoded without more bytes."""
        return not self.is_done

    def feed(self, data: bytes) -> None:
        """Take received bytes."""
        if self._blocks is None:
            if not self._data:
                self._data = data
                return
            self._blocks = _Blocks()
            self._blocks.last += self._data
            self._data = b""
        self._blocks.last += data
        self._blocks.rotate()

    def decode(self) -> None:
        """Decode what was fed, in turns; call again unless it needs input or is done."""

    def take(self) -> tuple[bytes, bytes]:
        """Return the body and the bytes that follow it, and hold nothing any more."""
        data, self._data = self._data, b""
        if self._blocks is not None:
            data = self._blocks.take()
        if len(data) == self.announced:
            return data, b""
        return data[: self.announced], data[self.announced :]


class ChunkedDecoder:
    """A body in chunks; at most `max_bytes` of data, else `BodyError` is raised."""

    __slots__ = (
        "_at",
        "_blocks",
        "_data",
        "_excess",
        "_in_trailers",
        "_left",
        "_max_bytes",
        "announced",
        "is_done",
        "needs_input",
    )

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        # Nothing is known of its length before it has ended.
        self.announced = 0
        self._blocks = _Blocks()
        # Received bytes, and up to where they are decoded.
        self._data = b""
        self._at = 0
        # Bytes of the current chunk that are still to come, its line end included; 0 between them.
        self._left = 0
        self._excess = 0
        self._in_trailers = False
        self.is_done = False
        self.needs_input = True

    @property
    def size(self) -> int:
        """Return the number of bytes that are held, decoded or not."""
        return self._blocks.size + len(self._data)

    def feed(self, data: bytes) -> None:
        """Take received bytes."""
        self._data = self._data[self._at :] + data
        self._at = 0
        self.needs_input = False

    def decode(self) -> None:
        """Decode what was fed, in turns; call again unless it needs input or is done."""
        self._decode_turn()
        self._blocks.rotate()
        if self.needs_input:
            self._data, self._at = self._data[self._at :], 0

    def take(self) -> tuple[bytes, bytes]:
        """Return the body and the bytes that follow it, and hold nothing any more."""
        rest = self._data[self._at :]
        self._data, self._at = b"", 0
        return self._blocks.take(), rest

    def _decode_turn(self) -> None:
        if self._left and not self._take_data():
            return
        if not self._in_trailers and not self._take_whole_chunks():
            return
        if self._in_trailers:
            self._skip_trailers()

    def _take_whole_chunks(self) -> bool:
        """Take chunks that have arrived whole; return whether the last one was reached.

        This loop decides how long a body of tiny chunks takes.
        """
        data, at, block = self._data, self._at, self._blocks.last
        available = len(data)
        find, plain_sizes = data.find, SIZE_BY_LINE
        max_bytes = self._max_bytes - self._blocks.full_size
        for _ in range(CHUNKS_PER_TURN):
            line_end = find(LINE_END, at, at + MAX_CHUNK_LINE_BYTES)
            if line_end < 0:
                break
            line = data[at:line_end]
            size = plain_sizes.get(line)
            if size is None:
                size = self._parse_size(line)
            start = line_end + 2
            end = start + size
            if len(block) + size > max_bytes:
                raise _too_long(self._max_bytes)
            if not size or end + 2 > available:
                # The last chunk, or one of which a part is still to come.
                self._at = start
                self._left = size + 2 if size else 0
                self._in_trailers = not size
                return self._in_trailers or self._take_data()
            if data[end : end + 2] != LINE_END:
                raise BodyError(400, "a chunk does not end where its size says")
            block += data[start:end]
            at = end + 2
        self._at = at
        if at < available and find(LINE_END, at, at + MAX_CHUNK_LINE_BYTES) >= 0:
            return False
        if available - at >= MAX_CHUNK_LINE_BYTES:
            raise BodyError(400, f"the line of a chunk is over {MAX_CHUNK_LINE_BYTES} bytes")
        self.needs_input = True
        return False

    def _parse_size(self, line: bytes) -> int:
        match = CHUNK_LINE.fullmatch(line)
        if match is None:
            raise BodyError(400, f"expected the size of a chunk, found {line[:20]!r}")
        size = int(match[1], 16)
        self._count_framing(len(line), size)
        return size

    def _take_data(self) -> bool:
        """Take what has arrived of the current chunk; return whether that is all of it."""
        data, at = self._data, self._at
        line_end = at + self._left - len(LINE_END)
        if line_end + len(LINE_END) <= len(data):
            if data[line_end : line_end + len(LINE_END)] != LINE_END:
                raise BodyError(400, "a chunk does not end where its size says")
            self._blocks.last += data[at:line_end]
            self._at = line_end + len(LINE_END)
            self._left = 0
            return True
        # The line end stays undecoded until all of it is there.
        available = min(len(data), line_end) - at
        if available > 0:
            self._blocks.last += data[at : at + available]
            self._at += available
            self._left -= available
        self.needs_input = True
        return False

    def _skip_trailers(self) -> None:
        """Skip the lines behind the last chunk; the empty one ends the body."""
        data, at = self._data, self._at
        if data.startswith(LINE_END, at):
            self._at = at + len(LINE_END)
            self.is_done = True
            return
        end = data.find(LINE_END * 2, at, at + MAX_TRAILER_BYTES)
        if end < 0:
            if len(data) - at >= MAX_TRAILER_BYTES:
                raise BodyError(431, f"the trailers are over {MAX_TRAILER_BYTES} bytes")
            self.needs_input = True
            return
        for line in data[at:end].split(LINE_END):
            if TRAILER_LINE.fullmatch(line) is None:
                raise BodyError(400, f"expected a trailer, found {line[:20]!r}")
        self._at = end + 2 * len(LINE_END)
        self.is_done = True

    def _count_framing(self, line_bytes: int, size: int) -> None:
        """Reject a body that is mostly extensions of its chunks."""
        excess = self._excess + line_bytes - USUAL_FRAMING_BYTES - 2 * size
        self._excess = max(0, excess)
        if self._excess > MAX_EXCESS_FRAMING_BYTES:
            raise BodyError(400, "the extensions of the chunks are longer than the body")


BodyDecoder = LengthDecoder | ChunkedDecoder


def _too_long(max_bytes: int) -> BodyError:
    return BodyError(413, f"the body is over {max_bytes} bytes")
