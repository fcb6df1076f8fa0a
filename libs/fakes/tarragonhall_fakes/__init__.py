"""Small fakes of the outside systems, and the load tool."""

from __future__ import annotations

from tarragonhall_fakes._batch import EngineOptions, answer_to
from tarragonhall_fakes._engine import Engine, start_engine
from tarragonhall_fakes._faults import Fault, FaultKind
from tarragonhall_fakes._processes import LocalProcess, ProcessError, run_script, script
from tarragonhall_fakes._relay import Relay
from tarragonhall_fakes._server import FakeServer
from tarragonhall_fakes._service import ATTEMPT_HEADER, Service, start_service

__all__ = [
    "ATTEMPT_HEADER",
    "Engine",
    "EngineOptions",
    "FakeServer",
    "Fault",
    "FaultKind",
    "LocalProcess",
    "ProcessError",
    "Relay",
    "Service",
    "answer_to",
    "run_script",
    "script",
    "start_engine",
    "start_service",
]
