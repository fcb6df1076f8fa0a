"""Makes the test doubles in this folder importable and gives each test its own relay."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from relay_doubles import Relay  # noqa: E402


@pytest.fixture
def relay():
    instance = Relay()
    yield instance
    instance.stop()
