"""Stops running attempts of programs that were cancelled or have expired."""

from __future__ import annotations

from tarragonhall_model import (
    AttemptId,
    EndProgram,
    ExpirePrograms,
    ProgramInfo,
    ProgramsExpired,
    ProgramStatus,
    ReleaseProgram,
)
from tarragonhall_state import CancelProgram, ControlState

from tarragonhall_control._followers import Followers


def stop_ended_programs(
    state: ControlState, followers: Followers, body: object, result: object
) -> None:
    """Notify the sidecars that run attempts of the programs a command just ended.

    This includes sub-agents. Only the leader knows all programs under a root, and only it learns of
    an expiry. Without the notification, calls of sub-agents would hold their slots until they end,
    with no one left to use the result. A lost message only costs time: the attempt ends at its
    deadline, and sidecars query which programs are still open.
    """
    match body, result:
        case (EndProgram() | CancelProgram(), ProgramInfo(status=status)):
            if status is not ProgramStatus.FINISHED:
                _stop(state, followers, [result.program_id])
        case ExpirePrograms(), ProgramsExpired(program_ids=program_ids):
            _stop(state, followers, program_ids)


def _stop(state: ControlState, followers: Followers, program_ids: list[str]) -> None:
    attempts_by_target: dict[tuple[str, str], set[AttemptId]] = {}
    for program_id in program_ids:
        for attempt in state.attempts_under(program_id):
            server = state.server(attempt.server_id)
            if server is None or server.incarnation != attempt.incarnation:
                # The incarnation that ran the attempt is gone, and the attempt with it.
                continue
            target = (server.address, attempt.program_id)
            attempts_by_target.setdefault(target, set()).add(attempt)
    for (address, program_id), attempts in attempts_by_target.items():
        stop = tuple(sorted(attempts, key=lambda attempt: attempt.key))
        followers.send(address, ReleaseProgram(program_id, stop))
