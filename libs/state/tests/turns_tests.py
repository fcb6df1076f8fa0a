"""Stored turns and token budgets: guarantees to callers under any sequence of commands."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from tarragonhall_model import (
    BudgetSpent,
    EndTurn,
    KeepTurn,
    RefusalCode,
    ReserveTurn,
    TurnCommand,
    TurnEnded,
    TurnRecorded,
    TurnReserved,
    UnknownTurn,
    encode,
)
from tarragonhall_state import RETENTION_SLACK_MS, TurnRoom, TurnState, turn_bytes

RETENTION_MS = 60_000


class Stores:
    """A state machine with a clock that the test controls."""

    def __init__(self) -> None:
        self.state = TurnState()
        self.now_ms = 0
        self.index = 0

    def apply(self, body: object) -> object:
        self.index += 1
        return self.state.apply(self.index, encode(TurnCommand(self.now_ms, body)))

    def reserve(self, attempt, max_tokens=100, budget=1_000, previous=None, org="org", program="p"):
        return self.apply(
            ReserveTurn(attempt, org, program, budget, max_tokens, previous, RETENTION_MS)
        )

    def keep(self, attempt, used=50, previous=None, org="org", program="p"):
        text = attempt.encode()
        return self.apply(
            KeepTurn(attempt, org, program, previous, text, text + b"!", used, "i-1", RETENTION_MS)
        )

    def end(self, attempt, used=0, org="org", program="p"):
        return self.apply(EndTurn(attempt, org, program, used, RETENTION_MS))


def test_a_chain_is_returned_oldest_first():
    stores = Stores()
    stores.keep("a")
    stores.keep("b", previous="a")
    stores.keep("c", previous="b")
    assert stores.reserve("d", previous="c") == TurnReserved(["a", "b", "c"], "i-1", 9)
    assert [one.input for one in stores.state.content("org", ["a", "c"])] == [b"a", b"c"]


def test_a_turn_of_another_organisation_is_unknown():
    # Otherwise one customer could detect or read the conversations of another.
    stores = Stores()
    stores.keep("a", org="org")
    assert stores.reserve("b", previous="a", org="other") == UnknownTurn()


def test_organisations_may_use_the_same_ids():
    # The turn of the second one was reported as stored and was not; its entry kept the text of it
    # for the first one's next prompt.
    stores = Stores()
    stores.keep("a", org="org")
    assert stores.reserve("b", previous="a", org="other") == UnknownTurn()
    stores.apply(KeepTurn("a", "other", "p", None, b"in", b"out", 1, "i-2", RETENTION_MS))
    stores.keep("b", org="org", previous="a")
    assert stores.reserve("c", previous="b", org="org") == TurnReserved(["a", "b"], "i-1", 6)
    assert stores.reserve("c", previous="a", org="other") == TurnReserved(["a"], "i-2", 5)
    assert [one.input for one in stores.state.content("org", ["a"])] == [b"a"]
    assert [one.input for one in stores.state.content("other", ["a"])] == [b"in"]
    restored = TurnState()
    restored.restore(stores.state.snapshot())
    assert restored.turn_by_key == stores.state.turn_by_key


def test_a_second_turn_of_the_same_id_is_not_reported_as_stored():
    # A client used an id twice; the later turn was answered whole and lost.
    stores = Stores()
    stores.keep("a")
    assert stores.keep("a") == TurnRecorded()
    other = KeepTurn("a", "org", "p", None, b"other", b"out", 1, "i-1", RETENTION_MS)
    assert stores.apply(other).code is RefusalCode.CONFLICT


def test_running_turns_count_with_their_reservations():
    # Two sub-agents request the rest of the budget at once. If only generated tokens counted, both
    # would run and the program would exceed its budget.
    stores = Stores()
    assert isinstance(stores.reserve("a", max_tokens=600), TurnReserved)
    assert stores.reserve("b", max_tokens=600) == BudgetSpent()
    stores.end("a", used=100)
    assert isinstance(stores.reserve("b", max_tokens=600), TurnReserved)


def test_a_turn_that_never_ran_costs_nothing():
    stores = Stores()
    stores.reserve("a", max_tokens=1_000)
    stores.end("a", used=0)
    assert isinstance(stores.reserve("b", max_tokens=1_000), TurnReserved)


def test_a_reservation_that_arrives_after_the_end_is_not_made():
    # The reservation was delayed; the entry timed out and ended the turn. If it were made now, it
    # would never be released, and the program would be refused while its budget still has tokens.
    stores = Stores()
    stores.end("a", used=0)
    assert stores.reserve("a", max_tokens=1_000) == TurnEnded()
    assert isinstance(stores.reserve("b", max_tokens=1_000), TurnReserved)


def test_repeated_commands_count_once():
    stores = Stores()
    stores.reserve("a", max_tokens=400)
    stores.reserve("a", max_tokens=400)
    assert stores.keep("a", used=300) == TurnRecorded()
    assert stores.keep("a", used=300) == TurnRecorded()
    assert stores.state.program_by_key[("org", "p")].spent_or_reserved() == 300


def test_a_chain_is_retained_as_long_as_its_newest_turn():
    # A caller keeps continuing a conversation whose first turn is older than the retention.
    stores = Stores()
    stores.keep("a")
    stores.now_ms = RETENTION_MS - 1
    stores.keep("b", previous="a")
    stores.now_ms = 2 * RETENTION_MS - 2
    assert stores.reserve("c", previous="b") == TurnReserved(["a", "b"], "i-1", 6)
    stores.now_ms = 3 * RETENTION_MS + 2 * RETENTION_SLACK_MS
    assert stores.reserve("d", previous="b") == UnknownTurn()
    assert stores.state.turn_by_key == {}


def test_an_exhausted_budget_is_still_exhausted_after_a_pause():
    stores = Stores()
    stores.reserve("a", max_tokens=1_000)
    stores.end("a", used=1_000)
    stores.now_ms = RETENTION_MS
    assert stores.reserve("b", max_tokens=1) == BudgetSpent(1_000)


NAMES = st.sampled_from(["a", "b", "c", "d", "e"])
COMMANDS = st.one_of(
    st.tuples(st.just("reserve"), NAMES, st.integers(1, 500)),
    st.tuples(st.just("keep"), NAMES, st.integers(0, 500)),
    st.tuples(st.just("end"), NAMES, st.integers(0, 500)),
    st.tuples(st.just("wait"), NAMES, st.integers(0, 40_000)),
)


def run_command(stores: Stores, command: tuple) -> object:
    kind, name, number = command
    match kind:
        case "reserve":
            return stores.reserve(name, max_tokens=number)
        case "keep":
            return stores.keep(name, used=number)
        case "end":
            return stores.end(name, used=number)
    stores.now_ms += number
    return None


@given(st.lists(COMMANDS, max_size=40), st.integers(0, 40))
def test_a_member_restored_from_a_snapshot_returns_the_same_results(commands, cut):
    # A member that fell behind is restored from a snapshot. If it returned different results from
    # then on, a program's budget or history would depend on which member leads.
    straight = Stores()
    restored = Stores()
    for number, command in enumerate(commands):
        if number == cut:
            copy = TurnState()
            copy.restore(restored.state.snapshot())
            restored.state = copy
        assert run_command(straight, command) == run_command(restored, command)
    assert straight.state.snapshot() == restored.state.snapshot()


@given(st.lists(COMMANDS, max_size=60))
def test_reservations_never_exceed_the_budget(commands):
    stores = Stores()
    spent_by_attempt: dict[str, int] = {}
    for command in commands:
        kind, name, number = command
        if kind in ("keep", "end"):
            # An entry never uses more tokens than it reserved.
            tokens = stores.state.program_by_key.get(("org", "p"))
            reserved = tokens.reserved_by_attempt.get(name, 0) if tokens is not None else 0
            command = (kind, name, min(number, reserved))
            spent_by_attempt.setdefault(name, command[2])
        run_command(stores, command)
        tokens = stores.state.program_by_key.get(("org", "p"))
        assert tokens is None or tokens.spent_or_reserved() <= 1_000


def test_what_turns_take_is_counted_until_they_expire():
    # Without the count, nothing could tell a store that its turns fill its memory.
    stores = Stores()
    stores.keep("a", org="org")
    stores.keep("b", org="other")
    stores.keep("b", org="other")
    size = turn_bytes(3)
    assert stores.state.held_bytes == 2 * size
    assert stores.state.held_bytes_by_org == {"org": size, "other": size}
    restored = TurnState()
    restored.restore(stores.state.snapshot())
    assert restored.held_bytes_by_org == stores.state.held_bytes_by_org
    stores.now_ms = 2 * RETENTION_MS
    stores.end("c")
    assert (stores.state.held_bytes, stores.state.held_bytes_by_org) == (0, {})


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 400_000)), max_size=60))
def test_turns_never_take_more_than_their_room_and_leave_a_part_of_it_to_others(turns):
    # Turns of one organisation filled the memory of all stores, and those of all others were lost.
    room = TurnRoom(4_000_000)
    held_by_org = dict.fromkeys(range(4), 0)
    for org, size in turns:
        held = sum(held_by_org.values())
        if room.has_room(size, held, held_by_org[org]):
            held_by_org[org] += size
        elif held_by_org[org] + size <= size:
            # An organisation that holds nothing is refused only if nothing is left.
            assert held + size > room.total_bytes or size > (held + size) / 2
        assert sum(held_by_org.values()) <= room.total_bytes
