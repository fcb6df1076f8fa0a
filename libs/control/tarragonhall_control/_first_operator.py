"""The first operator: created by `--init` on one member, committed by the running group."""

from __future__ import annotations

import json
import os
from pathlib import Path

import eventlet
import structlog
from tarragonhall_group import LoopBusyError, OutcomeUnknownError
from tarragonhall_model import (
    TOKEN_PREFIX,
    Finding,
    InputError,
    LinkError,
    Propose,
    Proposed,
    StorageError,
    new_secret,
    secret_hash,
)
from tarragonhall_state import CreateFirstOperator
from tarragonhall_wire import attempt

from tarragonhall_control._member import LOG_FOLDER, ControlMember
from tarragonhall_control._settings import ControlSettings

log = structlog.get_logger(__name__)

FILE_NAME = "first-operator.json"
FIRST_OPERATOR = "root"
# The token is used as soon as entries are ready, which is right after the election. With a longer
# delay it would be rejected as unknown until the operator is committed.
RETRY_DELAY_SECONDS = 0.02
REQUEST_TIMEOUT_SECONDS = 2.0


def initialise(settings: ControlSettings, instance: str) -> str:
    """Create the data folder and the first operator, and return the operator's token.

    Only the token's hash is stored. Of several initial members, one is initialised and the others
    are only started: the leader commits the operator.
    """
    if instance not in settings.members:
        text = f"{instance!r} is not one of the initial members"
        raise InputError([Finding("/control/members", text)])
    folder = Path(settings.data_folder)
    if (folder / FILE_NAME).exists() or (folder / LOG_FOLDER).exists():
        raise StorageError(f"{folder}: already initialised")
    token = new_secret(TOKEN_PREFIX)
    content = {"name": FIRST_OPERATOR, "token_hash": secret_hash(token)}
    try:
        folder.mkdir(parents=True, exist_ok=True)
        _write_durably(folder / FILE_NAME, json.dumps(content))
    except OSError as error:
        raise StorageError(f"{folder}: {error.strerror}") from error
    return token


def propose_first_operator(member: ControlMember, settings: ControlSettings) -> None:
    """Commit the operator of this folder, retrying until it succeeds, then remove the file."""
    path = Path(settings.data_folder) / FILE_NAME
    if not path.exists():
        return
    content = json.loads(path.read_text())
    command = CreateFirstOperator(content["name"], content["token_hash"])
    # Derived from the hash, the id is the same after a restart, and the command applies once.
    request_id = f"first-operator-{content['token_hash'][:16]}"
    while not member.stopped:
        result = attempt(_propose, member, command, request_id)
        if result is not None:
            log.info("control.first_operator", result=type(result).__name__)
            path.unlink(missing_ok=True)
            return
        eventlet.sleep(RETRY_DELAY_SECONDS)


def _propose(member: ControlMember, command: object, request_id: str) -> object | None:
    """Propose locally or to the leader; return the result, or None to retry."""
    if member.is_leader():
        try:
            return member.commit(command, request_id)
        except (LoopBusyError, OutcomeUnknownError):
            return None
    address = member.leader_address()
    if address is None:
        return None
    try:
        link = member.context.hub.wait_for_link(address, REQUEST_TIMEOUT_SECONDS)
        reply = link.request(Propose(request_id, command), REQUEST_TIMEOUT_SECONDS)
    except LinkError:
        return None
    return reply.result if isinstance(reply, Proposed) else None


def _write_durably(path: Path, text: str) -> None:
    """Write a file atomically; once this returns, the file survives a power failure."""
    temporary = path.with_suffix(".tmp")
    with open(temporary, "w", opener=_open_private) as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, path)
    descriptor = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _open_private(path: str, flags: int) -> int:
    return os.open(path, flags, 0o600)
