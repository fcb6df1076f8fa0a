"""Stops what still runs for programs that were cancelled or have expired."""

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


def stop_ended(state: ControlState, followers: Followers, body: object, result: object) -> None:
    """Tell the sidecars of the programs that a command just ended, sub-agents included.

    Only the leader knows all programs under a root, and it alone hears of an expiry. Without this
    the running calls of sub-agents kept their slots to their end, for nobody. A message that is
    lost costs time only: the run ends by its deadline, and a sidecar asks which programs live.
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
                # The life that ran it is over, and its runs and its memory with it.
                continue
            target = (server.address, attempt.program_id)
            attempts_by_target.setdefault(target, set()).add(attempt)
    for (address, program_id), attempts in attempts_by_target.items():
        stop = tuple(sorted(attempts, key=lambda attempt: attempt.key))
        followers.send(address, ReleaseProgram(program_id, stop))
