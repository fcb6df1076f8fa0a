from __future__ import annotations

import queue
import threading

import pytest
from tarragonhall_model import decode, encode
from tarragonhall_wire import HandshakeError, Peer
from tarragonhall_wire._handshake import Hello, answer_greeting, greet

ONE = Peer("one", "life-1")
TWO = Peer("two", "life-2")


def shake(client_secret: bytes, server_secret: bytes, spoil=lambda data: data):
    to_server, to_client, sent = queue.Queue(), queue.Queue(), []
    outcome = {}

    def server() -> None:
        try:
            outcome["server"] = answer_greeting(
                to_client.put, lambda: to_server.get(timeout=0.5), server_secret, TWO
            )
        except (HandshakeError, queue.Empty) as error:
            outcome["server"] = error

    def send(data: bytes) -> None:
        sent.append(data)
        to_server.put(spoil(data))

    thread = threading.Thread(target=server)
    thread.start()
    try:
        outcome["client"] = greet(send, lambda: to_client.get(timeout=0.5), client_secret, ONE)
    except (HandshakeError, queue.Empty) as error:
        outcome["client"] = error
        to_server.put(b"")
    thread.join()
    return outcome, sent


def test_both_ends_learn_who_the_other_is():
    outcome, _sent = shake(b"secret", b"secret")
    assert outcome == {"client": TWO, "server": ONE}


def test_the_secret_is_never_sent():
    _outcome, sent = shake(b"secret-of-all", b"secret-of-all")
    assert all(b"secret-of-all" not in data for data in sent)


def test_neither_end_accepts_a_peer_with_another_secret():
    outcome, _sent = shake(b"one", b"two")
    assert isinstance(outcome["client"], HandshakeError)
    assert isinstance(outcome["server"], HandshakeError)


def test_a_changed_identity_breaks_the_proof():
    # Something between the ends rewrites the name in the first message, to be taken for another
    # instance. The proof covers both greetings, so both ends refuse.
    def rename(data: bytes) -> bytes:
        message = decode(data)
        if not isinstance(message, Hello):
            return data
        return encode(Hello(message.version, message.nonce, Peer("three", "life-1")))

    outcome, _sent = shake(b"secret", b"secret", rename)
    assert isinstance(outcome["client"], HandshakeError)


def test_another_protocol_version_is_refused_by_name():
    def newer(data: bytes) -> bytes:
        message = decode(data)
        if not isinstance(message, Hello):
            return data
        return encode(Hello(99, message.nonce, message.peer))

    outcome, _sent = shake(b"secret", b"secret", newer)
    with pytest.raises(HandshakeError, match="one speaks version 99"):
        raise outcome["server"]
