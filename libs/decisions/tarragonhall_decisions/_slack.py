"""How much time a program has to spare: the time until it should end, less what it still needs.

Load pattern: calls of many programs wait for the same servers. Some programs have seconds to spare,
others are late already, and a few never end. In order of arrival, programs with little time wait
behind those that could have waited.

What a program still needs is learnt for each kind (in the relay, the route). Of every hundred turns
that arrive, the shares of first, second and later turns tell how many programs go on after each
turn, so that no end of a program has to be seen. The turns of a program arrive at several entries;
its turns so far follow from the length of its history. A caller sets a program's time by what the
program has to do, so that one that was seen from its first turn on has its own expected length.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

# Turns that are told apart; later ones count as the last.
MAX_TURNS = 64
# Turns of a kind after which all counts are halved: they follow a change within some thousand
# turns.
HALVE_AFTER = 2_000.0
# Programs whose turns are counted; the ones that were seen least recently are forgotten.
MAX_PROGRAMS = 2_048
# Weight of a new duration or length in the moving means.
SMOOTHING = 0.05
# First turns of a kind after which its learnt rest is used.
MIN_PROGRAMS = 10.0
# Seconds after the first program of a kind until its turns are known, where callers give no time:
# before most programs have ended, each would look short.
MATURE_AFTER_S = 10.0
# A program counts as endless beyond this many times the mean turns of its kind, and `ENDLESS_TURNS`
# more: few programs that end are as long.
ENDLESS_FACTOR = 3.0
ENDLESS_TURNS = 6


@dataclass(slots=True)
class _Mean:
    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        self.value += max(SMOOTHING, 1.0 / self.count) * (value - self.value)


@dataclass(slots=True)
class _Kind:
    """What is learnt of one kind; lengths are in tokens of the prompt, durations in seconds.

    `time_s` is the time that callers give a program in all. `is_mature` says that the first
    programs have had time to end.
    """

    turns: list[float] = field(default_factory=lambda: [0.0] * MAX_TURNS)
    first_length: _Mean = field(default_factory=_Mean)
    growth: _Mean = field(default_factory=_Mean)
    run_s: _Mean = field(default_factory=_Mean)
    pause_s: _Mean = field(default_factory=_Mean)
    time_s: _Mean = field(default_factory=_Mean)
    total: float = 0.0
    first_at: float | None = None
    is_mature: bool = False

    def add_turn(self, turn: int) -> None:
        self.turns[turn] += 1.0
        self.total += 1.0
        if self.total > HALVE_AFTER:
            self.turns = [count / 2 for count in self.turns]
            self.total /= 2

    def mean_turns(self) -> float:
        """Return the turns of a mean program."""
        return self.total / self.turns[0]

    def duration_s(self, turns: float) -> float:
        """Return how long a number of turns takes, with the pauses between them."""
        return turns * self.run_s.value + (turns - 1.0) * self.pause_s.value

    def is_learnt(self) -> bool:
        return self.is_mature and self.turns[0] >= MIN_PROGRAMS and self.run_s.count > 0

    def update_age(self, now: float) -> None:
        if self.first_at is None:
            self.first_at = now
        needed_s = self.time_s.value if self.time_s.count else MATURE_AFTER_S
        self.is_mature = self.is_mature or now - self.first_at >= needed_s

    def rest_turns(self, turn: int) -> float:
        """Return how many turns are expected to follow, with this one.

        Where few turns have come so far, each program is expected to go on as an average one.
        """
        if not self.turns[turn]:
            return 1.0
        return max(1.0, sum(self.turns[turn:]) / self.turns[turn])


@dataclass(slots=True)
class _Program:
    """A program that this entry has seen; `time_s` is None unless its first turn came here."""

    length: int
    turns: int = 1
    time_s: float | None = None
    ended_at: float | None = None


class ProgramSlack:
    """What the programs of one entry need until their end; times are monotonic seconds."""

    __slots__ = ("_kind_by_name", "_program_by_id")

    def __init__(self) -> None:
        self._kind_by_name: dict[str, _Kind] = {}
        self._program_by_id: OrderedDict[str, _Program] = OrderedDict()

    def turn_of(self, kind: str, program_id: str, is_first: bool, length: int) -> int:
        """Return how many turns a program has had before the call; `length` is of its prompt."""
        if is_first:
            return 0
        seen = self._program_by_id.get(program_id)
        turn = max(1, seen.turns if seen is not None else 0)
        learnt = self._kind_by_name.get(kind)
        if learnt is not None and learnt.growth.value >= 1.0:
            by_length = (length - learnt.first_length.value) / learnt.growth.value
            turn = max(turn, round(by_length))
        return min(turn, MAX_TURNS - 1)

    def arrived(
        self, kind: str, program_id: str, turn: int, length: int, left_s: float | None, now: float
    ) -> None:
        """Record a turn that may run.

        `turn` is the number of turns before it, and `left_s` the time until its program should end.
        """
        learnt = self._kind_by_name.setdefault(kind, _Kind())
        learnt.update_age(now)
        if not self.is_endless(kind, turn):
            learnt.add_turn(turn)
        if not turn:
            learnt.first_length.add(length)
            if left_s is not None:
                learnt.time_s.add(left_s)
        if not program_id:
            return
        seen = self._program_by_id.get(program_id)
        if seen is None:
            time_s = left_s if not turn else None
            self._program_by_id[program_id] = _Program(length, turn + 1, time_s)
            if len(self._program_by_id) > MAX_PROGRAMS:
                self._program_by_id.popitem(last=False)
            return
        self._program_by_id.move_to_end(program_id)
        turns_between = 1
        if length > seen.length:
            if learnt.growth.value >= 1.0:
                # Turns in between went to other entries.
                turns_between = max(1, round((length - seen.length) / learnt.growth.value))
            learnt.growth.add((length - seen.length) / turns_between)
        if seen.ended_at is not None and turns_between == 1:
            learnt.pause_s.add(max(0.0, now - seen.ended_at))
        seen.turns = max(turn, seen.turns) + 1
        seen.length = length
        seen.ended_at = None

    def ended(self, kind: str, program_id: str, run_s: float, now: float) -> None:
        """Record that a turn was answered, `run_s` after it first waited for a slot."""
        learnt = self._kind_by_name.setdefault(kind, _Kind())
        learnt.run_s.add(run_s)
        seen = self._program_by_id.get(program_id)
        if seen is not None:
            seen.ended_at = now

    def rest_s(self, kind: str, program_id: str, turn: int) -> float | None:
        """Return how long a program is expected to take from this turn on; None if not known."""
        learnt = self._kind_by_name.get(kind)
        if learnt is None or not learnt.is_learnt():
            return None
        seen = self._program_by_id.get(program_id)
        if seen is None or seen.time_s is None or not learnt.time_s.value:
            return learnt.duration_s(learnt.rest_turns(turn))
        own_turns = learnt.mean_turns() * seen.time_s / learnt.time_s.value
        return learnt.duration_s(max(1.0, own_turns - turn))

    def slack_s(self, kind: str, program_id: str, turn: int, left_s: float) -> float | None:
        """Return the time that a program has to spare, negative if it will be late.

        `left_s` is the time until it should end. None if the rest is not known.
        """
        learnt = self._kind_by_name.get(kind)
        if not turn and learnt is not None and learnt.is_learnt() and learnt.time_s.value:
            needed = learnt.duration_s(learnt.mean_turns()) / learnt.time_s.value
            return left_s * max(0.0, 1.0 - needed)
        rest_s = self.rest_s(kind, program_id, turn)
        return None if rest_s is None else left_s - rest_s

    def allowed_s(self, kind: str) -> float | None:
        """Return how long a turn of a mean program may take without making it late.

        None if that is not known.
        """
        learnt = self._kind_by_name.get(kind)
        if learnt is None or not learnt.is_learnt() or not learnt.time_s.count:
            return None
        turns = learnt.mean_turns()
        pauses_s = (turns - 1.0) * learnt.pause_s.value
        return max(0.0, (learnt.time_s.value - pauses_s) / turns)

    def is_endless(self, kind: str, turn: int) -> bool:
        """Return whether a program has had many more turns than its kind usually has."""
        learnt = self._kind_by_name.get(kind)
        if learnt is None or not learnt.is_learnt():
            return False
        return turn > ENDLESS_FACTOR * learnt.mean_turns() + ENDLESS_TURNS
