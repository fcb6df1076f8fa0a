from __future__ import annotations

from behave import given, then, when
from tarragonhall_fakes import free_address
from tarragonhall_model import LinkClosedError
from tarragonhall_wire import make_context, make_metrics


@given('a process "{name}" with the secret "{secret}"')
def start_process(context, name, secret):
    process = make_context(
        name, "tx-austin", free_address(), [], secret.encode(), make_metrics(None, 0, name)
    )
    context.processes = {**getattr(context, "processes", {}), name: process}
    context.to_stop.append(process.hub.stop)


@when('"{dialler}" dials "{listener}"')
def dial(context, dialler, listener):
    context.dialler = context.processes[dialler].hub
    context.address = context.processes[listener].link_address


@then("no link opens within {seconds:d} second")
def no_link(context, seconds):
    try:
        context.dialler.wait_for_link(context.address, seconds)
    except LinkClosedError:
        return
    raise AssertionError("the link opened")
