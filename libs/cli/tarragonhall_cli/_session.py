"""The session of one run of the tool: its client and its output."""

from __future__ import annotations

from tarragonhall_cli._client import AdminClient
from tarragonhall_cli._output import Output
from tarragonhall_cli._profiles import choose_profile


class Session:
    """The client and the output of one run; the profile is read on first use."""

    __slots__ = ("_client", "_options", "out")

    def __init__(self, options: dict, out: Output) -> None:
        self._options = options
        self._client: AdminClient | None = None
        self.out = out

    @property
    def client(self) -> AdminClient:
        """Return the client of the chosen profile."""
        if self._client is None:
            self._client = AdminClient(choose_profile(**self._options))
        return self._client
