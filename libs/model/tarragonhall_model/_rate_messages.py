"""Messages between entries on the rate and burst of an organisation over all of them.

A link carries these records both ways. A request and its reply are matched by the link itself, so
the records carry no correlation ids. What a handler returns for a request is the reply.
"""

from __future__ import annotations

from tarragonhall_model._codec import record


@record
class TakeTokens:
    """Ask the owner of an organisation's bucket for a slice. Reply: `TokensGranted` or
    `NotOwner`. `holder` is the asking entry's id and incarnation. `finished` names earlier slices
    of which nothing is left to spend. `patience_ms` is after which time the first of its calls
    gives up, where one of a program under way waits.
    """

    org_id: str
    holder: str
    wanted: float
    view_epoch: int
    finished: tuple[str, ...] = ()
    patience_ms: int | None = None


@record
class TokensGranted:
    """A slice of tokens, to be spent within `valid_ms` of the instant the request was sent.

    `retry_after_ms` says when more are expected, where fewer than wanted were given. `backlog` is
    how many tokens the other holders wait for. `slice_id` names the slice in later messages.
    """

    org_id: str
    tokens: float
    valid_ms: int
    retry_after_ms: int = 0
    slice_id: str = ""
    backlog: float = 0.0


@record
class NotOwner:
    """The entry asked does not own this bucket in its view, or may not grant from it yet."""

    view_epoch: int
    retry_after_ms: int


@record
class ReturnTokens:
    """End a slice: `tokens` of it were not spent and go back; the rest was spent."""

    org_id: str
    holder: str
    tokens: float
    slice_id: str = ""


@record
class HandOver:
    """The owner of a bucket hands it to the next, after the entries changed to `entries_version`.

    `tokens` is its level, `outstanding` what is granted in slices that have not ended yet.
    """

    org_id: str
    tokens: float
    entries_version: int
    outstanding: float = 0.0
