"""The admin API over HTTP, with resends that cannot take effect twice."""

from __future__ import annotations

import json
import time
import uuid
from urllib.parse import quote, urlencode

import urllib3
from tarragonhall_model import Finding
from urllib3.exceptions import HTTPError

from tarragonhall_cli._errors import (
    ConflictError,
    NotAllowedError,
    NotFoundError,
    RefusedInputError,
    ServiceUnavailableError,
    ToolError,
    UnreachableError,
)
from tarragonhall_cli._profiles import Profile

CONNECT_SECONDS = 2.0
READ_SECONDS = 10.0
# An election takes a second or two; an operator should not have to repeat a command for it.
GIVE_UP_SECONDS = 15.0
PAUSE_SECONDS = 0.25
UNAVAILABLE = 503


class AdminClient:
    """Sends admin requests to whichever control member answers."""

    __slots__ = ("_give_up_seconds", "_http", "_profile")

    def __init__(self, profile: Profile, give_up_seconds: float = GIVE_UP_SECONDS) -> None:
        self._http = urllib3.PoolManager(retries=False)
        self._profile = profile
        self._give_up_seconds = give_up_seconds

    def get(self, path: str, /, **query: object) -> dict:
        """Read something."""
        given = {name: value for name, value in query.items() if value is not None}
        suffix = f"?{urlencode(given)}" if given else ""
        return self._until_answered("GET", f"/admin/v1/{path}{suffix}", None)

    def post(self, path: str, body: dict, read_seconds: float = READ_SECONDS) -> dict:
        """Change something; every resend carries the same request id, so it takes effect once.

        `read_seconds` is how long one member may take to answer.
        """
        with_id = {"request_id": f"cli-{uuid.uuid4().hex}"} | body
        return self._until_answered("POST", f"/admin/v1/{path}", with_id, read_seconds)

    def delete(self, path: str, read_seconds: float = READ_SECONDS) -> dict:
        """Take something away; doing it twice changes no more than doing it once."""
        body = {"request_id": f"cli-{uuid.uuid4().hex}"}
        return self._until_answered("DELETE", f"/admin/v1/{path}", body, read_seconds)

    def _until_answered(
        self, method: str, path: str, body: dict | None, read_seconds: float = READ_SECONDS
    ) -> dict:
        deadline = time.monotonic() + self._give_up_seconds
        last: ToolError = UnreachableError("no admin address is set")
        while True:
            for address in self._profile.admin:
                try:
                    return self._once(method, address, path, body, read_seconds)
                except (UnreachableError, ServiceUnavailableError) as error:
                    last = error
            if time.monotonic() >= deadline:
                raise last
            time.sleep(PAUSE_SECONDS)

    def _once(
        self, method: str, address: str, path: str, body: dict | None, read_seconds: float
    ) -> dict:
        headers = {"Authorization": f"Bearer {self._profile.token}"}
        data = None
        if body is not None:
            headers["Content-Type"] = "application/json"
            data = json.dumps(body).encode()
        try:
            response = self._http.request(
                method,
                f"http://{address}{path}",
                body=data,
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=read_seconds),
            )
        except HTTPError as error:
            raise UnreachableError(f"{address} does not answer: {error}") from error
        return _read(response, address)


def path_part(text: str) -> str:
    """Escape a name for use as one part of a URL path."""
    return quote(text, safe="")


def _read(response: urllib3.BaseHTTPResponse, address: str) -> dict:
    try:
        value = json.loads(response.data) if response.data else {}
    except ValueError as error:
        raise ToolError(f"{address} answered {response.status} without JSON") from error
    if response.status < 300:
        return value
    message = value.get("message") or value.get("error") or f"status {response.status}"
    findings = [Finding(f["place"], f["message"]) for f in value.get("findings") or []]
    details = "".join(f"\n  {finding}" for finding in findings)
    match response.status:
        case 400 | 413 | 422:
            raise RefusedInputError(message, findings)
        case 401 | 403:
            raise NotAllowedError(message + details)
        case 404:
            raise NotFoundError(message + details)
        case 409:
            raise ConflictError(message + details)
        case 503:
            raise ServiceUnavailableError(message + details)
        case _:
            raise ToolError(f"{message} (status {response.status}){details}")
