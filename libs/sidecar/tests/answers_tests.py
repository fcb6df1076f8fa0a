"""Tests that a corrupted stream is never accepted as an answer."""

from __future__ import annotations

import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from tarragonhall_sidecar._answers import AnswerError, AnswerStream

WORDS = ["nuts", " in", " the", " sauce", " of", " tray", " 7"]
TEXT = "".join(WORDS)


def events(attempt: str = "p/1/1", words: list[str] = WORDS) -> list[bytes]:
    made = [("started", {})]
    made += [("token", {"index": at, "text": word}) for at, word in enumerate(words)]
    end = {"reason": "stop", "prompt_tokens": 1, "cached_tokens": 0, "tokens": len(words)}
    made.append(("done", end | {"characters": len("".join(words))}))
    return [
        f"event: {kind}\ndata: {json.dumps({'attempt': attempt} | fields)}\n\n".encode()
        for kind, fields in made
    ]


OTHER_ATTEMPT_EVENTS = events("other/1/1", ["peace", " be"])


def read(stream: AnswerStream, data: bytes, cuts: list[int]) -> str:
    """Feed the bytes in pieces and return the text forwarded before any error."""
    forwarded = ""
    bounds = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    try:
        for start, end in zip(bounds, bounds[1:], strict=False):
            forwarded += stream.feed(data[start:end])
    except AnswerError:
        stream.answer = None
    return forwarded


@given(st.data(), st.lists(st.integers(0, 10_000), max_size=8))
def test_a_corrupted_stream_gives_the_complete_answer_or_none(data, cuts):
    """An engine drops, repeats, reorders or mixes up events. The forwarded text must still be a
    prefix of the answer, and an answer is returned only if it is complete.
    """
    corrupted = list(events())
    for _ in range(data.draw(st.integers(0, 4))):
        at = data.draw(st.integers(0, len(corrupted) - 1))
        match data.draw(st.sampled_from(["drop", "repeat", "swap", "foreign"])):
            case "drop" if len(corrupted) > 1:
                del corrupted[at]
            case "repeat":
                corrupted.insert(at, corrupted[at])
            case "swap":
                corrupted[at], corrupted[0] = corrupted[0], corrupted[at]
            case "foreign":
                corrupted.insert(at, data.draw(st.sampled_from(OTHER_ATTEMPT_EVENTS)))
    stream = AnswerStream("p/1/1", max_tokens=100)
    forwarded = read(stream, b"".join(corrupted), cuts)
    assert TEXT.startswith(forwarded)
    assert stream.answer is None or stream.answer.text == TEXT == forwarded


@given(st.integers(1, len(WORDS)), st.lists(st.integers(0, 10_000), max_size=8))
@example(limit=1, cuts=[])
def test_no_token_beyond_the_limit_is_forwarded(limit, cuts):
    """An engine generates more tokens than the call's budget reserved."""
    stream = AnswerStream("p/1/1", max_tokens=limit)
    forwarded = read(stream, b"".join(events()), cuts)
    assert forwarded == stream.answer.text == "".join(WORDS[:limit])
    assert stream.answer.usage.generated == limit


@pytest.mark.parametrize(
    "fields",
    [
        {"index": "0", "text": "a"},
        {"index": True, "text": "a"},
        {"index": 0, "text": ["a"]},
        {"index": 0, "text": "\ud800"},
        {"index": 0},
    ],
)
def test_an_event_with_an_invalid_field_fails_only_its_attempt(fields):
    """A faulty engine sends half a surrogate pair, or a number as text. If forwarded, it could not
    be encoded or decoded, and the failure would close the link with the answers of other calls.
    """
    event = f"event: token\ndata: {json.dumps({'attempt': 'p/1/1'} | fields)}\n\n"
    with pytest.raises(AnswerError):
        AnswerStream("p/1/1", 10).feed(event.encode())
