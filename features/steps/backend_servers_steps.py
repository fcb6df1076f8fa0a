from __future__ import annotations

import time

import eventlet
from behave import given, then, when
from deployment import ENTRIES, wait_until
from tarragonhall_fakes import Fault, FaultKind


@given("the caller has been served before")
def given_served_before(context):
    # The first owner of an organisation's token bucket waits before it grants tokens, which could
    # use up the short timeouts of these scenarios.
    def served() -> bool:
        program_id = context.caller.open()
        body = f"first of {context.org}"
        return context.caller.call(ENTRIES[0], program_id, 1, body).status == 200

    wait_until(served)


@given('the order desk has the fault "{kind}" for "{body}"')
def given_order_desk_fault(context, kind, body):
    context.deployment.service.faults.add(Fault(FaultKind(kind), match=body))


@given("the order desk takes {seconds:g} second for a call")
def given_slow_order_desk(context, seconds):
    context.deployment.service.seconds_per_call = seconds


@given("the engine crashes whenever it runs the poisonous prompt and is restarted each time")
def given_poison_prompt(context):
    deployment = context.deployment
    context.poison_prompt = f"poison of {context.org}"
    context.crashes = 0
    deployment.engine.faults.add(Fault(FaultKind.CRASH, match=context.poison_prompt, times=0))

    def supervise() -> None:
        while True:
            if deployment.engine_server.crashed:
                context.crashes += 1
                eventlet.sleep(0.5)
                deployment.engine.incarnation = f"life-{time.monotonic()}"
                deployment.engine_server.start()
            eventlet.sleep(0.02)

    context.to_stop.append(eventlet.spawn(supervise).kill)


@when('the caller sends call {seq:d} "{body}" with {seconds:g} seconds')
def send_with_timeout(context, seq, body, seconds):
    context.reply = context.caller.call(
        ENTRIES[0], context.program_id, seq, body, timeout_ms=int(seconds * 1000)
    )


@then('the reply has the execution "{execution}"')
def reply_has_execution(context, execution):
    assert context.reply.value.get("execution") == execution, context.reply


@when('"{name}" is killed and started again while the call runs')
def kill_and_start(context, name):
    # The call has reached the service but has not taken effect.
    context.deployment.wait_for_request(context.last_body)
    assert context.deployment.effects(context.last_body) == 0
    context.deployment.process_by_name[name].kill()
    context.deployment.start(name)


@then("the reply does not say that the call was not run")
def reply_does_not_say_not_run(context):
    reply = context.pending_calls.pop().wait()
    assert reply.value.get("execution") != "not_run", reply


@when("the caller sends the poisonous prompt in {count:d} programs, one after the other")
def send_poison(context, count):
    fields = {"kind": "model", "target": "planner", "max_tokens": 20, "repeatable": True}
    for number in range(count):
        entry = ENTRIES[number % 2]
        program_id = context.caller.open(entry)
        body = context.poison_prompt
        reply = context.caller.call(entry, program_id, 1, body, timeout_ms=3_000, **fields)
        context.replies.append(reply)


@then('the last of them are refused as "{code}"')
def last_refused(context, code):
    codes = [reply.value.get("error") for reply in context.replies]
    assert codes[-1] == codes[-2] == code, codes


@then("the engine crashed {count:d} times")
def engine_crashed(context, count):
    assert context.crashes == count, context.crashes


@then("another prompt of the caller is answered")
def other_prompt_answered(context):
    fields = {"kind": "model", "target": "planner", "max_tokens": 20, "repeatable": True}
    body = f"other prompt of {context.org}"
    reply = context.caller.call(ENTRIES[0], context.program_id, 1, body, **fields)
    assert reply.status == 200, reply


@when('the server "{server}" is drained while the call runs')
def drain_server(context, server):
    eventlet.sleep(0.3)
    context.to_stop.append(lambda: context.deployment.tool("server", "drain", server, "--undo"))
    context.deployment.tool("server", "drain", server)
    wait_until(lambda: _drained(context, server), 5)


def _drained(context, server) -> bool:
    listing = context.deployment.tool("server", "list")
    servers = listing["servers"] if isinstance(listing, dict) else listing
    return any(record["server_id"] == server and record["draining"] for record in servers)


@when('"{name}" is asked to stop and started again meanwhile')
def restart_gracefully(context, name):
    process = context.deployment.process_by_name[name]
    process.request_stop()
    wait_until(lambda: not process.running())
    assert process.stop() == 0, "not stopped gracefully"
    context.deployment.start(name)
    eventlet.sleep(2.0)
    context.load_running = False
    for thread in context.pending_calls:
        thread.wait()


@then("every answered call took effect once and every refused one never")
def effects_match_replies(context):
    assert context.errors == [], context.errors
    effects = context.deployment.effects(context.body_prefix)
    answered = [reply for reply in context.replies if reply.status == 200]
    refused = [reply for reply in context.replies if reply.status != 200]
    assert {reply.value["execution"] for reply in refused} <= {"not_run"}, refused
    assert effects == len(answered) > 0, (effects, len(answered), refused[:3])
