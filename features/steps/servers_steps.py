from __future__ import annotations

import eventlet
from behave import given, then, when
from tarragonhall_fakes import Fault, FaultKind
from urllib3.exceptions import HTTPError


@given('the order desk hangs after it has run "{body}"')
def given_hanging_order_desk(context, body):
    context.deployment.service.faults.add(Fault(FaultKind.HANG, match=body))


@given('the order desk crashes at "{body}" and is restarted by the platform')
def given_crashing_order_desk(context, body):
    deployment = context.deployment
    deployment.service.faults.add(Fault(FaultKind.CRASH, match=body, times=0))

    def restart() -> None:
        while True:
            eventlet.sleep(1.0)
            deployment.restart_service_if_crashed()

    context.to_stop.append(eventlet.spawn(restart).kill)


@when('process "{process}" is killed while the call runs')
def kill_while_running(context, process):
    context.deployment.wait_for_request(context.last_body)
    context.deployment.process_by_name[process].kill()


@when('"{process}" is started again')
def started_again(context, process):
    context.deployment.start(process)


@when('the caller sends the repeatable call {seq:d} "{body}" through "{entry}"')
def send_repeatable(context, seq, body, entry):
    _send(context, entry, seq, body, repeatable=True)


@when('the caller sends call {seq:d} "{body}" with a timeout of {seconds:g} seconds')
def send_with_timeout(context, seq, body, seconds):
    _send(context, "entry-1", seq, body, timeout_ms=int(seconds * 1000))


@when("the caller opens another program")
def another_program(context):
    context.program_id = context.caller.open()


@then('the call is refused as "{code}" and "{execution}" within {seconds:g} seconds')
def call_refused_within(context, code, execution, seconds):
    with eventlet.Timeout(seconds, AssertionError(f"no answer within {seconds} s")):
        reply = context.pending_calls.pop().wait()
    assert "error" in reply.value, reply
    assert (reply.value["error"], reply.value["execution"]) == (code, execution), reply


def _send(context, entry, seq, body, **fields) -> None:
    def call():
        try:
            return context.caller.call(entry, context.program_id, seq, body, **fields)
        except HTTPError:
            return None

    context.last_body = body
    context.pending_calls.append(eventlet.spawn(call))
