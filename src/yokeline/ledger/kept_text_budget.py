"""The leader's bound on the texts of kept turns, from the memory of its machine.

A turn is refused before it runs; the text of one that has run is always kept. Only the leader
decides, from what is kept and from the turns that it has admitted and that have not ended.
"""

from __future__ import annotations

import msgspec

from yokeline.effects import LogRecord
from yokeline.ledger.operations import NoRoom, Operation, Reserve, Settle
from yokeline.ledger.state import LedgerState

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
LARGE_TEXT_BYTES = 256 * KIBIBYTE
LARGE_TEXTS_SHARE = 1 / 8
"""Share of the memory that texts may take before larger ones than :data:`LARGE_TEXT_BYTES` are
refused. Each text is in the state and in the log, and twice more while the log is compacted."""
ALL_TEXTS_SHARE = 1 / 6
MAX_TURN_SECONDS = 30.0
"""Time after which an admitted turn that has not ended no longer counts."""
RETRY_SECONDS = 2.0
_COUNT_SECONDS = 1.0
_LOG_SECONDS = 1.0


class _AdmittedText(msgspec.Struct, frozen=True):
    size: int
    until: float


class KeptTextBudget:
    """Refuses turns whose texts do not fit.

    Attributes:
        kept_bytes: Texts of the state when they were last counted.
        refused: Turns refused so far.
    """

    def __init__(self, memory_bytes: float) -> None:
        """Keep texts within shares of ``memory_bytes``; 0 for no bound."""
        self.kept_bytes = 0
        self.refused = 0
        self._memory_bytes = memory_bytes
        self._admitted: dict[str, _AdmittedText] = {}
        self._admitted_bytes = 0
        self._count_after = float("-inf")
        self._log_after = float("-inf")

    def refusal(
        self, operation: Operation, state: LedgerState, now: float
    ) -> tuple[NoRoom | None, list[LogRecord]]:
        """Return the refusal of a new operation, if any, and log lines."""
        if not isinstance(operation, Reserve) or not operation.text_bytes:
            return None, []
        if not self._memory_bytes:
            return None, []
        self._count(state, now)
        size = operation.text_bytes
        share = LARGE_TEXTS_SHARE if size > LARGE_TEXT_BYTES else ALL_TEXTS_SHARE
        bound = int(share * self._memory_bytes)
        if self.kept_bytes + self._admitted_bytes + size > bound:
            self.refused += 1
            return NoRoom(retry_after=RETRY_SECONDS), self._report(size, bound, now)
        self._admit(operation.request_id, size, now)
        return None, []

    def note_ended(self, operation: Operation) -> None:
        """Note that a turn has ended: its text is in the state, or will not be."""
        if isinstance(operation, Settle):
            admitted = self._admitted.pop(operation.request_id, None)
            if admitted is not None:
                self._admitted_bytes -= admitted.size
                self.kept_bytes += len(operation.turn.text) if operation.turn is not None else 0

    def _admit(self, request_id: str, size: int, now: float) -> None:
        previous = self._admitted.pop(request_id, None)
        self._admitted_bytes += size - (previous.size if previous is not None else 0)
        self._admitted[request_id] = _AdmittedText(size, now + MAX_TURN_SECONDS)

    def _count(self, state: LedgerState, now: float) -> None:
        if now < self._count_after:
            return
        self._count_after = now + _COUNT_SECONDS
        self.kept_bytes = sum(len(stored.turn.text) for stored in state.turns.values())
        for request_id, admitted in list(self._admitted.items()):
            if admitted.until > now:
                break
            del self._admitted[request_id]
            self._admitted_bytes -= admitted.size

    def _report(self, size: int, bound: int, now: float) -> list[LogRecord]:
        if now < self._log_after:
            return []
        self._log_after = now + _LOG_SECONDS
        fields: dict[str, str | int | float | bool | None] = {
            "bytes": size,
            "kept": self.kept_bytes,
            "admitted": self._admitted_bytes,
            "bound": bound,
            "refused": self.refused,
        }
        return [LogRecord(event="kept_text_refused", fields=fields, level="warning")]
