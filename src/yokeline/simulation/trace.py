"""The trace of a simulation: every event and effect in order, and its digest."""

from __future__ import annotations

from collections import deque

import msgspec
import xxhash

from yokeline.effects import LogRecord

RECENT_RECORDS = 200_000
"""Records kept for people; the digest covers all."""


class TraceRecord(msgspec.Struct, frozen=True, array_like=True):
    """One step of the simulation.

    Attributes:
        time: Virtual seconds.
        host: Where it happened.
        step: What kind of step, such as ``event`` or ``crash``.
        detail: The event or effect, or a note.
    """

    time: float
    host: str
    step: str
    kind: str
    detail: msgspec.Struct | str

    def line(self) -> str:
        """Return the record as one line for people."""
        return f"{self.time:12.6f} {self.host:<14} {self.step:<8} {self.kind} {self.detail}"


class Trace:
    """Collects records; two runs are the same if their digests are."""

    def __init__(self, *, keep: bool = False) -> None:
        """Create an empty trace; ``keep`` retains recent records for people."""
        self.count = 0
        self.recent: deque[TraceRecord] = deque(maxlen=RECENT_RECORDS if keep else 0)
        self._hash = xxhash.xxh3_128()
        self._encoder = msgspec.msgpack.Encoder(order="deterministic")

    def add(self, time: float, host: str, step: str, detail: msgspec.Struct | str) -> None:
        """Append a record."""
        kind = type(detail).__name__
        record = TraceRecord(time, host, step, kind, detail)
        self._hash.update(self._encoder.encode(record))
        self.count += 1
        self.recent.append(record)

    def digest(self) -> str:
        """Return the digest of all records so far (xxh3 128, hex)."""
        return self._hash.hexdigest()

    def warnings(self) -> list[TraceRecord]:
        """Return the retained log records that are not informational."""
        return [
            record
            for record in self.recent
            if isinstance(record.detail, LogRecord) and record.detail.level != "info"
        ]
