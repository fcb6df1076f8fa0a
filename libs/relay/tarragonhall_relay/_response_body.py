"""How the body of one response was framed and how it ended, for decisions, logs and metrics."""

from __future__ import annotations

import enum

import h11

from tarragonhall_relay._dialect import Headers

STATUSES_WITHOUT_BODY = (204, 304)
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
NOT_KNOWN = "none"


class Framing(enum.Enum):
    """What says where the body of a response ends; `CONNECTION` is the end of its connection."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class BodyEnd(enum.Enum):
    """How the reading of a body ended.

    `STATED`: its framing said so. `CLOSED`: the server closed its connection. `RESET`: the
    connection was reset. `LOST`: it failed otherwise. `INVALID`: the bytes are no response.
    """

    STATED = "stated"
    CLOSED = "closed"
    RESET = "reset"
    LOST = "lost"
    INVALID = "invalid"


class ResponseBody:
    """What is known of the body of the response to one attempt.

    `framing` is None before the head has arrived, `end` while the body is read, and for good if the
    relay stopped reading. `size` counts bytes without their framing; `stated_size` is the length
    that the head states, 0 if it states none.
    """

    __slots__ = ("end", "framing", "size", "stated_size")

    def __init__(self) -> None:
        self.framing: Framing | None = None
        self.size = 0
        self.stated_size = 0
        self.end: BodyEnd | None = None

    def begin(self, method: bytes, head: h11.Response) -> None:
        """Record the head of the response."""
        self.framing = _framing_of(method, head.status_code, list(head.headers))
        self.size = 0
        self.stated_size = 0
        if self.framing is Framing.LENGTH:
            self.stated_size = int(dict(head.headers)[CONTENT_LENGTH])
        self.end = None

    @property
    def framing_name(self) -> str:
        """Return the framing for logs and metrics; `none` before the head."""
        return self.framing.value if self.framing is not None else NOT_KNOWN

    @property
    def end_name(self) -> str:
        """Return the end for logs and metrics; `none` if the body was not read to its end."""
        return self.end.value if self.end is not None else NOT_KNOWN

    def labels(self) -> tuple[tuple[str, str], ...]:
        """Return the labels for a counter."""
        return (("framing", self.framing_name), ("end", self.end_name))


def _framing_of(method: bytes, status: int, headers: Headers) -> Framing:
    if method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    names = {name for name, _value in headers}
    if TRANSFER_ENCODING in names:
        return Framing.CHUNKS
    return Framing.LENGTH if CONTENT_LENGTH in names else Framing.CONNECTION
