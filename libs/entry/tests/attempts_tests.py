from __future__ import annotations

import pytest
from tarragonhall_entry._attempts import AnswerStream, AttemptTable, WatchedAttempt
from tarragonhall_model import Answer, AttemptEnded, AttemptId, AttemptOutcome, Chunk

ATTEMPT = AttemptId("prog-1", 1, 1, "engine-1", "life")
LINK = object()


def watch(table: AttemptTable) -> tuple[list, list]:
    texts, ends = [], []
    table.watch(WatchedAttempt(ATTEMPT, texts.append, ends.append, link=LINK))
    return texts, ends


def chunk(index: int, text: str) -> Chunk:
    return Chunk(ATTEMPT.key, index, text)


def answered(text: str) -> AttemptEnded:
    return AttemptEnded(ATTEMPT, AttemptOutcome.ANSWERED, Answer(text))


def test_duplicate_chunks_are_passed_on_once_and_chunks_behind_a_gap_not_at_all():
    # A chunk is lost with a broken link. With the following ones the caller would read a text with
    # a hole in it.
    table = AttemptTable()
    texts, ends = watch(table)
    for index, text in ((0, "do"), (0, "do"), (1, "not "), (3, "deliver")):
        table.on_chunk(LINK, chunk(index, text))
    assert texts == ["do", "not "]
    table.on_ended(answered("donot ring, deliver"))
    assert ends[0].answer.text == "donot ring, deliver"


@pytest.mark.parametrize("text", ["someone else's", "to", "today and more"])
def test_an_answer_that_differs_from_its_chunks_is_not_passed_on(text):
    # A server ends a stream with the text of another answer, or with a truncated one. The caller
    # has already read chunks that differ.
    table = AttemptTable()
    _texts, ends = watch(table)
    table.on_chunk(LINK, chunk(0, "to"))
    table.on_chunk(LINK, chunk(1, "day"))
    table.on_ended(answered(text))
    assert ends[0].outcome is AttemptOutcome.FAILED
    assert table.contradicted == 1


def test_an_end_without_an_answer_counts_as_failed():
    table = AttemptTable()
    _texts, ends = watch(table)
    table.on_ended(AttemptEnded(ATTEMPT, AttemptOutcome.ANSWERED))
    assert ends[0].outcome is AttemptOutcome.FAILED


def test_chunks_and_ends_of_other_links_or_attempts_are_dropped():
    table = AttemptTable()
    texts, ends = watch(table)
    table.on_chunk(object(), chunk(0, "stray"))
    table.on_chunk(LINK, Chunk("prog-2/1/1", 0, "stray"))
    other = AttemptId("prog-1", 1, 1, "engine-1", "another incarnation")
    assert not table.on_ended(AttemptEnded(other, AttemptOutcome.ANSWERED, Answer("stray")))
    assert (texts, ends, table.unmatched) == ([], [], 3)


def test_a_stream_with_a_gap_still_reveals_an_answer_with_another_beginning():
    stream = AnswerStream()
    stream.add(chunk(0, "to"))
    stream.add(chunk(2, "late"))
    assert stream.contradicts(answered("someone else's"))
    assert not stream.contradicts(answered("today, late"))
