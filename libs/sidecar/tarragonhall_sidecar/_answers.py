"""Validates that an engine's event stream is the complete answer to one attempt.

An engine may mix up two streams, send a token twice or end early. The caller would then read
another caller's text, or half of its own, without an error. Every event names its attempt, every
token its index and the terminal event the total lengths; only text of consistent events is
forwarded.
"""

from __future__ import annotations

import json

from tarragonhall_model import Answer, TarragonhallError, Usage

# An event holds one token; a larger one violates the engine's protocol.
MAX_EVENT_BYTES = 64 * 1024
EVENT_SEPARATOR = b"\n\n"


class AnswerError(TarragonhallError):
    """The received data is not the complete answer to this attempt."""


class AnswerStream:
    """Parses and validates the engine's events for one attempt."""

    __slots__ = ("_attempt_key", "_buffer", "_character_count", "_max_tokens", "_parts",
                 "_token_count", "answer", "cancelled")  # fmt: skip

    def __init__(self, attempt_key: str, max_tokens: int) -> None:
        self._attempt_key = attempt_key
        self._max_tokens = max_tokens
        self._buffer = b""
        self._parts: list[str] = []
        self._token_count = 0
        self._character_count = 0
        self.answer: Answer | None = None
        self.cancelled = False

    @property
    def over_limit(self) -> bool:
        """Return whether the engine has generated more tokens than the call may use."""
        return self._token_count > self._max_tokens

    def feed(self, data: bytes) -> str:
        """Parse more bytes and return the new text; raise `AnswerError` if they are invalid."""
        self._buffer += data
        *events, self._buffer = self._buffer.split(EVENT_SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise AnswerError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        before = len(self._parts)
        for event in events:
            if self.answer is None:
                self._read_event(event)
        return "".join(self._parts[before:])

    def _read_event(self, event: bytes) -> None:
        kind, fields = _parse_event(event)
        if fields.get("attempt") != self._attempt_key:
            raise AnswerError("the engine sent an event of another attempt")
        if kind == "token":
            self._read_token(_int_field(fields, "index"), _text_field(fields, "text"))
        elif kind == "done":
            self._read_done(fields)

    def _read_token(self, index: int, text: str) -> None:
        if index < self._token_count:
            return
        if index > self._token_count:
            raise AnswerError("a token of the answer is missing")
        self._token_count += 1
        self._character_count += len(text)
        if not self.over_limit:
            self._parts.append(text)

    def _read_done(self, fields: dict) -> None:
        lengths = (_int_field(fields, "tokens"), _int_field(fields, "characters"))
        if lengths != (self._token_count, self._character_count):
            raise AnswerError("the answer's lengths differ from those in its terminal event")
        self.cancelled = _text_field(fields, "reason") == "cancelled" and not self.over_limit
        usage = Usage(
            prompt=_int_field(fields, "prompt_tokens"),
            cached=_int_field(fields, "cached_tokens"),
            generated=len(self._parts),
        )
        self.answer = Answer("".join(self._parts), usage)


def _int_field(fields: dict, name: str) -> int:
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise AnswerError(f"an event's {name} is not an integer")
    return value


def _text_field(fields: dict, name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str):
        raise AnswerError(f"an event's {name} is not a string")
    try:
        # JSON can encode half a surrogate pair, which a link cannot encode: it would be lost
        # together with the link's other messages. Rejecting it here fails only this attempt.
        value.encode()
    except UnicodeEncodeError as error:
        raise AnswerError(f"an event's {name} is not valid Unicode") from error
    return value


def _parse_event(event: bytes) -> tuple[str, dict]:
    kind, fields = "", None
    for line in event.decode(errors="replace").split("\n"):
        name, _, value = line.partition(": ")
        if name == "event":
            kind = value
        elif name == "data":
            fields = _parse_data(value)
    if fields is None:
        raise AnswerError("an event has no data")
    return kind, fields


def _parse_data(text: str) -> dict:
    try:
        fields = json.loads(text)
    except ValueError as error:
        raise AnswerError(f"an event's data is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise AnswerError("an event's data is not a JSON object")
    return fields
