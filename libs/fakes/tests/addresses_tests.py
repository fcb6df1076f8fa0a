"""Tests of the addresses for processes of tests and tools."""

from __future__ import annotations

from tarragonhall_fakes import free_address


def test_no_address_is_returned_twice():
    """Two processes that got the same address before starting could not both listen on it."""
    assert len({free_address() for _ in range(1_500)}) == 1_500
