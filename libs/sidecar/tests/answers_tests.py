"""No mangled stream is ever taken for an answer."""

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


OTHERS = events("other/1/1", ["peace", " be"])


def read(stream: AnswerStream, data: bytes, cuts: list[int]) -> str:
    """Feed the bytes in pieces and return the text passed on, up to an error."""
    passed = ""
    bounds = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    try:
        for start, end in zip(bounds, bounds[1:], strict=False):
            passed += stream.feed(data[start:end])
    except AnswerError:
        stream.answer = None
    return passed


@given(st.data(), st.lists(st.integers(0, 10_000), max_size=8))
def test_a_mangled_stream_gives_the_whole_answer_or_none(data, cuts):
    """Engines lose, repeat, swap and mix up the parts of their streams. Whatever comes, a caller
    reads the true words in their order, and hears of an answer only if it is whole.
    """
    mangled = list(events())
    for _ in range(data.draw(st.integers(0, 4))):
        at = data.draw(st.integers(0, len(mangled) - 1))
        match data.draw(st.sampled_from(["drop", "repeat", "swap", "foreign"])):
            case "drop" if len(mangled) > 1:
                del mangled[at]
            case "repeat":
                mangled.insert(at, mangled[at])
            case "swap":
                mangled[at], mangled[0] = mangled[0], mangled[at]
            case "foreign":
                mangled.insert(at, data.draw(st.sampled_from(OTHERS)))
    stream = AnswerStream("p/1/1", max_tokens=100)
    passed = read(stream, b"".join(mangled), cuts)
    assert TEXT.startswith(passed)
    assert stream.answer is None or stream.answer.text == TEXT == passed


@given(st.integers(1, len(WORDS)), st.lists(st.integers(0, 10_000), max_size=8))
@example(limit=1, cuts=[])
def test_no_token_beyond_the_limit_is_passed_on(limit, cuts):
    """An engine generates more than the call's budget reserved."""
    stream = AnswerStream("p/1/1", max_tokens=limit)
    passed = read(stream, b"".join(events()), cuts)
    assert passed == stream.answer.text == "".join(WORDS[:limit])
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
def test_an_event_of_the_wrong_shape_ends_its_attempt_and_nothing_else(fields):
    """An engine has a bug and sends half a character, or a number as text. Passed on, it could not
    be encoded or decoded further on, and would take down the link with the answers of others.
    """
    event = f"event: token\ndata: {json.dumps({'attempt': 'p/1/1'} | fields)}\n\n"
    with pytest.raises(AnswerError):
        AnswerStream("p/1/1", 10).feed(event.encode())
