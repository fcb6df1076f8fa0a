"""Odd records of backend servers that an earlier version accepted, beside sound ones."""

from __future__ import annotations

import dataclasses

import pytest
from relay_doubles import answers

ODD = [
    {"address": "a\x00b:80"},
    {"address": "a" * 70 + ".example:80"},
    {"address": "host.example:80"},
    {"address": "10.0.0.1:99999"},
    {"address": "10.0.0.1:\u00b2"},
    {"address": "127.0.0.1:80:80"},
    {"address": "nowhere"},
    {"address": ""},
    {"server_id": "i\r\nx: y"},
    {"server_id": "i\x00"},
    {"server_id": "\u00fc"},
    {"slots": 2**63 - 1, "warmup_ms": 10**300, "sequence": 2**63 - 1, "address": "nowhere:80"},
]


@pytest.mark.parametrize("odd", ODD)
@pytest.mark.parametrize("path", ["/look/", "/buy/", "/talk/"])
def test_calls_go_on_beside_a_server_with_an_odd_record(relay, odd, path):
    # Each call that picked such a server ended without an answer.
    sound = relay.backend(answers(body=b"id: 1\ndata: word\n\n"))
    record = dataclasses.replace(sound.record(), server_id="odd", sequence=2)
    records = [sound.record(), dataclasses.replace(record, **odd)]
    relay.state.chooser.set_servers(records, relay.state.monotonic())
    for number in range(8):
        assert relay.call(path, f"a-{number}", body=b"%d" % number)[0] == 200
