"""Patches the standard library with eventlet before any scenario runs, as the daemon does."""

from __future__ import annotations

import logging

import eventlet

eventlet.monkey_patch()

from tarragonhall_wire import configure_logging  # noqa: E402

# The processes write their own logs; only errors of the scenarios themselves are printed.
configure_logging("features", "error")
logging.getLogger("websockets").setLevel(logging.ERROR)


def before_scenario(context, _scenario):
    """Give each scenario a list of cleanup functions."""
    context.to_stop = []


def after_scenario(context, _scenario):
    """Call the cleanup functions of the scenario, newest first."""
    for stop in reversed(context.to_stop):
        stop()


def after_all(_context):
    """Stop the deployments that scenarios share."""
    from deployment import stop_shared_deployments

    stop_shared_deployments()
