"""Sockets that tell a reset from the end of a connection."""

from __future__ import annotations

from eventlet import hubs
from eventlet.greenio import GreenSocket


class _ResetReportingSocket(GreenSocket):
    """A green socket whose reads raise `ConnectionResetError`, as those of plain sockets do."""

    def _recv_loop(self, recv_meth, _empty_val, *args):
        if self.act_non_blocking:
            return recv_meth(*args)
        while True:
            try:
                return recv_meth(*args)
            except BlockingIOError:
                pass
            try:
                self._read_trampoline()
            except hubs.IOClosed as error:
                raise EOFError("the socket was closed") from error


def report_resets(connection: GreenSocket) -> None:
    """Make the reads of a connection raise `ConnectionResetError` if the peer has reset it.

    By default, eventlet returns the end of the connection instead, and a message that ends with its
    connection cannot be told from a truncated one.
    """
    connection.__class__ = _ResetReportingSocket
