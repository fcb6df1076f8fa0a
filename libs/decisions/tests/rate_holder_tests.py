"""For how long a call waits for a token at one entry."""

from __future__ import annotations

from tarragonhall_decisions import Deadline, RateRefused
from tarragonhall_decisions._rate_holder import RUN_MARGIN, Holder
from tarragonhall_model import Rate, TokensGranted

RUN_S = 0.05
LEFT_S = 1.5


def dry_holder(backlog: float) -> Holder:
    """Return the holder of an empty bucket of five calls a second, with calls of others ahead."""
    made = Holder(Rate(5.0, 5.0))
    made.on_reply(TokensGranted("shop", 0.0, 500, 200, "", backlog), "entry-1", 0.0, 0.0)
    return made


def test_a_short_call_under_way_waits_while_its_run_still_fits():
    # Guards against a burst of tool calls that ends a program of eleven turns with a 429, although
    # the token was there well before the caller gives up.
    made = dry_holder(backlog=4.0)
    assert made.offer("call-1", Deadline(LEFT_S), True, 0.0, RUN_S) is None
    assert made.waiting[0].give_up_at == LEFT_S - RUN_MARGIN * RUN_S


def test_a_call_whose_run_would_not_fit_any_more_is_refused_at_once():
    # Guards against callers that are held although their token cannot come in time.
    made = dry_holder(backlog=8.0)
    assert isinstance(made.offer("call-1", Deadline(LEFT_S), True, 0.0, RUN_S), RateRefused)


def test_a_call_that_begins_a_program_waits_no_longer_for_being_short():
    made = dry_holder(backlog=4.0)
    assert isinstance(made.offer("call-1", Deadline(LEFT_S), False, 0.0, RUN_S), RateRefused)


def test_a_long_call_leaves_half_of_its_time_to_run():
    made = dry_holder(backlog=0.0)
    assert made.offer("call-1", Deadline(LEFT_S), True, 0.0, 0.9) is None
    assert made.waiting[0].give_up_at == LEFT_S / 2


def test_calls_under_way_wait_in_the_order_in_which_they_give_up():
    # Guards against look-ups of a second and a half that are lost behind turns that have five.
    made = dry_holder(backlog=0.0)
    assert made.offer("start", Deadline(5.0), False, 0.0) is None
    assert made.offer("turn", Deadline(5.0), True, 0.0) is None
    assert made.offer("look-up", Deadline(LEFT_S), True, 0.0, RUN_S) is None
    assert [call.call_id for call in made.waiting] == ["look-up", "turn", "start"]
    assert made.patience_ms(0.0) == 1_300


def test_calls_that_begin_programs_say_nothing_of_their_patience():
    made = dry_holder(backlog=0.0)
    assert made.patience_ms(0.0) is None
    made.offer("start", Deadline(5.0), False, 0.0)
    assert made.patience_ms(0.0) is None
