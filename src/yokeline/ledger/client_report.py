"""Counters of a forwarding node's ledger client, and their log line."""

from __future__ import annotations

from collections import Counter

from yokeline.effects import LogRecord

REPORT_SECONDS = 1.0
"""Minimum time between two log lines."""


class ClientCounts:
    """Counters of one ledger client.

    Attributes:
        repetitions: Operations sent again, by cause.
        late_answers: Answers to operations that already had a result or had timed out.
        through_peers: Operations of this node that were sent to another forwarding node to relay.
        for_peers: Operations of other forwarding nodes that this node relayed.
        texts_copied: Turns whose texts this node sent to the followers.
        engine_asks: Requests for engine data alone, while requests waited for an engine.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.repetitions: Counter[str] = Counter()
        self.late_answers = 0
        self.through_peers = 0
        self.for_peers = 0
        self.texts_copied = 0
        self.engine_asks = 0
        self._reported: Counter[str] = Counter()
        self._next_report = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether a report is due."""
        return now >= self._next_report

    def report(
        self, now: float, *, under_way: int, oldest_seconds: float, timeout: float
    ) -> list[LogRecord]:
        """Return a log line if a counter has grown since the last report."""
        self._next_report = now + REPORT_SECONDS
        counts = Counter(self.repetitions)
        counts["late_answers"] = self.late_answers
        counts["through_peers"] = self.through_peers
        counts["for_peers"] = self.for_peers
        counts["engine_asks"] = self.engine_asks
        new = counts - self._reported
        self._reported = counts
        if not new:
            return []
        fields: dict[str, str | int | float | bool | None] = {
            **{name: new[name] for name in sorted(new)},
            "under_way": under_way,
            "oldest_seconds": round(oldest_seconds, 3),
            "patience": round(timeout, 3),
        }
        return [LogRecord(event="ledger_repetitions", fields=fields)]
