"""Start and stop the processes of a small deployment, for the demo, measurements and features.

Only tools and tests start processes this way; no process of the system starts another.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import urllib3
from urllib3.exceptions import HTTPError

READY_SECONDS = 15.0
POLL_SECONDS = 0.05
STOP_SECONDS = 20.0


class ProcessError(RuntimeError):
    """A process ended early or did not become ready; the message holds the end of its log."""


class LocalProcess:
    """One process of a deployment on this machine, with its log in a file."""

    __slots__ = ("_popen", "command", "log_file")

    def __init__(self, command: list[str], log_file: Path) -> None:
        self.command = command
        self.log_file = log_file
        log_file.parent.mkdir(parents=True, exist_ok=True)
        with log_file.open("ab") as log:
            self._popen = subprocess.Popen(command, stdout=log, stderr=log)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self._popen.poll() is None

    def wait_ready(self, url: str) -> None:
        """Wait until a GET of the URL answers 200."""
        http = urllib3.PoolManager(retries=False, timeout=2.0)
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if not self.running():
                raise ProcessError(f"{self.command[0]} ended early:\n{self._log_tail()}")
            try:
                if http.request("GET", url).status == 200:
                    return
            except HTTPError:
                pass
            time.sleep(POLL_SECONDS)
        raise ProcessError(f"{url} did not become ready:\n{self._log_tail()}")

    def kill(self) -> None:
        """End the process without warning."""
        self._popen.kill()
        self._popen.wait()

    def pause(self) -> None:
        """Stop the process where it is; `resume` lets it go on."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def ask_to_stop(self) -> None:
        """Ask the process for a graceful stop."""
        if self.running():
            self._popen.terminate()

    def stop(self, timeout_s: float = STOP_SECONDS) -> int:
        """Stop the process gracefully, or kill it after the timeout; return its exit code."""
        self.ask_to_stop()
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._popen.returncode

    def _log_tail(self) -> str:
        return self.log_file.read_text(errors="replace")[-2_000:]


def script(name: str) -> str:
    """Return the path of a console script installed beside this Python."""
    return str(Path(sys.executable).parent / name)


def run_script(name: str, *arguments: str, timeout_s: float = 60.0) -> str:
    """Run a console script to its end and return what it printed; raise where it failed."""
    done = subprocess.run(
        [script(name), *arguments], capture_output=True, text=True, timeout=timeout_s, check=False
    )
    if done.returncode != 0:
        raise ProcessError(f"{name} {' '.join(arguments)} failed:\n{done.stderr}{done.stdout}")
    return done.stdout
