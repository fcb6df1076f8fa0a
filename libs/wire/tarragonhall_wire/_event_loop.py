"""The event loop of a process: eventlet's epoll hub with fewer system calls and wake-ups.

Load pattern: each connection waits for input, is read once, and waits again, thousands of times a
second, and nearly every wait has a timeout that is cancelled. Eventlet's own hub adds a descriptor
to epoll before each wait and removes it after, and wakes up when a cancelled timer would have been
due. Here a descriptor stays registered for input until input arrives that nobody waits for, and
cancelled timers are dropped before the next sleep is computed.
"""

from __future__ import annotations

import errno
import heapq
import select
import sys
from collections.abc import Callable

import structlog
from eventlet import hubs
from eventlet.greenio import GreenSocket
from eventlet.hubs import epolls
from eventlet.hubs.hub import BaseHub

from tarragonhall_wire._metrics import Metrics

log = structlog.get_logger(__name__)

FAILED_THREADS = "threads.failed"
FAILED_TASKS = "tasks.failed"
READ, WRITE = "read", "write"
READ_MASK = select.EPOLLIN | select.EPOLLPRI
WRITE_MASK = select.EPOLLOUT
ERROR_MASK = select.EPOLLERR | select.EPOLLHUP
MASK_BY_EVENT = {READ: READ_MASK, WRITE: WRITE_MASK}


class EventLoop(epolls.Hub):
    """An epoll hub that keeps descriptors registered for input.

    A descriptor that the kernel has closed leaves epoll by itself. Eventlet reports each one that
    it opens to `mark_as_reopened`, which drops what is known of an earlier use of its number.

    A green thread that ends with an exception is logged and passed to `on_failed_thread`; eventlet
    prints a traceback only. `on_failed_task` is called at failures that end no thread (`_guard`).
    """

    def __init__(self, clock=None) -> None:
        super().__init__(clock)
        self._mask_by_fileno: dict[int, int] = {}
        self.on_failed_thread: Callable[[], None] = lambda: None
        self.on_failed_task: Callable[[], None] = lambda: None

    @staticmethod
    def is_available() -> bool:
        """Return whether the platform has epoll."""
        return epolls.is_available()

    def add(self, evtype, fileno, cb, tb, mark_as_closed):
        """Wait for an event of a descriptor; see `BaseHub.add`."""
        listener = BaseHub.add(self, evtype, fileno, cb, tb, mark_as_closed)
        if mark_as_closed is None:
            # Not a socket of eventlet, so nobody would have reported that its number was reused.
            self._mask_by_fileno.pop(fileno, None)
        mask = self._mask_by_fileno.get(fileno, 0)
        wanted = mask | MASK_BY_EVENT[evtype]
        if mask != wanted:
            try:
                self._set_mask(fileno, wanted)
            except BaseException:
                BaseHub.remove(self, listener)
                raise
        return listener

    def remove(self, listener) -> None:
        """Stop waiting; a descriptor stays registered for input, but never for output."""
        if listener.spent:
            return
        BaseHub.remove(self, listener)
        fileno = listener.fileno
        if listener.evtype == WRITE and fileno not in self.listeners[WRITE]:
            mask = self._mask_by_fileno.get(fileno, 0)
            self._set_mask(fileno, mask & ~WRITE_MASK)

    def mark_as_reopened(self, fileno: int) -> None:
        """Drop everything known of an earlier use of a descriptor's number."""
        self._mask_by_fileno.pop(fileno, None)
        BaseHub.mark_as_reopened(self, fileno)

    def remove_descriptor(self, fileno: int) -> None:
        """Remove all listeners of a descriptor."""
        self._mask_by_fileno.pop(fileno, None)
        super().remove_descriptor(fileno)

    def prepare_timers(self) -> None:
        """Take over new timers, and drop cancelled ones that would be due first."""
        super().prepare_timers()
        timers = self.timers
        while timers and timers[0][1].called:
            heapq.heappop(timers)
            self.timers_canceled -= 1

    def squelch_timer_exception(self, _timer, exc_info) -> None:
        """Report a green thread that failed after a wait for time or another thread."""
        self._report_failed_thread(exc_info)

    def squelch_generic_exception(self, exc_info) -> None:
        """Report a failed callback of the loop."""
        self._report_failed_thread(exc_info)

    def squelch_exception(self, fileno, exc_info) -> None:
        """Report a green thread that failed after a wait for a descriptor, and drop its waiters."""
        self._report_failed_thread(exc_info)
        self.remove_descriptor(fileno)

    def _report_failed_thread(self, exc_info) -> None:
        log.error("thread.failed", error=repr(exc_info[1]), exc_info=exc_info)
        self.on_failed_thread()

    def wait(self, seconds: float | None = None) -> None:
        """Wait for events for at most `seconds`, and call their listeners."""
        try:
            events = self.poll.poll(seconds)
        except InterruptedError:
            return
        if not events:
            return
        # Collected before any is called, since a call may change the listeners.
        due = []
        for fileno, event in events:
            self._collect(fileno, event, due)
        for listener, fileno in due:
            try:
                listener.cb(fileno)
            except self.SYSTEM_EXCEPTIONS:
                raise
            except BaseException:  # noqa: BLE001 - one descriptor must not stop the loop
                self.squelch_exception(fileno, sys.exc_info())

    def _collect(self, fileno: int, event: int, due: list) -> None:
        """Add the listeners of an event, and unregister what nobody waits for."""
        reader = self.listeners[READ].get(fileno)
        writer = self.listeners[WRITE].get(fileno)
        failed = event & ERROR_MASK
        if reader is not None and (failed or event & READ_MASK):
            due.append((reader, fileno))
        if writer is not None and (failed or event & WRITE_MASK):
            due.append((writer, fileno))
        if reader is None and event & (READ_MASK | ERROR_MASK):
            self._set_mask(fileno, 0 if writer is None else WRITE_MASK)

    def _set_mask(self, fileno: int, mask: int) -> None:
        """Register a descriptor for the events of `mask`; for none, unregister it."""
        known = self._mask_by_fileno.get(fileno, 0)
        if not mask:
            self._mask_by_fileno.pop(fileno, None)
            try:
                self.poll.unregister(fileno)
            except (OSError, ValueError):
                # The kernel has dropped it when it was closed.
                return
            return
        try:
            if known:
                self.poll.modify(fileno, mask)
            else:
                self.poll.register(fileno, mask)
        except OSError as error:
            if error.errno == errno.EEXIST:
                self.poll.modify(fileno, mask)
            elif error.errno == errno.ENOENT:
                self.poll.register(fileno, mask)
            else:
                raise
        self._mask_by_fileno[fileno] = mask


def wait_and_receive(connection: GreenSocket, size: int) -> bytes:
    """Wait for input on a socket, then read it; empty at the end of the connection.

    For a socket whose input was read just now: a read at once, as `recv` tries it first, would
    nearly always fail. Raises `OSError` or `EOFError` as `recv` does.
    """
    try:
        connection._read_trampoline()
    except hubs.IOClosed as error:
        raise EOFError("the socket was closed") from error
    return connection.recv(size)


def use_event_loop() -> None:
    """Make `EventLoop` the hub of this thread; call before any green thread starts."""
    hubs.use_hub(EventLoop)


def count_failed_threads(metrics: Metrics) -> None:
    """Count the green threads of this process that end with an exception, and failed tasks."""
    loop = hubs.get_hub()
    metrics.count(FAILED_THREADS, 0)
    loop.on_failed_thread = lambda: metrics.count(FAILED_THREADS)
    metrics.count(FAILED_TASKS, 0)
    loop.on_failed_task = lambda: metrics.count(FAILED_TASKS)
