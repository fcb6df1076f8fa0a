from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tarragonhall_model import (
    AttemptId,
    BackendRecord,
    Budget,
    CallKind,
    CallSpec,
    CodecError,
    Command,
    Dispatch,
    OpenProgram,
    OrganisationPolicy,
    PolicyDelta,
    Turn,
    decode,
    encode,
    from_plain,
    mutable_record,
    pack_records,
    unpack_records,
)

text = st.text(max_size=20)
specs = st.builds(
    CallSpec,
    seq=st.integers(1, 99),
    kind=st.sampled_from(CallKind),
    target=text,
    body=text,
    repeatable=st.booleans(),
)


@given(specs, st.lists(st.builds(Turn, text, text), max_size=3))
def test_a_record_survives_a_round_trip(spec, history):
    attempt = AttemptId("prog-1", spec.seq, 1, "engine-1", "life-1")
    message = Dispatch(attempt, "org-1", spec, history, priority=0, deadline_ms=100)
    assert decode(encode(message)) == message


def test_a_field_declared_as_object_accepts_any_record():
    body = OpenProgram("prog-1", "org-1", Budget(), 60, labels={"team": "routing"})
    command = Command("req-1", 5, body)
    assert decode(encode(command)) == command


def test_unknown_fields_of_a_newer_version_are_ignored():
    newer = ["Turn", {"prompt": "a", "answer": "b", "mood": "new"}]
    assert from_plain(newer) == Turn("a", "b")


def test_missing_fields_take_their_defaults():
    older = ["PolicyDelta", {"base": 0, "revision": 3}]
    assert from_plain(older) == PolicyDelta(0, 3, organisations=())


def test_optional_lists_of_records_are_decoded():
    delta = PolicyDelta(0, 1, organisations=(OrganisationPolicy("org-1", "/a"),))
    assert decode(encode(delta)) == delta


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff", b"\x01", encode(["Turn", {"prompt": 1, "answer": "b"}]), encode(["Nope", {}])],
)
def test_bytes_that_are_not_a_known_record_are_rejected(data):
    with pytest.raises(CodecError):
        decode(data)


@mutable_record
class Shelf:
    turn_by_number: dict[int, Turn]
    size: int = 0


def test_a_mutable_record_is_encoded_with_its_changes():
    shelf = Shelf({3: Turn("a", "b")})
    shelf.size = 7
    assert decode(encode(shelf)) == Shelf({3: Turn("a", "b")}, 7)


def test_packed_records_that_are_damaged_are_refused():
    # A table that was cut on its way must not count as an empty one.
    packed = pack_records([BackendRecord("i-1", "desk", "a:1", "z", 6, 1, 1)])
    assert unpack_records(packed)[0].server_id == "i-1"
    for damaged in (packed[:-4], b"", b"\x00" + packed, pack_records({})):
        with pytest.raises(CodecError):
            unpack_records(damaged)
