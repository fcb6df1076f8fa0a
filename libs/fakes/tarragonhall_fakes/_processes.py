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
    """A process exited early or did not become ready; the message holds the end of its log."""


class LocalProcess:
    """A child process that writes its output to a log file."""

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
        """Return whether the process has not exited."""
        return self._popen.poll() is None

    def wait_ready(self, url: str) -> None:
        """Wait until a GET of the URL returns 200."""
        http = urllib3.PoolManager(retries=False, timeout=2.0)
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if not self.running():
                raise ProcessError(f"{self.command[0]} exited early:\n{self._log_tail()}")
            try:
                if http.request("GET", url).status == 200:
                    return
            except HTTPError:
                pass
            time.sleep(POLL_SECONDS)
        raise ProcessError(f"{url} did not become ready:\n{self._log_tail()}")

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self._popen.kill()
        self._popen.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        os.kill(self.pid, signal.SIGCONT)

    def request_stop(self) -> None:
        """Request a graceful stop with SIGTERM, if the process is running."""
        if self.running():
            self._popen.terminate()

    def stop(self, timeout_s: float = STOP_SECONDS) -> int:
        """Stop the process gracefully, or kill it after the timeout; return its exit code."""
        self.request_stop()
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
    """Run a console script and return its standard output; raise ProcessError if it fails."""
    done = subprocess.run(
        [script(name), *arguments], capture_output=True, text=True, timeout=timeout_s, check=False
    )
    if done.returncode != 0:
        raise ProcessError(f"{name} {' '.join(arguments)} failed:\n{done.stderr}{done.stdout}")
    return done.stdout
