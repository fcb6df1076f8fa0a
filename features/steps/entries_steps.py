from __future__ import annotations

import time

import eventlet
from behave import given, then, when
from deployment import ENTRIES, Reply, shared_deployment, wait_until
from urllib3.exceptions import HTTPError

LONG_PROMPT = "Draft every drop run of the year [tokens=4000]"


@given("a deployment with two entries")
def given_deployment(context):
    context.deployment = shared_deployment()
    context.replies = []
    context.errors = []
    context.pending_calls = []


@given("a program of a caller")
def given_program(context):
    given_program_with_rate(context, 500, 500)


@given("a program of a caller whose organisation has a rate of {rate:d} and a burst of {burst:d}")
def given_program_with_rate(context, rate, burst):
    context.rate, context.burst = rate, burst
    context.org, key = context.deployment.new_organisation(rate, burst)
    context.caller = context.deployment.caller(key)
    wait_until(lambda: _key_is_known(context))
    context.program_id = context.caller.open()


def _key_is_known(context) -> bool:
    """Return whether the new key has reached both entries."""
    path = "/v1/programs/none"
    return all(context.caller.send(entry, "GET", path).status == 404 for entry in ENTRIES)


@given("the order desk takes {seconds:g} seconds for a call")
def given_slow_order_desk(context, seconds):
    context.deployment.service.seconds_per_call = seconds


@given("the engine takes a long time for a call")
def given_long_call(context):
    context.prompt = LONG_PROMPT


@when('the caller sends call {seq:d} "{body}" through "{entry}"')
def send_call(context, seq, body, entry):
    context.last_body = body
    context.pending_calls.append(eventlet.spawn(_call_or_none, context, entry, seq, body))


def _call_or_none(context, entry, seq, body) -> Reply | None:
    try:
        return context.caller.call(entry, context.program_id, seq, body)
    except HTTPError:
        # The entry was killed; its caller only sees the connection close.
        return None


@when('the caller sends call {seq:d} "{body}" through "{entry}" {seconds:g} seconds later')
def send_call_later(context, seq, body, entry, seconds):
    eventlet.sleep(seconds)
    send_call(context, seq, body, entry)


@when('the caller sends call {seq:d} "{body}" through both entries at once')
def send_twice(context, seq, body):
    for entry in ENTRIES:
        send_call(context, seq, body, entry)


@when('"{entry}" is killed while the call runs')
def kill_while_running(context, entry):
    context.deployment.wait_for_request(context.last_body)
    assert context.deployment.effects(context.last_body) == 0
    context.deployment.process_by_name[entry].kill()
    context.pending_calls.clear()


@when('"{entry}" is killed')
def kill(context, entry):
    context.deployment.process_by_name[entry].kill()


@then('the caller gets the answer to "{body}"')
@when('the caller gets the answer to "{body}"')
def got_answer(context, body):
    reply = context.pending_calls.pop().wait()
    assert reply.status == 200, reply
    assert body in reply.text(), reply


@then('"{body}" took effect {count:d} time')
def took_effect(context, body, count):
    # A service whose caller disconnected during a call still completes the call later.
    wait_until(lambda: context.deployment.effects(body) >= count)
    assert context.deployment.effects(body) == count, context.deployment.service.ledger


@then('the history through "{entry}" is "{bodies}"')
def history_is(context, entry, bodies):
    report = context.caller.send(entry, "GET", f"/v1/programs/{context.program_id}").value
    assert [call["body"] for call in report["calls"]] == bodies.split(", "), report


@then("both get the same answer")
def same_answer(context):
    first, second = (thread.wait() for thread in context.pending_calls)
    assert first.status == second.status == 200, (first, second)
    assert first.value == second.value


@then("all calls are answered")
def all_answered(context):
    replies = [thread.wait() for thread in context.pending_calls]
    assert all(reply.status == 200 for reply in replies), replies


@then('"{first}" took effect before "{second}"')
def in_order(context, first, second):
    bodies = [entry["body"] for entry in context.deployment.service.ledger]
    assert bodies.index(first) < bodies.index(second)


@when('the key of the caller is withdrawn while it goes on calling through "{entry}"')
def withdraw_key(context, entry):
    keys = context.deployment.tool("key", "list", "--org", context.org)
    key_id = (keys["keys"] if isinstance(keys, dict) else keys)[0]["key_id"]
    caller = context.caller
    assert caller.call(entry, context.program_id, 1, "before").status == 200
    context.deployment.tool("key", "withdraw", key_id)
    context.since = time.monotonic()
    seq = 2
    while time.monotonic() - context.since < 6.0:
        reply = caller.call(entry, context.program_id, seq, f"after-{context.org}-{seq}")
        context.replies.append((time.monotonic() - context.since, reply))
        seq += 1
        eventlet.sleep(0.05)


@then('its calls are refused as "{code}" and "{execution}" within {seconds:g} seconds')
def refused_within(context, code, execution, seconds):
    late = [reply for at, reply in context.replies if at > seconds]
    assert late
    for reply in late:
        assert (reply.value["error"], reply.value["execution"]) == (code, execution), reply


@then("no call took effect after a refusal")
def no_effect_after_refusal(context):
    statuses = [reply.status for _at, reply in context.replies]
    first = statuses.index(401)
    assert set(statuses[first:]) == {401}, statuses
    effects = context.deployment.effects(f"after-{context.org}-")
    assert effects == first, (effects, first)


@when("{count:d} programs of the caller call through both entries for {seconds:g} seconds")
def call_for_seconds(context, count, seconds):
    # The first owner of the bucket starts without tokens: time counts from the first admitted call.
    assert context.caller.call(ENTRIES[0], context.program_id, 1, "warm-up").status == 200
    programs = [context.caller.open(ENTRIES[n % 2]) for n in range(count)]
    started = time.monotonic()
    context.body_prefix = f"hammer-{context.org}"

    def loop(number: int) -> None:
        seq = 1
        while time.monotonic() - started < seconds:
            entry = ENTRIES[(number + seq) % 2]
            body = f"{context.body_prefix} {number} {seq}"
            # Long enough that no admitted call times out on a busy machine, and shorter than the
            # wait in the rate's queue, which is four seconds with 40 programs.
            reply = context.caller.call(entry, programs[number], seq, body, timeout_ms=1_500)
            context.replies.append((time.monotonic() - started, reply))
            seq += reply.status == 200

    threads = [eventlet.spawn(loop, number) for number in range(count)]
    for thread in threads:
        thread.wait()
    context.seconds = time.monotonic() - started


@then("no more calls took effect than the rate and burst allow")
def effects_within_rate(context):
    effects = context.deployment.effects(context.body_prefix)
    allowed = context.burst + context.rate * context.seconds
    assert 0 < effects <= allowed, (effects, allowed)


@then('every refusal says "{code}", "{execution}" and when to come back')
def refusals_say(context, code, execution):
    refused = [reply for _at, reply in context.replies if reply.status != 200]
    assert refused
    for reply in refused:
        assert (reply.value["error"], reply.value["execution"]) == (code, execution), reply
        assert reply.value["retry_after_ms"] > 0, reply


@when("{count:d} programs of the caller call through ready entries")
def load_through_ready_entries(context, count):
    context.body_prefix = f"load-{context.org}"
    context.sent_bodies = []
    context.load_running = True
    context.pending_calls = [eventlet.spawn(_call_until_stopped, context, n) for n in range(count)]
    eventlet.sleep(0.5)


def _call_until_stopped(context, number: int) -> None:
    """Call as through a load balancer that checks `readyz` before each request."""
    caller = context.caller
    program_id = caller.open(_ready_entry(context, number))
    seq = 1
    while context.load_running:
        body = f"{context.body_prefix} {number} {seq}."
        entry = _ready_entry(context, number + seq)
        context.sent_bodies.append(body)
        try:
            context.replies.append(caller.call(entry, program_id, seq, body))
        except HTTPError as error:
            context.errors.append((entry, error))
            return
        seq += 1


def _ready_entry(context, number: int) -> str:
    probe = context.deployment.caller("")
    with eventlet.Timeout(20):
        while True:
            for offset in range(len(ENTRIES)):
                entry = ENTRIES[(number + offset) % len(ENTRIES)]
                try:
                    if probe.send(entry, "GET", "/readyz").status == 200:
                        return entry
                except HTTPError:
                    continue
            eventlet.sleep(0.02)


@when('"{entry}" is asked to stop meanwhile')
def request_stop(context, entry):
    process = context.deployment.process_by_name[entry]
    process.request_stop()
    wait_until(lambda: not process.running())
    _end_load(context)


@when("all entries are restarted one after the other meanwhile")
def rolling_restart(context):
    for entry in ENTRIES:
        process = context.deployment.process_by_name[entry]
        process.request_stop()
        wait_until(lambda: not process.running())  # noqa: B023 - waited for at once
        context.deployment.start(entry)
        eventlet.sleep(0.5)
    _end_load(context)


def _end_load(context) -> None:
    context.load_running = False
    for thread in context.pending_calls:
        thread.wait()


@then("no request was cut off or refused")
def none_cut_off(context):
    assert context.errors == [], context.errors
    refused = [reply for reply in context.replies if reply.status != 200]
    assert refused == [], refused[:3]
    assert len(context.replies) == len(context.sent_bodies) > 0


@then('"{entry}" exited by itself')
def exited_by_itself(context, entry):
    assert context.deployment.process_by_name[entry].stop() == 0


@then("every call took effect 1 time")
def every_effect_once(context):
    bodies = [entry["body"] for entry in context.deployment.service.ledger]
    counts = {body: bodies.count(body) for body in context.sent_bodies}
    assert set(counts.values()) == {1}, counts


@when("the control member is paused for {seconds:g} seconds")
def pause_control(context, seconds):
    process = context.deployment.process_by_name["control-1"]
    context.to_stop.append(process.resume)
    process.pause()
    eventlet.sleep(seconds)


@when("the control member resumes")
def resume_control(context):
    context.deployment.process_by_name["control-1"].resume()


@then('a call through "{entry}" is refused as "{code}" within {seconds:g} seconds')
def call_refused(context, entry, code, seconds):
    started = time.monotonic()
    reply = context.caller.call(entry, context.program_id, 1, f"stale-{context.org}")
    assert time.monotonic() - started < seconds
    assert reply.value["error"] == code, reply
    # The entry cannot reach the control members: the call may be a resend of one that ran through
    # another entry.
    assert reply.value["execution"] == "unknown", reply
    assert context.deployment.effects(f"stale-{context.org}") == 0


@then('"{entry}" is not ready')
def not_ready(context, entry):
    assert context.caller.send(entry, "GET", "/readyz").status == 503


@then('a call through "{entry}" is answered within {seconds:g} seconds')
def call_answered(context, entry, seconds):
    def answered() -> bool:
        reply = context.caller.call(entry, context.program_id, 1, f"fresh-{context.org}")
        return reply.status == 200

    wait_until(answered, seconds)


@when('the caller sends a model call through "{entry}"')
def send_model_call(context, entry):
    fields = {"kind": "model", "target": "planner", "max_tokens": 4_000}
    context.pending_calls.append(
        eventlet.spawn(context.caller.call, entry, context.program_id, 1, context.prompt, **fields)
    )


@when('the program is cancelled through "{entry}" while the call runs')
def cancel_program(context, entry):
    wait_until(lambda: context.deployment.engine.batch.running)
    path = f"/v1/programs/{context.program_id}/cancel"
    reply: Reply = context.caller.send(entry, "POST", path, {})
    assert reply.value["status"] == "cancelled", reply


@then("the call ends within {seconds:g} seconds")
def call_ends(context, seconds):
    with eventlet.Timeout(seconds):
        reply = context.pending_calls.pop().wait()
    assert "answer" in reply.value or reply.value["error"] in ("cancelled", "program_ended"), reply


@given("a sub-agent of the program")
def given_sub_agent(context):
    context.root_id = context.program_id
    parent = {"parent": context.root_id}
    reply = context.caller.send(ENTRIES[0], "POST", "/v1/programs", parent)
    context.program_id = reply.value["program_id"]


@when('the sub-agent\'s root is cancelled through "{entry}" while the call runs')
def cancel_root(context, entry):
    wait_until(lambda: context.deployment.engine.batch.running)
    reply = context.caller.send(entry, "POST", f"/v1/programs/{context.root_id}/cancel", {})
    assert reply.value["status"] == "cancelled", reply


@then("the engine runs and holds nothing of the sub-agent within {seconds:g} seconds")
def engine_is_free(context, seconds):
    batch = context.deployment.engine.batch
    with eventlet.Timeout(seconds):
        while batch.running or context.program_id in batch.cache.held:
            eventlet.sleep(0.05)
