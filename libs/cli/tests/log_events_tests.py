"""The page of log events names every event and field that the code writes."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "tools"))

import log_events  # noqa: E402


def test_the_page_of_log_events_agrees_with_the_code():
    # On-call engineers look up events in the page and would overlook one that is missing there.
    page = (ROOT / "docs" / "user-guide" / "log-events.md").read_text()
    assert log_events.table() in page, "run tools/log_events.py and put its table in the page"
