"""Disks that refuse every write while they are full, whose syncs fail, or that hang."""

from __future__ import annotations

import errno
import os
from pathlib import Path

from eventlet import patcher

_threading = patcher.original("threading")
_sleep = patcher.original("time").sleep
HANG_POLL_SECONDS = 0.005


class Disks:
    """Replaces the system calls for writes to files; `install` and `restore` bracket its use.

    Each folder counts as a disk. Reads and removals go on to work on a full one.
    """

    def __init__(self) -> None:
        self.refused_by_folder: dict[str, int] = {}
        # The number of calls that a hanging disk holds or has held, by folder.
        self.hanging_by_folder: dict[str, int] = {}
        self._error_by_folder: dict[str, int] = {}
        self._calls = {"write": os.write, "fsync": os.fsync, "fdatasync": os.fdatasync}

    def install(self) -> None:
        """Replace the system calls."""
        os.write = self._checked("write")
        os.fsync = self._checked("fsync")
        os.fdatasync = self._checked("fdatasync")

    def restore(self) -> None:
        """Put the system calls back."""
        for name, call in self._calls.items():
            setattr(os, name, call)

    def fill(self, folder: Path) -> None:
        """Refuse every write below the folder for lack of space."""
        self._fail(folder, errno.ENOSPC)

    def break_down(self, folder: Path) -> None:
        """Refuse every write and sync below the folder with an input/output error."""
        self._fail(folder, errno.EIO)

    def refuse(self, folder: Path, error: int) -> None:
        """Refuse every write and sync below the folder with an error number."""
        self._fail(folder, error)

    def hang(self, folder: Path) -> None:
        """Let every write and sync below the folder block its native thread until the repair.

        In the thread of the event loop they fail the test instead of blocking it.
        """
        self.hanging_by_folder[str(folder)] = 0

    def repair(self, folder: Path) -> None:
        """Take writes below the folder again."""
        self._error_by_folder.pop(str(folder), None)
        self.hanging_by_folder.pop(str(folder), None)

    def _fail(self, folder: Path, error: int) -> None:
        self._error_by_folder[str(folder)] = error
        self.refused_by_folder[str(folder)] = 0

    def _checked(self, name: str):
        call = self._calls[name]

        def checked(descriptor: int, *arguments):
            if self._error_by_folder or self.hanging_by_folder:
                self._check(descriptor, name)
            return call(descriptor, *arguments)

        return checked

    def _check(self, descriptor: int, name: str) -> None:
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        self._wait_while_hanging(path)
        # Copied, since a test may change them while a call runs in another thread.
        for folder, error in list(self._error_by_folder.items()):
            if not path.startswith(folder + "/"):
                continue
            if error == errno.ENOSPC and name != "write":
                continue
            self.refused_by_folder[folder] += 1
            raise OSError(error, os.strerror(error))

    def _wait_while_hanging(self, path: str) -> None:
        for folder in list(self.hanging_by_folder):
            if not path.startswith(folder + "/"):
                continue
            if _threading.current_thread() is _threading.main_thread():
                raise AssertionError(f"{path}: a disk that hangs would stop the event loop")
            if folder in self.hanging_by_folder:
                self.hanging_by_folder[folder] += 1
            while folder in self.hanging_by_folder:
                _sleep(HANG_POLL_SECONDS)
