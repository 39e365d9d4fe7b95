"""Counters of the leader's load, logged once a second while it is busy."""

from __future__ import annotations

from collections import Counter

from yokeline.effects import LogRecord
from yokeline.ledger.messages import LedgerReply
from yokeline.ledger.operations import Draw, Granted, Operation, OperationResult, Reserve

REPORT_SECONDS = 1.0
"""Time between two log lines; an idle leader logs none."""


class LeaderLoad:
    """Counts requests and answers between two log lines."""

    def __init__(self, now: float) -> None:
        """Start counting."""
        self._report_at = now + REPORT_SECONDS
        self._counts: Counter[str] = Counter()
        self._longest_entry = 0.0
        self._longest_wait = 0.0

    def note_operation(self, operation: Operation) -> None:
        """Count a requested operation."""
        if isinstance(operation, Reserve):
            self._counts["reservations"] += 1
        elif isinstance(operation, Draw):
            self._counts["draws"] += 1
        else:
            self._counts["settlements"] += 1
            self._counts["turns_to_keep"] += operation.turn is not None

    def note_duplicate(self, stage: str) -> None:
        """Count a duplicate of an operation; ``stage`` is how far the first copy has come."""
        self._counts[f"repeated_{stage}"] += 1

    def note_entry(self, seconds: float, size: int, oldest_wait: float) -> None:
        """Count a log entry; ``seconds`` is the time from its proposal to its results."""
        self._counts["entries"] += 1
        self._counts["entry_bytes"] += size
        self._longest_entry = max(self._longest_entry, seconds)
        self._longest_wait = max(self._longest_wait, oldest_wait)

    def note_reply(self, reply: LedgerReply) -> None:
        """Count a reply and the bytes of retained turns in it."""
        if not reply.results:
            self._counts["not_leading"] += 1
            return
        self._counts["answers"] += len(reply.results)
        self._counts["engines_told"] += len(reply.engines)
        self._counts["history_bytes"] += sum(_history_bytes(item) for item in reply.results)

    def report(self, now: float, waiting: int) -> list[LogRecord]:
        """Return the log line, if one is due."""
        if now < self._report_at:
            return []
        self._report_at = now + REPORT_SECONDS
        counts, self._counts = self._counts, Counter()
        if not counts:
            return []
        fields: dict[str, str | int | float | bool | None] = {
            **{name: counts[name] for name in sorted(counts)},
            "waiting": waiting,
            "longest_entry_seconds": round(self._longest_entry, 3),
            "longest_wait_seconds": round(self._longest_wait, 3),
        }
        self._longest_entry = self._longest_wait = 0.0
        return [LogRecord(event="ledger_load", fields=fields)]


def _history_bytes(result: OperationResult) -> int:
    if not isinstance(result, Granted):
        return 0
    return sum(len(turn.text) for turn in result.turns)
