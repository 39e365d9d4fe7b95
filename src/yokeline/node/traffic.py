"""Bytes of messages between nodes by kind, for the log of a node whose link may be the limit."""

from __future__ import annotations

import time
from collections import Counter

import absl.logging
import msgspec

from yokeline.node.deadlines import DeadlineQueue

REPORT_SECONDS = 1.0
"""Time between two log lines: short enough to see a burst of seconds, and one line beside the
hundreds of messages that a busy node moves in it."""
REPORT_BYTES = 100_000
"""Bytes in such a time below which no line is written: no link is short of as little."""


def kind_of(message: msgspec.Struct) -> str:
    """Return the name of a message's kind: its tag, or else the name of its type."""
    tag = message.__struct_config__.tag
    return tag if isinstance(tag, str) else type(message).__name__


class TrafficCount:
    """Counts messages and bytes, sent and received, and logs them while there are many.

    Attributes:
        sent: Bytes handed to the links so far, by kind of message.
        received: Bytes of messages taken so far, by kind.
    """

    def __init__(self, deadlines: DeadlineQueue) -> None:
        """Report with the deadlines of the event loop."""
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self._deadlines = deadlines
        self._is_scheduled = False
        self._reported_sent: Counter[str] = Counter()
        self._reported_received: Counter[str] = Counter()
        self._began_at = 0.0
        self._processor_seconds = 0.0
        self._unsent = 0

    def note_sent(self, message: msgspec.Struct, size: int, unsent: int) -> None:
        """Count a message; ``unsent`` are the bytes that wait on its link, itself included."""
        self.sent[kind_of(message)] += size
        self._unsent = max(self._unsent, unsent)
        self._schedule()

    def note_received(self, message: msgspec.Struct, size: int) -> None:
        """Count a message."""
        self.received[kind_of(message)] += size
        self._schedule()

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        self._began_at = time.monotonic()
        self._processor_seconds = time.process_time()
        self._deadlines.call_after(REPORT_SECONDS, self._report)

    def _report(self) -> None:
        self._is_scheduled = False
        sent = self.sent - self._reported_sent
        received = self.received - self._reported_received
        self._reported_sent = self.sent.copy()
        self._reported_received = self.received.copy()
        most_unsent, self._unsent = self._unsent, 0
        if sent.total() + received.total() < REPORT_BYTES:
            return
        fields: dict[str, str | float] = {
            "event": "peer_traffic",
            "seconds": round(time.monotonic() - self._began_at, 3),
            "processor_seconds": round(time.process_time() - self._processor_seconds, 3),
            "most_unsent_bytes": most_unsent,
            "sent_bytes": sent.total(),
            "received_bytes": received.total(),
        }
        fields.update({f"sent_{kind}": size for kind, size in sorted(sent.items())})
        fields.update({f"received_{kind}": size for kind, size in sorted(received.items())})
        absl.logging.info(fields)
