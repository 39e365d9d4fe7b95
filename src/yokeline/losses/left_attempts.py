"""Remembers the attempts that left their engines without an answer, though nothing had failed.

A caller that leaves shows nothing of the engine, and costs neither a record nor a report. The
engine may go on with the request all the same: the attempt is told once an engine has ended, or may
have, under another attempt of the request, or once this engine ends.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from yokeline.losses.engine_fates import Loss
from yokeline.losses.loss_keys import LossKey

MAX_REMEMBERED_ATTEMPTS = 4096


class LeftAttempt(msgspec.Struct, frozen=True):
    """An attempt that was left at its engine, and what it is recorded under."""

    key: LossKey
    loss: Loss


class LeftAttempts:
    """Attempts of one node that were left at their engines; the oldest is evicted."""

    def __init__(self) -> None:
        """Start without any."""
        self._attempts: OrderedDict[str, LeftAttempt] = OrderedDict()
        self._by_engine: dict[str, dict[str, None]] = {}
        self._by_digest: dict[str, dict[str, None]] = {}

    def add(self, key: LossKey, loss: Loss) -> None:
        """Remember an attempt."""
        self._attempts[loss.loss_id] = LeftAttempt(key, loss)
        self._by_engine.setdefault(loss.engine_id, {})[loss.loss_id] = None
        self._by_digest.setdefault(key.digest, {})[loss.loss_id] = None
        if len(self._attempts) > MAX_REMEMBERED_ATTEMPTS:
            self._take(next(iter(self._attempts)))

    def take_at(self, engine_id: str) -> list[LeftAttempt]:
        """Remove and return the attempts that were left at an engine."""
        return [self._take(loss_id) for loss_id in list(self._by_engine.get(engine_id, ()))]

    def take_of(self, digest: str) -> list[LeftAttempt]:
        """Remove and return the attempts of a request."""
        return [self._take(loss_id) for loss_id in list(self._by_digest.get(digest, ()))]

    def all(self) -> list[LeftAttempt]:
        """Return all attempts, the oldest first."""
        return list(self._attempts.values())

    def expire(self, before: float) -> None:
        """Forget the attempts that were over before a time."""
        while self._attempts:
            first = next(iter(self._attempts.values()))
            if first.loss.over_at >= before:
                return
            self._take(first.loss.loss_id)

    def __len__(self) -> int:
        """Return the number of attempts."""
        return len(self._attempts)

    def _take(self, loss_id: str) -> LeftAttempt:
        attempt = self._attempts.pop(loss_id)
        for index, name in (
            (self._by_engine, attempt.loss.engine_id),
            (self._by_digest, attempt.key.digest),
        ):
            names = index[name]
            del names[loss_id]
            if not names:
                del index[name]
        return attempt
