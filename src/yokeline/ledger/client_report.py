"""What a forwarding node counts of its way to the ledger, and says in the log once a second."""

from __future__ import annotations

from collections import Counter

from yokeline.effects import LogRecord

REPORT_SECONDS = 1.0
"""Time between two log lines: one a node and second at most."""


class ClientCounts:
    """Counters of one ledger client.

    Attributes:
        repetitions: Operations sent again, by cause.
        late_answers: Results of operations that were answered or given up before.
        through_peers: Operations sent to other forwarding nodes.
        for_peers: Operations of other nodes that this one has asked for.
        texts_copied: Turns whose texts were sent to the followers as well.
        engine_asks: Questions for news of engines alone, while requests waited for one.
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
        """Return whether the last report was long enough ago."""
        return now >= self._next_report

    def report(
        self, now: float, *, under_way: int, oldest_seconds: float, timeout: float
    ) -> list[LogRecord]:
        """Return a line if more than first questions was sent since the last one."""
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
