"""Sockets that tell a reset from the end of a connection."""

from __future__ import annotations

import struct

import eventlet
import pytest
from eventlet.green import socket
from tarragonhall_wire import report_resets


def pair():
    return socket.socketpair()


def test_reset_is_not_the_end_of_the_connection():
    # Failure: a connection that the peer reset reads like one that it closed after its last byte.
    listener = eventlet.listen(("127.0.0.1", 0))
    for read in (lambda sock: sock.recv(10), lambda sock: sock.recv_into(bytearray(10))):
        left = socket.create_connection(listener.getsockname())
        right, _address = listener.accept()
        right.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        right.close()
        report_resets(left)
        with pytest.raises(ConnectionResetError):
            read(left)
    listener.close()


def test_end_of_the_connection_is_no_error():
    # Failure: a peer that closes after its last byte counts as one that broke off.
    left, right = pair()
    report_resets(left)
    right.close()
    assert left.recv(10) == b""
    left, right = pair()
    report_resets(left)
    left.shutdown(socket.SHUT_RDWR)
    assert left.recv(10) == b""


def test_reading_waits_for_input():
    # Failure: a read gives up before input has come, or waits for ever after its own shutdown.
    left, right = pair()
    report_resets(left)
    eventlet.spawn_after(0.01, right.sendall, b"late")
    with eventlet.Timeout(2.0):
        assert left.recv(10) == b"late"
        eventlet.spawn_after(0.01, left.shutdown, socket.SHUT_RDWR)
        assert left.recv(10) == b""
