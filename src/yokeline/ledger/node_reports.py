"""The latest report of each node to the ledger's leader, until the node falls silent."""

from __future__ import annotations

import math
from typing import Generic, TypeVar

import msgspec

from yokeline.identifiers import ReplicaId
from yokeline.ledger.own_turns import REFRESH_SECONDS

NODE_SILENCE_SECONDS = 3 * REFRESH_SECONDS
"""A node that has not reported for this long is gone, or has no turn under way; two reports in a
row may be lost with a connection."""
MAX_NODES = 10_000

_Load = TypeVar("_Load")


class _Report(msgspec.Struct, Generic[_Load], frozen=True):
    sequence: int
    loads: tuple[_Load, ...]
    heard_at: float


class NodeReports(Generic[_Load]):
    """What each process told last; whoever keeps sums of it counts what is taken out no more."""

    def __init__(self) -> None:
        """Know of no node."""
        self._reports: dict[ReplicaId, _Report[_Load]] = {}
        self._next_sweep = -math.inf

    def has_room(self, process: ReplicaId) -> bool:
        """Return whether a process is known, or one more can be."""
        return process in self._reports or len(self._reports) < MAX_NODES

    def is_newer(self, process: ReplicaId, sequence: int) -> bool:
        """Return whether no later report of a process came before."""
        known = self._reports.get(process)
        return known is None or known.sequence < sequence

    def put(self, process: ReplicaId, sequence: int, loads: tuple[_Load, ...], now: float) -> None:
        """Keep a report."""
        self._reports[process] = _Report(sequence, loads, now)

    def pop_report(self, process: ReplicaId) -> tuple[_Load, ...]:
        """Forget a process, and return what it told last."""
        known = self._reports.pop(process, None)
        return known.loads if known is not None else ()

    def pop_silent_loads(self, now: float) -> list[_Load] | None:
        """Forget the processes that fell silent, and return what they told last.

        None if the last look at them was a short while ago.
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
        """Forget all processes."""
        self._reports.clear()
