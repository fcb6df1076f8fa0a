"""Links between processes, the HTTP server, logs, metrics and the timeline."""

from __future__ import annotations

from tarragonhall_wire._clock import elapsed_seconds
from tarragonhall_wire._context import ProcessContext, Role, make_context
from tarragonhall_wire._control_client import ControlClient
from tarragonhall_wire._event_loop import (
    EventLoop,
    count_failed_threads,
    use_event_loop,
    wait_and_receive,
)
from tarragonhall_wire._guard import attempt, repeat
from tarragonhall_wire._handshake import HandshakeError, Peer
from tarragonhall_wire._http import HttpServer
from tarragonhall_wire._http_exchange import HttpRequest, HttpResponse, sse_event
from tarragonhall_wire._hub import Hub, split_address
from tarragonhall_wire._inbound import Inbound, InboundClient, NoRoomError
from tarragonhall_wire._leader_client import LeaderClient, UnavailableError
from tarragonhall_wire._link import Link
from tarragonhall_wire._logs import configure_logging
from tarragonhall_wire._metrics import Metrics, make_metrics
from tarragonhall_wire._native_thread import NativeThread
from tarragonhall_wire._problems import Problems
from tarragonhall_wire._request_reader import (
    NO_ROOM_CODE,
    NO_ROOM_RETRY_SECONDS,
    ClientGoneError,
    ReadLimits,
    RequestError,
    RequestReader,
    linger,
)
from tarragonhall_wire._sockets import ReadLimitError, bound_receive_buffers, report_resets
from tarragonhall_wire._timeline import HybridClock, Timeline
from tarragonhall_wire._traffic import Traffic, report_traffic, report_traffic_loop

__all__ = [
    "NO_ROOM_CODE",
    "NO_ROOM_RETRY_SECONDS",
    "ClientGoneError",
    "ControlClient",
    "EventLoop",
    "HandshakeError",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "Hub",
    "HybridClock",
    "Inbound",
    "InboundClient",
    "LeaderClient",
    "Link",
    "Metrics",
    "NativeThread",
    "NoRoomError",
    "Peer",
    "Problems",
    "ProcessContext",
    "Role",
    "Timeline",
    "Traffic",
    "UnavailableError",
    "attempt",
    "bound_receive_buffers",
    "configure_logging",
    "count_failed_threads",
    "elapsed_seconds",
    "make_context",
    "make_metrics",
    "ReadLimitError",
    "ReadLimits",
    "RequestError",
    "RequestReader",
    "linger",
    "repeat",
    "report_resets",
    "report_traffic",
    "report_traffic_loop",
    "split_address",
    "sse_event",
    "use_event_loop",
    "wait_and_receive",
]
