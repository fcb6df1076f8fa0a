"""Calls that wait for something that comes soon, and those that are refused instead."""

from __future__ import annotations

import eventlet
from relay_stand_ins import KEY, answers, event, full_until, stream
from tarragonhall_model import (
    BudgetSpent,
    Rate,
    Refusal,
    RefusalCode,
    RelayOrganisation,
)


def test_a_call_waits_for_the_configuration_after_a_restart(relay):
    # Everything was restarted and the entry takes clients before it has the configuration. Refused
    # at once, a program uses up its few tries within a second and fails.
    relay.backend(answers())
    table, relay.state.table = relay.state.table, None

    def arrive():
        relay.state.table = table

    eventlet.spawn_after(0.3, arrive)
    assert relay.call("/buy/")[0] == 200


def test_a_call_waits_for_a_server_that_announces_itself_soon(relay):
    def arrive():
        relay.backend(answers())

    eventlet.spawn_after(0.3, arrive)
    assert relay.call("/buy/")[0] == 200


def test_a_call_for_which_nothing_comes_is_refused_long_before_its_time_is_over(relay):
    relay.state.table = None
    started = relay.context.monotonic()
    status, headers, _body = relay.call("/buy/")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert relay.context.monotonic() - started < 2.0


def test_a_call_waits_for_a_place_while_every_server_is_full_for_a_moment(relay):
    # A burst fills every server for a tenth of a second.
    full_for_a_moment = full_until(relay, relay.context.monotonic() + 0.2)
    for _ in range(2):
        relay.backend(full_for_a_moment)
    assert relay.call("/buy/")[0] == 200


class UnreachableRateOwner:
    """The owner of every rate is gone, and the reserve is used up."""

    def is_dry(self, _org_id):
        return False

    def owner_of(self, _org_id):
        return "entry-2"

    def take(self, *_call):
        return Refusal(RefusalCode.UNAVAILABLE, "not checked in time", retry_after_ms=20)

    def stop(self):
        return


def test_a_caller_whose_rate_cannot_be_checked_is_told_to_come_back_when_it_can(relay):
    # The entry that owned the organisation's rate has died. Sent back after a moment, the caller
    # uses up its few tries before there is another owner, and its program fails.
    organisation = RelayOrganisation("org-1", (KEY,), rate=Rate(10.0, 10.0))
    relay.state.table.organisation_by_key[KEY] = organisation
    relay.state.rates = UnreachableRateOwner()
    status, headers, _body = relay.call("/buy/")
    assert status == 503
    assert float(headers["retry-after"]) >= 0.5


class DryRates:
    """The organisation has used up its rate; its programs under way get tokens as they come."""

    def __init__(self) -> None:
        self.taken = []

    def is_dry(self, _org_id):
        return True

    def take(self, _org_id, _call_id, _deadline, program_started, _run_s=None):
        self.taken.append(program_started)

    def give_back(self, _org_id):
        return

    def stop(self):
        return


def test_an_organisation_over_its_rate_finishes_programs_before_it_starts_more(relay):
    # It starts programs all the time, and each needs ten calls. Started as they come, all of them
    # run out of tokens in the middle: calls are spent on programs of which none ends.
    organisation = RelayOrganisation("org-1", (KEY,), rate=Rate(10.0, 10.0))
    relay.state.table.organisation_by_key[KEY] = organisation
    rates = relay.state.rates = DryRates()
    backend = relay.backend(
        lambda _b, arrived: arrived.connection.sendall(stream(arrived, event(1)))
    )
    status, headers, _body = relay.call("/talk/", program="p-1")
    assert (status, len(backend.arrived)) == (429, 0)
    assert float(headers["retry-after"]) > 0
    assert relay.call("/talk/", attempt="a-2", program="p-2", previous="a-0")[0] == 200
    assert rates.taken == [True]


def test_a_program_whose_budget_is_spent_takes_no_tokens_from_others(relay):
    # Guards against a program that loops: its refused turns would use up its organisation's rate.
    organisation = RelayOrganisation("org-1", (KEY,), rate=Rate(10.0, 10.0))
    relay.state.table.organisation_by_key[KEY] = organisation
    rates = relay.state.rates = DryRates()
    relay.turns.answer = BudgetSpent(spent=95)

    def ask(attempt: str, program: str, most: str) -> int:
        call = {"attempt": attempt, "program": program, "previous": "a-0", "most": most}
        return relay.call("/talk/", budget="100", **call)[0]

    assert ask("a-1", "p-1", "10") == 402
    asked = len(rates.taken)
    relay.turns.answer = None
    assert ask("a-2", "p-1", "10") == 402
    assert len(rates.taken) == asked
    # Running turns held the rest of this one's budget, and may have given it back since.
    relay.turns.answer = BudgetSpent(spent=20)
    assert ask("a-3", "p-2", "10") == 402
    relay.turns.answer = None
    relay.backend(lambda _b, arrived: arrived.connection.sendall(stream(arrived, event(1))))
    assert ask("a-4", "p-2", "10") == 200
