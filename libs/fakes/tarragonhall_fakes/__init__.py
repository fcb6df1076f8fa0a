"""Fakes of the model engine and of a plain service, and the load tool."""

from __future__ import annotations

from tarragonhall_fakes._addresses import free_address
from tarragonhall_fakes._batch import EngineOptions, answer_to
from tarragonhall_fakes._client_crowd import (
    ClientCrowd,
    endless,
    lists_in_json,
    silent,
    stopped_body,
    stopped_chunks,
    whole_chunks,
)
from tarragonhall_fakes._disks import Disks
from tarragonhall_fakes._engine import Engine, start_engine
from tarragonhall_fakes._faults import Fault, FaultKind
from tarragonhall_fakes._load_results import LoadResult, table
from tarragonhall_fakes._load_run import (
    Deployment,
    LoadOptions,
    TimedAction,
    clear_faults,
    post_fault,
    run_load,
)
from tarragonhall_fakes._load_workload import Workload, make_workload
from tarragonhall_fakes._process_watch import ProcessWatch, unread_bytes
from tarragonhall_fakes._processes import LocalProcess, ProcessError, run_script, script
from tarragonhall_fakes._relay import Relay
from tarragonhall_fakes._server import Exchange, FakeServer
from tarragonhall_fakes._service import ATTEMPT_HEADER, Service, start_service

__all__ = [
    "ATTEMPT_HEADER",
    "ClientCrowd",
    "Deployment",
    "Disks",
    "Engine",
    "EngineOptions",
    "Exchange",
    "FakeServer",
    "Fault",
    "FaultKind",
    "LoadOptions",
    "LoadResult",
    "LocalProcess",
    "ProcessError",
    "ProcessWatch",
    "Relay",
    "Service",
    "TimedAction",
    "Workload",
    "answer_to",
    "clear_faults",
    "endless",
    "free_address",
    "lists_in_json",
    "make_workload",
    "post_fault",
    "run_load",
    "run_script",
    "script",
    "silent",
    "start_engine",
    "start_service",
    "stopped_body",
    "stopped_chunks",
    "table",
    "unread_bytes",
    "whole_chunks",
]
