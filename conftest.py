"""Patches the standard library and prepares the property library before any test runs.

A module that is imported before the patch keeps the blocking selectors: a server of it in a thread
then blocks every other green thread, and the tests hang.

Tests that `KNOWN-RED.txt` lists are passed over and printed: one line each with the test, the
cause, the command with its seed, and the issue, separated by ` | `.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

from pathlib import Path  # noqa: E402

import pytest  # noqa: E402
from hypothesis import find, settings  # noqa: E402
from hypothesis import strategies as st  # noqa: E402
from tarragonhall_wire import use_event_loop  # noqa: E402

# Before any test starts a green thread, so that all run on the event loop of the processes.
use_event_loop()

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
FIELDS = 4


@pytest.fixture(scope="session", autouse=True)
def character_tables() -> None:
    """Build the tables of characters that text strategies use.

    They are built at the first use in a fresh clone and take seconds on a slow machine. Inside a
    test that time is charged to its examples, and whichever test comes first fails as too slow.
    """
    find(st.text(), lambda _text: True, settings=settings(database=None))


def known_red() -> list[str]:
    """Return the lines of the list; each must hold all its fields."""
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    for line in lines:
        if len(line.split(" | ")) != FIELDS:
            raise pytest.UsageError(f"KNOWN-RED.txt: expected {FIELDS} fields in: {line}")
    return lines


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Pass over exactly the tests that are listed."""
    listed = {line.split(" | ")[0] for line in known_red()}
    passed_over = [item for item in items if item.nodeid in listed]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what was passed over."""
    for line in known_red():
        terminalreporter.write_line(f"KNOWN RED, passed over: {line}")
