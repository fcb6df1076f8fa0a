"""Messages between entries that share the rate and burst of an organisation.

A link carries these records both ways. The link matches each reply to its request, so the records
carry no correlation ids. The value that a handler returns for a request is the reply.
"""

from __future__ import annotations

from tarragonhall_model._codec import record


@record
class TakeTokens:
    """Request a slice of tokens from the owner of an organisation's token bucket.

    Reply: `TokensGranted` or `NotOwner`. `holder` is the id and incarnation of the requesting
    entry. `finished` names earlier slices that are fully used. `patience_ms` is the time until the
    first of its queued calls times out; it is set if a call of a program in progress is queued.
    """

    org_id: str
    holder: str
    wanted: float
    view_epoch: int
    finished: tuple[str, ...] = ()
    patience_ms: int | None = None


@record
class TokensGranted:
    """A slice of tokens that expires `valid_ms` after the request was sent.

    `retry_after_ms` is the time until more are expected, if fewer than wanted were granted.
    `backlog` is how many tokens other holders wait for. `slice_id` names the slice in later
    messages.
    """

    org_id: str
    tokens: float
    valid_ms: int
    retry_after_ms: int = 0
    slice_id: str = ""
    backlog: float = 0.0


@record
class NotOwner:
    """The receiver does not own this bucket in its view, or may not grant from it yet."""

    view_epoch: int
    retry_after_ms: int


@record
class ReturnTokens:
    """End a slice: `tokens` of it are returned unused; the rest was used."""

    org_id: str
    holder: str
    tokens: float
    slice_id: str = ""


@record
class HandOver:
    """Transfers a bucket to its next owner after the entries changed to `entries_version`.

    `tokens` is its level, `outstanding` the tokens granted in slices that have not ended yet.
    """

    org_id: str
    tokens: float
    entries_version: int
    outstanding: float = 0.0
