from __future__ import annotations

import eventlet
from behave import given, then, when
from deployment import ENTRIES, wait_until

# More calls than any budget here allows: a loop that is not refused ends and fails the step.
MAX_CALLS = 50


@given("a program of a caller whose budget is {calls:d} calls")
def given_budget(context, calls):
    deployment = context.deployment
    context.org, key = deployment.new_organisation()
    budget = ("--tokens", "100000", "--calls", str(calls))
    deployment.tool("budget", "set", f"/tests/{context.org}", *budget)
    context.caller = deployment.caller(key)
    wait_until(lambda: _budget_reached_entry(context, calls))


def _budget_reached_entry(context, calls: int) -> bool:
    """Open a program; return whether the new budget has reached the entry."""
    reply = context.caller.send(ENTRIES[0], "POST", "/v1/programs", {})
    if reply.status != 201:
        return False
    context.program_id = reply.value["program_id"]
    return reply.value["budget"]["calls"] == calls


@when("two sub-agents of the program call in an endless loop through both entries")
def sub_agents_loop(context):
    threads = [eventlet.spawn(_loop, context, entry) for entry in ENTRIES]
    context.last_replies = [thread.wait() for thread in threads]


def _loop(context, entry: str):
    parent = {"parent": context.program_id}
    child = context.caller.send(entry, "POST", "/v1/programs", parent).value["program_id"]
    for seq in range(1, MAX_CALLS):
        body = f"loop-{context.org} {entry} {seq}"
        reply = context.caller.call(entry, child, seq, body)
        if reply.status != 200:
            break
    return reply


@then('both are refused as "{code}" and "{execution}"')
def both_refused(context, code, execution):
    for reply in context.last_replies:
        assert reply.status != 200, reply
        assert (reply.value["error"], reply.value["execution"]) == (code, execution), reply


@then("exactly {count:d} of their calls took effect")
def effects_are(context, count):
    assert context.deployment.effects(f"loop-{context.org}") == count
