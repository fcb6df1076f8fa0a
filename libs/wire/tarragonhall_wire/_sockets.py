"""Sockets that tell a reset from the end of a connection and bound what they read."""

from __future__ import annotations

import eventlet
from eventlet import hubs
from eventlet.green import socket
from eventlet.greenio import GreenSocket

# Reads that find bytes at once before other green threads get their turn. A peer that sends faster
# than its bytes are read would keep all of them from running.
READS_PER_TURN = 16
# What the kernel may hold of what a client sends and that is not read yet. Left to itself, it holds
# megabytes for each connection, which count as memory of the process. A connection is not read
# while its request runs. A larger buffer only while a body arrives would stall the next one: peers
# wait for half of the largest window that they have seen.
RECEIVE_BUFFER_BYTES = 16 * 1024


class ReadLimitError(OSError):
    """The peer sent more bytes than may be read from it."""


class _ResetReportingSocket(GreenSocket):
    """A green socket whose reads raise `ConnectionResetError`, as those of plain sockets do."""

    # Bytes that may still be read, None without a limit; and reads without a wait.
    _bytes_left: int | None = None
    _reads_at_once = 0

    def _recv_loop(self, recv_meth, _empty_val, *args):
        if self.act_non_blocking:
            return recv_meth(*args)
        while True:
            if self._reads_at_once >= READS_PER_TURN:
                # Before the read: a timeout that ends the pause must not take received bytes along.
                self._reads_at_once = 0
                eventlet.sleep(0)
            try:
                received = recv_meth(*args)
                self._reads_at_once += 1
                return self._count(received)
            except BlockingIOError:
                self._reads_at_once = 0
            try:
                self._read_trampoline()
            except hubs.IOClosed as error:
                raise EOFError("the socket was closed") from error

    def _count(self, received):
        """Take what a read returned, bytes or their number, off the limit."""
        if self._bytes_left is not None:
            self._bytes_left -= received if isinstance(received, int) else len(received)
            if self._bytes_left < 0:
                raise ReadLimitError("the peer sent more bytes than may be read from it")
        return received


def bound_receive_buffers(listener) -> None:
    """Bound what the kernel holds unread for each connection that a listener accepts."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def report_resets(connection: GreenSocket, max_bytes: int | None = None) -> None:
    """Make the reads of a connection raise `ConnectionResetError` if the peer has reset it.

    By default, eventlet returns the end of the connection instead, and a message that ends with its
    connection cannot be told from a truncated one. Reads beyond `max_bytes` bytes in all raise
    `ReadLimitError`.
    """
    connection.__class__ = _ResetReportingSocket
    connection._bytes_left = max_bytes
