"""CPU time of processes, from ``/proc/PID/stat`` (proc(5))."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

_USER_TICKS = 11
_SYSTEM_TICKS = 12
"""Positions of utime and stime after the command's closing parenthesis."""


def cpu_seconds(pid: int) -> float:
    """Return the user and system time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / os.sysconf("SC_CLK_TCK")


def cpu_of_all(pids: Iterable[int]) -> dict[int, float]:
    """Return the CPU seconds of several processes."""
    return {pid: cpu_seconds(pid) for pid in pids}
