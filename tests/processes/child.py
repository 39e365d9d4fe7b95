"""One process that a test starts: its log, its signals and its end."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
YOKELINE = (sys.executable, "-m", "yokeline.cli")
STOP_SECONDS = 60.0
TAIL_LINES = 25


class Child:
    """A ``yokeline`` command as a process of its own; its output goes to a log file."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        """Prepare the command; nothing runs yet."""
        self.name = name
        self._arguments = arguments
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None
        self._suspended = False

    @property
    def running(self) -> bool:
        """Return whether the process is there (it may be suspended)."""
        return self._process is not None and self._process.poll() is None

    def start(self, *extra: str) -> None:
        """Start it (again), with further arguments for this time."""
        assert not self.running, f"{self.name} runs already"
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                [*YOKELINE, *self._arguments, *extra], cwd=ROOT, stdout=output, stderr=output
            )
        self._suspended = False

    def kill(self) -> None:
        """Kill it as a crash would (SIGKILL)."""
        self._send(signal.SIGKILL)
        self.wait()

    def suspend(self) -> None:
        """Stop it from running (SIGSTOP); it keeps its sockets and its memory."""
        self._send(signal.SIGSTOP)
        self._suspended = True

    def resume(self) -> None:
        """Let a suspended process go on (SIGCONT)."""
        self._send(signal.SIGCONT)
        self._suspended = False

    def terminate(self) -> None:
        """Ask for a planned stop (SIGTERM)."""
        self._send(signal.SIGTERM)

    def wait(self) -> int:
        """Wait until it has ended; return its exit code."""
        assert self._process is not None
        return self._process.wait(STOP_SECONDS)

    def destroy(self) -> None:
        """Make sure that it is gone."""
        if self.running:
            self.kill()

    def heal(self) -> None:
        """Make it run, whatever a test did to it."""
        if not self.running:
            self.start()
        elif self._suspended:
            self.resume()

    def tail(self) -> str:
        """Return the last lines of its log, for the report of a failure."""
        lines = self._log.read_text(errors="replace").splitlines() if self._log.exists() else []
        code = None if self._process is None else self._process.poll()
        title = f"---- {self.name} (exit code {code})"
        return "\n".join([title, *lines[-TAIL_LINES:]])

    def first_line(self) -> str:
        """Return the first whole line it has written; empty if there is none yet."""
        text = self._log.read_text(errors="replace") if self._log.exists() else ""
        line, end, _ = text.partition("\n")
        return line if end else ""

    def _send(self, number: signal.Signals) -> None:
        assert self._process is not None and self.running, f"{self.name} does not run"
        os.kill(self._process.pid, number)
