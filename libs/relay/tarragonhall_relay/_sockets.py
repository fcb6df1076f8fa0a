"""Socket options, and a check that an idle connection is still usable."""

from __future__ import annotations

import errno
import struct

from eventlet.green import socket

# A connection is closed when sent bytes stay unacknowledged for so long: a network device in
# between may have dropped its state without a reset. Longer than the usual short pause of a
# machine.
USER_TIMEOUT_MS = 2_000
# TCP keepalive, for the same fault on idle connections.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


def set_options(connection) -> None:
    """Send small writes at once and detect dead connections."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def set_reset_on_close(connection, enabled: bool) -> None:
    """Make the kernel reset a connection at its close, also if the process ends; or close it."""
    option = struct.pack("ii", int(enabled), 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


def is_open_and_idle(connection) -> bool:
    """Return whether a connection is open and has no unread bytes.

    Unread bytes belong to no call. They would be read as the response to the next one, and a client
    would get a response that was meant for another.
    """
    try:
        connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError as error:
        return error.errno in (errno.EAGAIN, errno.EWOULDBLOCK)
    return False
