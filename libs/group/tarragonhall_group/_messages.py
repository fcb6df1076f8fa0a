"""Messages between the members of one group."""

from __future__ import annotations

from tarragonhall_model import record


@record
class LogMessage:
    """Carries a message of the replicated log; it may be lost.

    `address` is the sender's link address, for peers whose settings do not have it.
    """

    sender: str
    message: object
    address: str = ""
