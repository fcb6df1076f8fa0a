from __future__ import annotations

import pytest
from tarragonhall_entry._attempts import AnswerStream, AttemptTable, Watched
from tarragonhall_model import Answer, AttemptEnded, AttemptId, AttemptOutcome, Chunk

ATTEMPT = AttemptId("prog-1", 1, 1, "engine-1", "life")
LINK = object()


def watch(table: AttemptTable) -> tuple[list, list]:
    texts, ends = [], []
    table.watch(Watched(ATTEMPT, texts.append, ends.append, link=LINK))
    return texts, ends


def chunk(index: int, text: str) -> Chunk:
    return Chunk(ATTEMPT.key, index, text)


def answered(text: str) -> AttemptEnded:
    return AttemptEnded(ATTEMPT, AttemptOutcome.ANSWERED, Answer(text))


def test_doubled_parts_are_passed_on_once_and_none_behind_a_gap():
    # A part is lost with a link that broke. Parts behind it would read as a whole answer with a
    # hole in it.
    table = AttemptTable()
    texts, ends = watch(table)
    for index, text in ((0, "do"), (0, "do"), (1, "not "), (3, "deliver")):
        table.chunk(LINK, chunk(index, text))
    assert texts == ["do", "not "]
    table.ended(answered("donot ring, deliver"))
    assert ends[0].answer.text == "donot ring, deliver"


@pytest.mark.parametrize("text", ["someone else's", "to", "today and more"])
def test_an_answer_that_differs_from_its_parts_is_not_passed_on(text):
    # A server mixes up two answers at the end, or cuts one off. The caller has already read the
    # beginning of another text.
    table = AttemptTable()
    _texts, ends = watch(table)
    table.chunk(LINK, chunk(0, "to"))
    table.chunk(LINK, chunk(1, "day"))
    table.ended(answered(text))
    assert ends[0].outcome is AttemptOutcome.FAILED
    assert table.contradicted == 1


def test_an_answer_without_a_text_is_no_answer():
    table = AttemptTable()
    _texts, ends = watch(table)
    table.ended(AttemptEnded(ATTEMPT, AttemptOutcome.ANSWERED))
    assert ends[0].outcome is AttemptOutcome.FAILED


def test_parts_from_another_link_or_attempt_reach_nobody():
    table = AttemptTable()
    texts, ends = watch(table)
    table.chunk(object(), chunk(0, "stray"))
    table.chunk(LINK, Chunk("prog-2/1/1", 0, "stray"))
    other = AttemptId("prog-1", 1, 1, "engine-1", "another life")
    assert not table.ended(AttemptEnded(other, AttemptOutcome.ANSWERED, Answer("stray")))
    assert (texts, ends, table.unmatched) == ([], [], 3)


def test_a_broken_stream_still_shows_an_answer_with_another_beginning():
    stream = AnswerStream()
    stream.add(chunk(0, "to"))
    stream.add(chunk(2, "late"))
    assert stream.contradicts(answered("someone else's"))
    assert not stream.contradicts(answered("today, late"))
