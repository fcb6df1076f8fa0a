"""Validates request bodies against declared options and reports all findings at once."""

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
    Integer,
    MapOf,
    ModelPolicy,
    Text,
    escape_json_pointer,
)

MAX_TIMEOUT_MS = 3_600_000
DEFAULT_TIMEOUT_MS = 60_000
MAX_TOKENS = 10_000_000
DEFAULT_MODEL_TOKENS = 4_096
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
    """The body of `POST /v1/programs/ID/calls`, before defaults that depend on its kind."""

    seq: int
    kind: CallKind
    target: str
    body: str
    repeatable: bool | None
    max_tokens: int | None
    timeout_ms: int
    stream: bool


@dataclass(slots=True, frozen=True)
class BoundedText:
    """A non-empty string of at most `maximum` characters."""

    maximum: int = MAX_TEXT
    default: Any = Text().default

    def load(self, value: object, place: str) -> tuple[Any, list[Finding]]:
        """Check one value."""
        loaded, findings = Text().load(value, place)
        if loaded is None:
            return loaded, findings
        findings = _check_text(loaded, self.maximum, place)
        return (None if findings else loaded), findings

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {"type": "string", "minLength": 1, "maxLength": self.maximum}


@dataclass(slots=True, frozen=True)
class Payload:
    """The body of a call: a prompt as text, or any JSON value for a service."""

    default: Any = Text().default

    def load(self, value: object, place: str) -> tuple[Any, list[Finding]]:
        """Return the text to send; equal JSON objects give equal texts."""
        try:
            text = value if isinstance(value, str) else _canonical(value)
        except (ValueError, RecursionError):
            return None, [Finding(place, "is nested too deeply or contains a non-finite number")]
        findings = _check_text(text, MAX_BODY_CHARACTERS, place)
        return (None if findings else text), findings

    def schema(self) -> dict:
        """Return the JSON Schema of this option."""
        return {}


def _canonical(value: object) -> str:
    return json.dumps(value, sort_keys=True, allow_nan=False)


def _check_text(text: str, maximum: int, place: str) -> list[Finding]:
    if len(text) > maximum:
        return [Finding(place, f"longer than {maximum} characters")]
    try:
        text.encode()
    except UnicodeEncodeError:
        # JSON can express an unpaired surrogate, but it cannot be encoded for other processes.
        return [Finding(place, "contains an unpaired surrogate")]
    return []


def _check_open(request: OpenRequest, place: str) -> list[Finding]:
    findings = []
    for name in request.labels:
        findings.extend(_check_text(name, MAX_TEXT, f"{place}/labels/{escape_json_pointer(name)}"))
    return findings


def _check_call(request: CallRequest, place: str) -> list[Finding]:
    if request.kind is CallKind.MODEL and not request.body:
        return [Finding(f"{place}/body", "expected a non-empty prompt")]
    return []


OPEN_OPTIONS = Group(
    OpenRequest,
    {
        "model": BoundedText(default=None),
        "parent": BoundedText(default=None),
        "labels": MapOf(BoundedText(), default={}, max_items=MAX_LABELS, items="labels"),
    },
    check=_check_open,
)

CALL_OPTIONS = Group(
    CallRequest,
    {
        "seq": Integer(minimum=1, maximum=MAX_SEQ),
        "kind": Choice(("model", "service"), convert=CallKind),
        "target": BoundedText(),
        "body": Payload(),
        "repeatable": Flag(default=None),
        "max_tokens": Integer(default=None, maximum=MAX_TOKENS),
        "timeout_ms": Integer(DEFAULT_TIMEOUT_MS, minimum=1, maximum=MAX_TIMEOUT_MS),
        "stream": Flag(default=False),
    },
    check=_check_call,
)


def load_open(value: dict) -> OpenRequest:
    """Check the body of a request that opens a program."""
    return _load(OPEN_OPTIONS, value)


def load_seq(request_body: dict) -> int | None:
    """Return the `seq` of a call's body, or None where it has no valid one."""
    seq = request_body.get("seq")
    return seq if type(seq) is int and 0 < seq <= MAX_SEQ else None


def load_idempotency_key(value: str | None) -> str | None:
    """Check the `Idempotency-Key` header."""
    if value is None:
        return None
    findings = _check_text(value, MAX_TEXT, "Idempotency-Key")
    if findings:
        raise InputError(findings)
    return value


def load_call(value: dict, model_by_name: dict[str, ModelPolicy]) -> CallSpec:
    """Check the body of a call; `max_tokens` is limited by the target's model policy.

    A service call is not repeatable unless its caller says so: repeating one that should not be
    repeated could, for example, charge a customer twice.
    """
    request = _load(CALL_OPTIONS, value)
    is_model = request.kind is CallKind.MODEL
    tokens = request.max_tokens or 0
    if is_model:
        tokens = _model_tokens(request, model_by_name.get(request.target))
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


def _model_tokens(request: CallRequest, model: ModelPolicy | None) -> int:
    max_tokens = model.max_tokens if model is not None else MAX_TOKENS
    if request.max_tokens is None:
        return min(DEFAULT_MODEL_TOKENS, max_tokens)
    if not 1 <= request.max_tokens <= max_tokens:
        place = "/max_tokens"
        raise InputError(
            [Finding(place, f"expected a number from 1 to {max_tokens} for this model")]
        )
    return request.max_tokens


def _load(options: Group, value: dict) -> Any:
    made, findings = options.load(value)
    if findings:
        raise InputError(findings)
    return made
