from __future__ import annotations

import queue
import threading

import pytest
from tarragonhall_model import decode, encode
from tarragonhall_wire import HandshakeError, Peer
from tarragonhall_wire._handshake import Hello, client_handshake, server_handshake

ONE = Peer("one", "life-1")
TWO = Peer("two", "life-2")


def run_handshake(client_secret: bytes, server_secret: bytes, tamper=lambda data: data):
    to_server, to_client, sent = queue.Queue(), queue.Queue(), []
    outcome = {}

    def server() -> None:
        try:
            outcome["server"] = server_handshake(
                to_client.put, lambda: to_server.get(timeout=0.5), server_secret, TWO
            )
        except (HandshakeError, queue.Empty) as error:
            outcome["server"] = error

    def send(data: bytes) -> None:
        sent.append(data)
        to_server.put(tamper(data))

    thread = threading.Thread(target=server)
    thread.start()
    try:
        outcome["client"] = client_handshake(
            send, lambda: to_client.get(timeout=0.5), client_secret, ONE
        )
    except (HandshakeError, queue.Empty) as error:
        outcome["client"] = error
        to_server.put(b"")
    thread.join()
    return outcome, sent


def test_both_ends_learn_the_identity_of_the_other():
    outcome, _sent = run_handshake(b"secret", b"secret")
    assert outcome == {"client": TWO, "server": ONE}


def test_the_secret_is_never_sent():
    _outcome, sent = run_handshake(b"secret-of-all", b"secret-of-all")
    assert all(b"secret-of-all" not in data for data in sent)


def test_neither_end_accepts_a_peer_with_another_secret():
    outcome, _sent = run_handshake(b"one", b"two")
    assert isinstance(outcome["client"], HandshakeError)
    assert isinstance(outcome["server"], HandshakeError)


def test_a_changed_identity_breaks_the_proof():
    # A machine in the middle rewrites the name in the first message to impersonate another
    # instance. The proof covers both first messages, so the handshake fails.
    def rename(data: bytes) -> bytes:
        message = decode(data)
        if not isinstance(message, Hello):
            return data
        return encode(Hello(message.version, message.nonce, Peer("three", "life-1")))

    outcome, _sent = run_handshake(b"secret", b"secret", rename)
    assert isinstance(outcome["client"], HandshakeError)


def test_another_protocol_version_is_rejected_with_the_name_of_the_peer():
    def newer(data: bytes) -> bytes:
        message = decode(data)
        if not isinstance(message, Hello):
            return data
        return encode(Hello(99, message.nonce, message.peer))

    outcome, _sent = run_handshake(b"secret", b"secret", newer)
    with pytest.raises(HandshakeError, match="one speaks version 99"):
        raise outcome["server"]
