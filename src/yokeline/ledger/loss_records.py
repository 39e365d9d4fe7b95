"""Attempts under which engines were lost or may be lost, as the ledger's state machine keeps them.

They are kept by line: the place of a request in its session, which a reservation tells without
further fields. An answered request is no longer suspected, so its records are dropped. The order of
the first records decides which of several nodes may send a request again.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from yokeline.ledger.operations import ALL_CALL_LINES, CALL_LINE_PREFIX, EngineLoss
from yokeline.losses.attempt_stages import AttemptStage

MAX_LINES = 4096
"""Lines with losses; the one that expires first is evicted."""
MAX_LOSSES_PER_LINE = 32
"""Attempts of all requests of one line; of those that count least, the oldest is evicted."""

MAX_LISTED_LOSSES = 512
"""Losses of requests without a reservation that a node is told when it starts."""


class StoredLoss(msgspec.Struct, frozen=True, array_like=True):
    """A loss and its ledger time."""

    loss: EngineLoss
    at: float


class LineLosses(msgspec.Struct, kw_only=True):
    """The losses of one line.

    Attributes:
        losses: By their ids, the oldest first.
        expires: Ledger time at which they may be deleted.
    """

    losses: dict[str, StoredLoss] = {}
    expires: float = 0.0


class LossRecords(msgspec.Struct, kw_only=True):
    """The losses of all lines; at most :data:`MAX_LINES` lines."""

    lines: dict[str, LineLosses] = {}

    def of_line(self, line: str, time: float) -> tuple[EngineLoss, ...]:
        """Return the losses of a line with their ages at a ledger time."""
        if line == ALL_CALL_LINES:
            return self._of_calls(time)
        known = self.lines.get(line)
        return _with_ages(known.losses.values(), time) if known is not None else ()

    def has_line(self, line: str) -> bool:
        """Return whether any attempt of a line is recorded."""
        return line in self.lines

    def _of_calls(self, time: float) -> tuple[EngineLoss, ...]:
        """Return the latest losses of all requests without a reservation."""
        found = [
            stored
            for line, known in self.lines.items()
            if line.startswith(CALL_LINE_PREFIX)
            for stored in known.losses.values()
        ]
        found.sort(key=lambda stored: (stored.at, stored.loss.loss_id))
        return _with_ages(found[-MAX_LISTED_LOSSES:], time)

    def transition_record(
        self, line: str, losses: tuple[EngineLoss, ...], time: float, retention: float
    ) -> None:
        """Record attempts, or that their request was answered.

        A known attempt keeps its place, and changes only if it has come further.
        """
        for loss in losses:
            if not loss.loss_id:
                self._drop(line, loss.request)
                continue
            known = self.lines.get(line)
            if known is None:
                known = self.lines[line] = LineLosses()
                self._evict(line)
            known.expires = max(known.expires, time + retention)
            stored = known.losses.get(loss.loss_id)
            if stored is None or loss.stage > stored.loss.stage:
                known.losses[loss.loss_id] = StoredLoss(loss, time - loss.age)
            if len(known.losses) > MAX_LOSSES_PER_LINE:
                del known.losses[_least_important(known.losses)]

    def transition_expire(self, time: float) -> None:
        """Delete the lines that have expired."""
        for line in [line for line, known in self.lines.items() if known.expires < time]:
            del self.lines[line]

    def _drop(self, line: str, request: str) -> None:
        known = self.lines.get(line)
        if known is None:
            return
        for loss_id in [key for key, item in known.losses.items() if item.loss.request == request]:
            del known.losses[loss_id]
        if not known.losses:
            del self.lines[line]

    def _evict(self, added: str) -> None:
        """Keep the number of lines within its bound when one was added."""
        if len(self.lines) > MAX_LINES:
            others = (line for line in self.lines if line != added)
            del self.lines[min(others, key=lambda line: (self.lines[line].expires, line))]


def _least_important(losses: dict[str, StoredLoss]) -> str:
    """Return the id of the oldest attempt that is over, or else under way, or else lost."""
    order = (AttemptStage.CLOSED, AttemptStage.CLAIMED, AttemptStage.AT_ENGINE, AttemptStage.LOST)
    return min(losses, key=lambda loss_id: order.index(losses[loss_id].loss.stage))


def _with_ages(stored: Iterable[StoredLoss], time: float) -> tuple[EngineLoss, ...]:
    return tuple(
        msgspec.structs.replace(item.loss, age=round(max(0.0, time - item.at), 3))
        for item in stored
    )
