"""A native thread for calls that may block, such as those of a disk that hangs."""

from __future__ import annotations

from collections.abc import Callable

from eventlet import patcher

_queue = patcher.original("queue")
_threading = patcher.original("threading")


class NativeCall:
    """One call, its end and its outcome."""

    __slots__ = ("_arguments", "_error", "_function", "_lock", "_result")

    def __init__(self, function: Callable, arguments: tuple) -> None:
        self._function = function
        self._arguments = arguments
        self._result: object = None
        self._error: BaseException | None = None
        self._lock = _threading.Lock()
        self._lock.acquire()

    def run(self) -> None:
        """Make the call in this thread; its outcome is that of `result`."""
        try:
            self._result = self._function(*self._arguments)
        except BaseException as error:  # noqa: BLE001 - raised again by `result`
            self._error = error
        self._lock.release()

    def wait(self, seconds: float) -> bool:
        """Block this thread until `run` has ended; return whether it has."""
        return self._lock.acquire(timeout=seconds)

    def result(self) -> object:
        """Return the result after the end of `run`, or raise its error."""
        if self._error is not None:
            raise self._error
        return self._result


class NativeThread:
    """A native thread that makes calls in the order of their submission.

    It does not keep the process from exiting.
    """

    __slots__ = ("_calls",)

    def __init__(self, name: str) -> None:
        self._calls = _queue.SimpleQueue()
        _threading.Thread(target=self._run, name=name, daemon=True).start()

    def submit(self, function: Callable, *arguments: object) -> NativeCall:
        """Have the function called in the thread."""
        call = NativeCall(function, arguments)
        self._calls.put(call)
        return call

    def stop(self) -> None:
        """End the thread after the calls submitted so far."""
        self._calls.put(None)

    def _run(self) -> None:
        while True:
            call = self._calls.get()
            if call is None:
                return
            call.run()
