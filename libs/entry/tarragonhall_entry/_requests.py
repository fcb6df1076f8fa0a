"""Bodies of callers' requests, checked with declared options: all findings at once."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from tarragonhall_model import (
    CallKind,
    CallSpec,
    Choice,
    Finding,
    Flag,
    Group,
    InputError,
    MapOf,
    Text,
    Whole,
)

MAX_TIMEOUT_MS = 3_600_000
DEFAULT_TIMEOUT_MS = 60_000
MAX_TOKENS = 10_000_000
MAX_SEQ = 1_000_000
MAX_LABELS = 32
MAX_TEXT = 256
MAX_BODY_CHARACTERS = 2_000_000


@dataclass(slots=True, frozen=True)
class OpenRequest:
    """The body of `POST /v1/programs`."""

    model: str | None
    parent: str | None
    labels: dict[str, str]


@dataclass(slots=True, frozen=True)
class CallRequest:
    """The body of `POST /v1/programs/ID/calls`, with nothing filled in yet."""

    seq: int
    kind: CallKind
    target: str
    body: str
    repeatable: bool | None
    max_tokens: int | None
    timeout_ms: int
    stream: bool


@dataclass(slots=True, frozen=True)
class Bounded:
    """A non-empty string of bounded length."""

    maximum: int = MAX_TEXT
    default: Any = Text().default

    def load(self, value: object, place: str) -> tuple[Any, list[Finding]]:
        """Check one value."""
        loaded, findings = Text().load(value, place)
        if loaded is not None and len(loaded) > self.maximum:
            return None, [Finding(place, f"longer than {self.maximum} characters")]
        return loaded, findings

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {"type": "string", "minLength": 1, "maxLength": self.maximum}


@dataclass(slots=True, frozen=True)
class Payload:
    """What a call carries: a prompt as text, or any JSON value for a service."""

    default: Any = Text().default

    def load(self, value: object, place: str) -> tuple[Any, list[Finding]]:
        """Return the text that travels; an object keeps one spelling however it was sent."""
        text = value if isinstance(value, str) else json.dumps(value, sort_keys=True)
        if len(text) > MAX_BODY_CHARACTERS:
            return None, [Finding(place, f"longer than {MAX_BODY_CHARACTERS} characters")]
        return text, []

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {}


def _check_open(made: OpenRequest, place: str) -> list[Finding]:
    if len(made.labels) > MAX_LABELS:
        return [Finding(f"{place}/labels", f"more than {MAX_LABELS} labels")]
    return []


def _check_call(made: CallRequest, place: str) -> list[Finding]:
    if made.kind is CallKind.MODEL and not made.body:
        return [Finding(f"{place}/body", "expected a non-empty prompt")]
    return []


OPEN_OPTIONS = Group(
    OpenRequest,
    {
        "model": Bounded(default=None),
        "parent": Bounded(default=None),
        "labels": MapOf(Bounded(), default={}),
    },
    check=_check_open,
)

CALL_OPTIONS = Group(
    CallRequest,
    {
        "seq": Whole(minimum=1, maximum=MAX_SEQ),
        "kind": Choice(("model", "service"), made=CallKind),
        "target": Bounded(),
        "body": Payload(),
        "repeatable": Flag(default=None),
        "max_tokens": Whole(default=None, maximum=MAX_TOKENS),
        "timeout_ms": Whole(DEFAULT_TIMEOUT_MS, minimum=1, maximum=MAX_TIMEOUT_MS),
        "stream": Flag(default=False),
    },
    check=_check_call,
)


def load_open(value: dict) -> OpenRequest:
    """Check the body of a request that opens a program."""
    return _load(OPEN_OPTIONS, value)


def load_call(value: dict, model_tokens: int) -> CallSpec:
    """Check the body of a call; `model_tokens` is the bound where the caller states none.

    A service call is taken as not repeatable unless its caller says so: a wrong guess the other way
    would charge somebody twice.
    """
    request = _load(CALL_OPTIONS, value)
    is_model = request.kind is CallKind.MODEL
    tokens = request.max_tokens
    if tokens is None:
        tokens = model_tokens if is_model else 0
    return CallSpec(
        seq=request.seq,
        kind=request.kind,
        target=request.target,
        body=request.body,
        repeatable=is_model if request.repeatable is None else request.repeatable,
        max_tokens=tokens,
        timeout_ms=request.timeout_ms,
        stream=request.stream,
    )


def _load(options: Group, value: dict) -> Any:
    made, findings = options.load(value)
    if findings:
        raise InputError(findings)
    return made
