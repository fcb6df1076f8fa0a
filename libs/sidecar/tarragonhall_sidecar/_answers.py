"""Checks that an engine's stream is the whole answer to one attempt, and no one else's.

An engine may mix up two streams, send a part twice or end early. A caller would then read another
caller's text, or half of its own, and never know. Every event names its attempt, every token its
index, and the terminal event the lengths; text is passed on only from events that fit.
"""

from __future__ import annotations

import json

from tarragonhall_model import Answer, TarragonhallError, Usage

# One event holds one token; anything larger is not the engine's protocol.
MAX_EVENT_BYTES = 64 * 1024
EVENT_END = b"\n\n"


class AnswerError(TarragonhallError):
    """What came is not the whole answer to this attempt."""


class AnswerStream:
    """Reads the engine's events for one attempt."""

    __slots__ = ("_attempt_key", "_buffer", "_length", "_max_tokens", "_parts", "_seen",
                 "answer", "cancelled")  # fmt: skip

    def __init__(self, attempt_key: str, max_tokens: int) -> None:
        self._attempt_key = attempt_key
        self._max_tokens = max_tokens
        self._buffer = b""
        self._parts: list[str] = []
        self._seen = 0
        self._length = 0
        self.answer: Answer | None = None
        self.cancelled = False

    @property
    def over_limit(self) -> bool:
        """Return whether the engine generates beyond the tokens that the call may use."""
        return self._seen > self._max_tokens

    def feed(self, data: bytes) -> str:
        """Take bytes and return the new text; raise `AnswerError` where they do not fit."""
        self._buffer += data
        *events, self._buffer = self._buffer.split(EVENT_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise AnswerError("an event is too long")
        before = len(self._parts)
        for event in events:
            if self.answer is None:
                self._take(event)
        return "".join(self._parts[before:])

    def _take(self, event: bytes) -> None:
        kind, fields = _parse(event)
        if fields.get("attempt") != self._attempt_key:
            raise AnswerError("the engine sent the answer to another attempt")
        if kind == "token":
            self._take_token(_number(fields, "index"), _text(fields, "text"))
        elif kind == "done":
            self._take_end(fields)

    def _take_token(self, index: int, text: str) -> None:
        if index < self._seen:
            return
        if index > self._seen:
            raise AnswerError("a part of the answer is missing")
        self._seen += 1
        self._length += len(text)
        if not self.over_limit:
            self._parts.append(text)

    def _take_end(self, fields: dict) -> None:
        lengths = (_number(fields, "tokens"), _number(fields, "characters"))
        if lengths != (self._seen, self._length):
            raise AnswerError("the answer's lengths do not fit its terminal event")
        self.cancelled = _text(fields, "reason") == "cancelled" and not self.over_limit
        usage = Usage(
            prompt=_number(fields, "prompt_tokens"),
            cached=_number(fields, "cached_tokens"),
            generated=len(self._parts),
        )
        self.answer = Answer("".join(self._parts), usage)


def _number(fields: dict, name: str) -> int:
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise AnswerError(f"an event's {name} is not a number")
    return value


def _text(fields: dict, name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str):
        raise AnswerError(f"an event's {name} is not text")
    try:
        # JSON can spell half a surrogate pair. No link can carry it, so it would be lost on the way
        # with the link's other messages; it is refused here, for this attempt alone.
        value.encode()
    except UnicodeEncodeError as error:
        raise AnswerError(f"an event's {name} is not Unicode") from error
    return value


def _parse(event: bytes) -> tuple[str, dict]:
    kind, fields = "", None
    for line in event.decode(errors="replace").split("\n"):
        name, _, value = line.partition(": ")
        if name == "event":
            kind = value
        elif name == "data":
            fields = _parse_data(value)
    if fields is None:
        raise AnswerError("an event without data")
    return kind, fields


def _parse_data(text: str) -> dict:
    try:
        fields = json.loads(text)
    except ValueError as error:
        raise AnswerError(f"an event is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise AnswerError("an event is not an object")
    return fields
