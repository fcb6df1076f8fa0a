"""Patches the standard library before any scenario runs, as the daemon does."""

from __future__ import annotations

import logging

import eventlet

eventlet.monkey_patch()

from tarragonhall_wire import configure_logging  # noqa: E402

# The processes write their own logs; here only what a scenario prints is of interest.
configure_logging("features", "error")
logging.getLogger("websockets").setLevel(logging.ERROR)


def before_scenario(context, _scenario):
    """Give each scenario its own list of things to stop."""
    context.to_stop = []


def after_scenario(context, _scenario):
    """Stop what the scenario started, newest first."""
    for stop in reversed(context.to_stop):
        stop()


def after_all(_context):
    """Stop the deployments that the scenarios shared."""
    from deployment import stop_shared_deployments

    stop_shared_deployments()
