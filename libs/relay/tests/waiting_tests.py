"""Calls that wait for a condition expected soon, and calls that are rejected instead."""

from __future__ import annotations

import eventlet
from relay_doubles import KEY, answers, event, full_until, stream
from tarragonhall_model import (
    BudgetSpent,
    Rate,
    Refusal,
    RefusalCode,
    RelayOrganisation,
)


def test_call_waits_for_the_configuration_after_a_restart(relay):
    # After a restart of the whole system the entry accepts clients before it has the configuration.
    # If calls were rejected at once, a program would use up its few attempts within a second.
    relay.backend(answers())
    table, relay.state.table = relay.state.table, None

    def become_available():
        relay.state.table = table

    eventlet.spawn_after(0.3, become_available)
    assert relay.call("/buy/")[0] == 200


def test_call_waits_for_a_server_that_registers_soon(relay):
    def become_available():
        relay.backend(answers())

    eventlet.spawn_after(0.3, become_available)
    assert relay.call("/buy/")[0] == 200


def test_call_without_configuration_is_rejected_well_before_its_deadline(relay):
    relay.state.table = None
    started = relay.context.monotonic()
    status, headers, _body = relay.call("/buy/")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert relay.context.monotonic() - started < 2.0


def test_call_waits_while_every_server_is_briefly_full(relay):
    # A burst fills every server for a tenth of a second.
    briefly_full = full_until(relay, relay.context.monotonic() + 0.2)
    for _ in range(2):
        relay.backend(briefly_full)
    assert relay.call("/buy/")[0] == 200


class UnreachableRateOwner:
    """Rates whose owner is unreachable and whose reserve is exhausted."""

    def is_exhausted(self, _org_id):
        return False

    def owner_of(self, _org_id):
        return "entry-2"

    def take(self, *_call):
        return Refusal(RefusalCode.UNAVAILABLE, "not checked in time", retry_after_ms=20)

    def stop(self):
        return


def test_retry_after_outlasts_the_replacement_of_an_unreachable_rate_owner(relay):
    # The entry that owned the organisation's rate has failed. With a short Retry-After, a client
    # uses up its few attempts before there is another owner, and its program fails.
    organisation = RelayOrganisation("org-1", (KEY,), rate=Rate(10.0, 10.0))
    relay.state.table.organisation_by_key[KEY] = organisation
    relay.state.rates = UnreachableRateOwner()
    status, headers, _body = relay.call("/buy/")
    assert status == 503
    assert float(headers["retry-after"]) >= 0.5


class ExhaustedRate:
    """Rates of an organisation over its rate; running programs still get tokens."""

    def __init__(self) -> None:
        self.taken = []

    def is_exhausted(self, _org_id):
        return True

    def take(self, _org_id, _call_id, _deadline, program_started, _run_s=None):
        self.taken.append(program_started)

    def return_token(self, _org_id):
        return

    def stop(self):
        return


def test_organisation_over_its_rate_starts_no_new_programs(relay):
    # An organisation keeps starting programs that need ten calls each. If all were started, each
    # would run out of tokens midway, and none would finish.
    organisation = RelayOrganisation("org-1", (KEY,), rate=Rate(10.0, 10.0))
    relay.state.table.organisation_by_key[KEY] = organisation
    rates = relay.state.rates = ExhaustedRate()
    backend = relay.backend(
        lambda _b, received: received.connection.sendall(stream(received, event(1)))
    )
    status, headers, _body = relay.call("/talk/", program="p-1")
    assert (status, len(backend.received)) == (429, 0)
    assert float(headers["retry-after"]) > 0
    assert relay.call("/talk/", attempt="a-2", program="p-2", previous="a-0")[0] == 200
    assert rates.taken == [True]


def test_program_with_exhausted_budget_takes_no_rate_tokens(relay):
    # The rejected turns of a program that loops would use up the rate of its organisation.
    organisation = RelayOrganisation("org-1", (KEY,), rate=Rate(10.0, 10.0))
    relay.state.table.organisation_by_key[KEY] = organisation
    rates = relay.state.rates = ExhaustedRate()
    relay.turn_store.reserve_result = BudgetSpent(spent=95)

    def call_status(attempt: str, program: str, most: str) -> int:
        call = {"attempt": attempt, "program": program, "previous": "a-0", "most": most}
        return relay.call("/talk/", budget="100", **call)[0]

    assert call_status("a-1", "p-1", "10") == 402
    taken_before = len(rates.taken)
    relay.turn_store.reserve_result = None
    assert call_status("a-2", "p-1", "10") == 402
    assert len(rates.taken) == taken_before
    # Running turns had reserved the rest of this program's budget and may have returned it since.
    relay.turn_store.reserve_result = BudgetSpent(spent=20)
    assert call_status("a-3", "p-2", "10") == 402
    relay.turn_store.reserve_result = None
    relay.backend(lambda _b, received: received.connection.sendall(stream(received, event(1))))
    assert call_status("a-4", "p-2", "10") == 200
