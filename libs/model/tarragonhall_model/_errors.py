"""The exception hierarchy. Every error that the project raises on purpose has one base class."""

from __future__ import annotations

from tarragonhall_model._findings import Finding, first_findings


class TarragonhallError(Exception):
    """Base class of all errors raised on purpose; shown to users without a traceback."""


class InputError(TarragonhallError):
    """Invalid input, with every finding at once, up to `MAX_FINDINGS`."""

    def __init__(self, findings: list[Finding]) -> None:
        findings = first_findings(findings)
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class CodecError(TarragonhallError):
    """Data from a link, a log or a snapshot does not decode to a known record."""


class LinkError(TarragonhallError):
    """A link between two processes failed."""


class LinkClosedError(LinkError):
    """The link is closed; whether the last message arrived is unknown."""


class LinkOverloadedError(LinkError):
    """The send queue of the link is full; the message was not sent."""


class RequestTimeoutError(LinkError):
    """No reply came in time; whether the peer acted on the request is unknown."""


class StorageError(TarragonhallError):
    """The data folder is unusable for good: its content is corrupt or not for this member."""


class StorageUnavailableError(StorageError):
    """The operating system refused an operation on the data folder, as when the disk is full.

    What the folder holds is as sound as after a crash, so it can be opened again later.
    """
