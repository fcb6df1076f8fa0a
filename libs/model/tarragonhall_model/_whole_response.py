"""HTTP responses of which a cut line, or a missing one, is an error."""

from __future__ import annotations

import http.client


class _WholeLines:
    """A file of which each line that is read must be whole."""

    __slots__ = ("_file",)

    def __init__(self, file) -> None:
        self._file = file

    def __getattr__(self, name: str):
        return getattr(self._file, name)

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, or its first `limit` bytes; raise `IncompleteRead` if it is cut."""
        line = self._file.readline(limit)
        if not line.endswith(b"\n") and not 0 <= limit <= len(line):
            raise http.client.IncompleteRead(line)
        return line


class WholeResponse(http.client.HTTPResponse):
    """A response whose status line, headers, chunk sizes and trailers have all arrived.

    The base class takes the end of the connection for the end of a line and for an empty one, so
    that a response without the rest of its head looks like a whole one without a body.
    """

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.fp = _WholeLines(self.fp)
