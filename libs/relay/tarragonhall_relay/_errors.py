"""Errors that end a relayed call, or only one attempt at it (`BackendError` and its subclass)."""

from __future__ import annotations

from tarragonhall_model import TarragonhallError
from tarragonhall_wire import ClientGoneError


class ClientDisconnectedError(ClientGoneError):
    """The client closed its connection and no longer waits for the response."""


class DeadlineExceededError(TarragonhallError):
    """The deadline of the client or the timeout of the route has passed."""


class StoppingError(DeadlineExceededError):
    """This process stops before the call has ended."""


class BackendError(TarragonhallError):
    """A backend server was unreachable, or its connection or response failed.

    `sent` says whether any byte of the call left this process; if not, it certainly did not run.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class NoMemoryError(BackendError):
    """This entry has no memory for more of a response; its server did nothing wrong."""

    def __init__(self) -> None:
        super().__init__("the entry has no memory for more of the response", sent=True)


class ResponseTimeoutError(BackendError):
    """A server has not responded for several times the usual duration of such calls.

    Most likely its response was lost. A broken connection counts as evidence that the call crashes
    servers; this error does not.
    """

    def __init__(self, after_s: float) -> None:
        super().__init__(f"no response within {after_s:.3f} s", sent=True)


class SilentServerError(BackendError):
    """A stream has had no bytes for too long; `server_gone` if its server cannot be reached."""

    def __init__(self, silent_s: float, server_gone: bool) -> None:
        state = "cannot be reached" if server_gone else "is slow"
        super().__init__(f"no events for {silent_s:.3f} s and the server {state}", sent=True)
        self.server_gone = server_gone


class IncompleteResponseError(TarragonhallError):
    """The response failed after its head was sent: only closing the connection tells the client."""
