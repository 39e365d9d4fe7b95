"""The latest report of each node to the ledger's leader."""

from __future__ import annotations

import math
from typing import Generic, TypeVar

import msgspec

from yokeline.identifiers import ReplicaId
from yokeline.ledger.own_turns import REFRESH_SECONDS

NODE_SILENCE_SECONDS = 3 * REFRESH_SECONDS
"""Time without a report after which a node's loads no longer count; covers the loss of two reports
in a row."""
MAX_NODES = 10_000

_Load = TypeVar("_Load")


class _Report(msgspec.Struct, Generic[_Load], frozen=True):
    sequence: int
    loads: tuple[_Load, ...]
    heard_at: float


class NodeReports(Generic[_Load]):
    """The latest loads reported by each process of a forwarding node.

    After a restart, a node has a new process id, and its sequence numbers begin again. A caller
    that keeps sums of the loads subtracts what :meth:`pop_report` and :meth:`pop_silent_loads`
    return.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[ReplicaId, _Report[_Load]] = {}
        self._next_sweep = -math.inf

    def has_room(self, process: ReplicaId) -> bool:
        """Return whether a report of this process can be kept."""
        return process in self._reports or len(self._reports) < MAX_NODES

    def is_newer(self, process: ReplicaId, sequence: int) -> bool:
        """Return whether a report is newer than the one that is kept."""
        known = self._reports.get(process)
        return known is None or known.sequence < sequence

    def put(self, process: ReplicaId, sequence: int, loads: tuple[_Load, ...], now: float) -> None:
        """Keep a report."""
        self._reports[process] = _Report(sequence, loads, now)

    def pop_report(self, process: ReplicaId) -> tuple[_Load, ...]:
        """Remove the report of a process, and return its loads."""
        known = self._reports.pop(process, None)
        return known.loads if known is not None else ()

    def pop_silent_loads(self, now: float) -> list[_Load] | None:
        """Remove the reports of silent processes, and return their loads.

        Return None if the last removal was less than :data:`REFRESH_SECONDS` ago.
        """
        if now < self._next_sweep:
            return None
        self._next_sweep = now + REFRESH_SECONDS
        silent = [
            process
            for process, report in self._reports.items()
            if now - report.heard_at > NODE_SILENCE_SECONDS
        ]
        return [load for process in silent for load in self.pop_report(process)]

    def clear(self) -> None:
        """Remove all reports."""
        self._reports.clear()
