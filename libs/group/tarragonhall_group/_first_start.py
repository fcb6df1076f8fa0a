"""Records in a member's data folder that it was created at the first start of the deployment.

Settings say only at the first start that a member may create the group. A member killed before the
group existed would otherwise wait, after its restart, for a group that nobody creates.

The record is in the folder of the log, so that it is lost with it: a member that has lost its log
must not create a group.
"""

from __future__ import annotations

import os
from pathlib import Path

import structlog
from tarragonhall_consensus import disk_files
from tarragonhall_model import StorageError

log = structlog.get_logger(__name__)

FILE_NAME = "first-start"
# Files with this suffix are removed when the log is opened.
TEMPORARY_SUFFIX = ".tmp"


def record_first_start(folder: str, initial_addresses: tuple[str, ...] = ()) -> None:
    """Record the first start in a folder that is missing or empty; do nothing otherwise.

    Seeds may differ at a later start, and two lists of initial members could create two groups, so
    `initial_addresses` are recorded too.
    """
    if os.path.isdir(folder) and os.listdir(folder):
        return
    files = disk_files()
    path = f"{folder}/{FILE_NAME}"
    try:
        files.make_folder(folder)
        file = files.create(path + TEMPORARY_SUFFIX)
        try:
            file.write("\n".join(initial_addresses).encode())
            file.sync()
        finally:
            file.close()
        files.rename(path + TEMPORARY_SUFFIX, path)
        files.sync_folder(folder)
    except StorageError as error:
        # Needed only if this process ends before the group exists.
        log.warning("group.first_start_unrecorded", error=str(error))


def recorded_first_start(folder: str) -> tuple[str, ...] | None:
    """Return the recorded initial addresses, None if the folder has no record."""
    try:
        return tuple(Path(folder, FILE_NAME).read_text(encoding="ascii").split())
    except (OSError, UnicodeDecodeError):
        return None


def forget_first_start(folder: str) -> None:
    """Remove the record, once the member belongs to a group."""
    files = disk_files()
    try:
        files.remove(f"{folder}/{FILE_NAME}")
        files.sync_folder(folder)
    except StorageError as error:
        log.warning("group.first_start_kept", error=str(error))
