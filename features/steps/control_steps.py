from __future__ import annotations

import shutil
import time

import eventlet
from behave import given, then, when
from deployment import shared_deployment, wait_until

REPLACE_SECONDS = 20.0


@given("a deployment with three control members")
def given_three_members(context):
    context.deployment = shared_deployment(members=3)
    context.answered = []
    context.revision_by_member = {}
    wait_until(lambda: _leader(context) is not None)


def _leader(context) -> str | None:
    """Return the leader that the control members report, or None."""
    leader = context.deployment.tool("status").get("leader")
    return leader or None


def _run_calls(context, count: int, before_each=lambda _number: None) -> None:
    """Run calls one after the other, each through any entry that answers."""
    first = len(context.answered) + 1
    for seq in range(first, first + count):
        before_each(seq)
        body = f"step {seq} of {context.program_id}."
        reply = context.caller.call_until_run(context.program_id, seq, body)
        assert reply.status == 200, (seq, reply)
        context.answered.append((body, reply.text()))


@when("{count:d} calls run one after the other")
@when("{count:d} calls more run one after the other")
def run_calls(context, count):
    _run_calls(context, count)


@when("{count:d} calls run one after the other, and the leader is killed after {after:d}")
def run_calls_and_kill(context, count, after):

    def kill_when_due(seq: int) -> None:
        if seq == after + 1:
            leader = _leader(context)
            context.deployment.process_by_name[leader].kill()

    _run_calls(context, count, kill_when_due)


@when("every control member is killed and started again")
def kill_all(context):
    names = list(context.deployment.control_address)
    for name in names:
        context.deployment.process_by_name[name].kill()
    for name in names:
        context.deployment.start(name)


@when("the leader is paused")
def pause_leader(context):
    context.paused_member = _leader(context)
    context.deployment.process_by_name[context.paused_member].pause()
    context.to_stop.append(context.deployment.process_by_name[context.paused_member].resume)


@when("the key of the caller is withdrawn")
def withdraw(context):
    keys = context.deployment.tool("key", "list", "--org", context.org)["keys"]
    context.deployment.tool("key", "withdraw", keys[0]["key_id"])
    context.revision = context.deployment.tool("settings", "get", "/")["revision"]


def _refused(context, code: str) -> bool:
    replies = [
        context.caller.send(entry, "GET", f"/v1/programs/{context.program_id}")
        for entry in context.deployment.callers_address
    ]
    return all(reply.value.get("error") == code for reply in replies)


@when('its calls are refused as "{code}"')
def refused_soon(context, code):
    wait_until(lambda: _refused(context, code), seconds=8)


@when("the paused member resumes")
def resume(context):
    context.deployment.process_by_name[context.paused_member].resume()


@then('every call in the next {seconds:d} seconds is refused as "{code}"')
def refused_throughout(context, seconds, code):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        assert _refused(context, code)
        eventlet.sleep(0.05)


@then("the settings revision of no member went back")
def revisions_did_not_go_back(context):
    for admin in context.deployment.admin_address.values():
        command = ["--admin", admin, "settings", "get", "/"]
        assert context.deployment.tool(*command)["revision"] >= context.revision


def _followers(context) -> list[str]:
    leader = _leader(context)
    return [name for name in context.deployment.control_address if name != leader]


@when("a follower is killed and its data folder wiped")
def wipe(context):
    context.wiped_member, context.other_follower = _followers(context)
    context.deployment.process_by_name[context.wiped_member].kill()
    shutil.rmtree(context.deployment.folder / f"data-{context.wiped_member}")


@when("it is started again and replaced by the operator")
def replace(context):
    context.deployment.start(context.wiped_member)
    wait_until(lambda: _replaced(context), seconds=REPLACE_SECONDS)


def _replaced(context) -> bool:
    from tarragonhall_fakes import ProcessError

    try:
        context.deployment.tool("member", "replace", context.wiped_member)
    except ProcessError:
        # The member has not reported or caught up yet; the operator retries.
        eventlet.sleep(0.2)
        return False
    members = context.deployment.tool("member", "list")["members"]
    return all(
        member["voting"] for member in members if member["member_id"] == context.wiped_member
    )


@when("the other follower is killed")
def kill_other(context):
    context.deployment.process_by_name[context.other_follower].kill()


@then("all {count:d} are answered in order")
def all_answered(context, count):
    assert len(context.answered) == count
    assert all(body in text for body, text in context.answered)


@then("each of the {count:d} took effect once")
def each_once(context, count):
    effects = [context.deployment.effects(body) for body, _text in context.answered]
    assert effects == [1] * count, effects


@then("the program's history holds all {count:d}")
def history_holds(context, count):
    def recorded() -> list[str]:
        entry = next(iter(context.deployment.callers_address))
        report = context.caller.send(entry, "GET", f"/v1/programs/{context.program_id}").value
        return [call["body"] for call in report.get("calls", [])]

    wait_until(lambda: len(recorded()) == count)
    assert recorded() == [body for body, _text in context.answered]
