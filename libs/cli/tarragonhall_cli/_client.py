"""An HTTP client of the admin API, whose retries cannot apply a change twice."""

from __future__ import annotations

import json
import time
import uuid
from urllib.parse import quote, urlencode

import urllib3
from tarragonhall_model import Finding, WholeResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from tarragonhall_cli._errors import (
    ConflictError,
    NotAllowedError,
    NotFoundError,
    RejectedInputError,
    ServiceUnavailableError,
    ToolError,
    UnreachableError,
)
from tarragonhall_cli._profiles import Profile

CONNECT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 10.0
# Requests are retried for this long. An election takes a second or two, and operators should not
# have to repeat a command because of one.
RETRY_SECONDS = 15.0
RETRY_PAUSE_SECONDS = 0.25
STATUS_UNAVAILABLE = 503


class _Connection(HTTPConnection):
    response_class = WholeResponse


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class AdminClient:
    """Sends admin requests to the first control member that answers."""

    __slots__ = ("_http", "_profile", "_retry_seconds")

    def __init__(self, profile: Profile, retry_seconds: float = RETRY_SECONDS) -> None:
        self._http = urllib3.PoolManager(retries=False)
        self._http.pool_classes_by_scheme = {"http": _Pool}
        self._profile = profile
        self._retry_seconds = retry_seconds

    def get(self, path: str, /, **query: object) -> dict:
        """Send a GET request; query parameters that are None are left out."""
        present = {name: value for name, value in query.items() if value is not None}
        suffix = f"?{urlencode(present)}" if present else ""
        return self._request_with_retries("GET", f"/admin/v1/{path}{suffix}", None)

    def post(self, path: str, body: dict, read_seconds: float = READ_TIMEOUT_SECONDS) -> dict:
        """Send a POST request; retries carry the same request id, so a change is applied once.

        `read_seconds` is the time limit for the answer of one member.
        """
        body_with_id = {"request_id": f"cli-{uuid.uuid4().hex}"} | body
        return self._request_with_retries("POST", f"/admin/v1/{path}", body_with_id, read_seconds)

    def delete(self, path: str, read_seconds: float = READ_TIMEOUT_SECONDS) -> dict:
        """Send a DELETE request, which is idempotent."""
        body = {"request_id": f"cli-{uuid.uuid4().hex}"}
        return self._request_with_retries("DELETE", f"/admin/v1/{path}", body, read_seconds)

    def _request_with_retries(
        self, method: str, path: str, body: dict | None, read_seconds: float = READ_TIMEOUT_SECONDS
    ) -> dict:
        deadline = time.monotonic() + self._retry_seconds
        last_error: ToolError = UnreachableError("no admin address is configured")
        while True:
            for address in self._profile.admin:
                try:
                    return self._request(method, address, path, body, read_seconds)
                except (UnreachableError, ServiceUnavailableError) as error:
                    last_error = error
            if time.monotonic() >= deadline:
                raise last_error
            time.sleep(RETRY_PAUSE_SECONDS)

    def _request(
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
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=read_seconds),
            )
        except HTTPError as error:
            raise UnreachableError(f"{address} does not answer: {error}") from error
        return _decode(response, address)


def path_segment(text: str) -> str:
    """Escape a name for use as one segment of a URL path."""
    return quote(text, safe="")


def _decode(response: urllib3.BaseHTTPResponse, address: str) -> dict:
    try:
        value = json.loads(response.data) if response.data else {}
    except ValueError as error:
        raise ToolError(f"{address} answered {response.status} without JSON") from error
    if not isinstance(value, dict):
        raise ToolError(f"{address} answered {response.status} without a JSON object")
    if 200 <= response.status < 300:
        return value
    message = value.get("message") or value.get("error") or f"status {response.status}"
    findings = [Finding(f["place"], f["message"]) for f in value.get("findings") or []]
    details = "".join(f"\n  {finding}" for finding in findings)
    match response.status:
        case 400 | 413 | 422:
            raise RejectedInputError(message, findings)
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
