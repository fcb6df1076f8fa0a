"""How long a call waits for a token at one entry."""

from __future__ import annotations

from tarragonhall_decisions import Deadline, RateRefused
from tarragonhall_decisions._rate_holder import RUN_MARGIN, Holder
from tarragonhall_model import Rate, TokensGranted

RUN_S = 0.05
LEFT_S = 1.5


def exhausted_holder(backlog: float) -> Holder:
    """Return the holder of an exhausted bucket of five calls a second."""
    holder = Holder(Rate(5.0, 5.0))
    holder.on_reply(TokensGranted("shop", 0.0, 500, 200, "", backlog), "entry-1", 0.0, 0.0)
    return holder


def test_short_call_of_a_started_program_waits_while_its_run_still_fits():
    # Guards against a burst of tool calls that ends a long program with a 429 although the token
    # would come well before the caller times out.
    holder = exhausted_holder(backlog=4.0)
    assert holder.offer("call-1", Deadline(LEFT_S), True, 0.0, RUN_S) is None
    assert holder.waiting[0].times_out_at == LEFT_S - RUN_MARGIN * RUN_S


def test_call_whose_run_would_no_longer_fit_is_refused_at_once():
    # Guards against queueing callers whose token cannot come in time.
    holder = exhausted_holder(backlog=8.0)
    assert isinstance(holder.offer("call-1", Deadline(LEFT_S), True, 0.0, RUN_S), RateRefused)


def test_first_call_of_a_program_waits_no_longer_if_it_is_short():
    holder = exhausted_holder(backlog=4.0)
    assert isinstance(holder.offer("call-1", Deadline(LEFT_S), False, 0.0, RUN_S), RateRefused)


def test_long_call_keeps_half_of_its_time_to_run():
    holder = exhausted_holder(backlog=0.0)
    assert holder.offer("call-1", Deadline(LEFT_S), True, 0.0, 0.9) is None
    assert holder.waiting[0].times_out_at == LEFT_S / 2


def test_calls_of_started_programs_wait_in_order_of_their_timeouts():
    # Guards against lookups with 1.5 s left that time out behind turns with 5 s left.
    holder = exhausted_holder(backlog=0.0)
    assert holder.offer("start", Deadline(5.0), False, 0.0) is None
    assert holder.offer("turn", Deadline(5.0), True, 0.0) is None
    assert holder.offer("look-up", Deadline(LEFT_S), True, 0.0, RUN_S) is None
    assert [call.call_id for call in holder.waiting] == ["look-up", "turn", "start"]
    assert holder.patience_ms(0.0) == 1_300


def test_first_calls_do_not_report_their_patience():
    holder = exhausted_holder(backlog=0.0)
    assert holder.patience_ms(0.0) is None
    holder.offer("start", Deadline(5.0), False, 0.0)
    assert holder.patience_ms(0.0) is None
