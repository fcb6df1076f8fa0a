"""Addresses for the processes of tests and tools."""

from __future__ import annotations

from tarragonhall_fakes import free_address


def test_no_address_is_handed_out_twice():
    """Two processes that are about to start get one address; the later one cannot listen on it."""
    assert len({free_address() for _ in range(1_500)}) == 1_500
