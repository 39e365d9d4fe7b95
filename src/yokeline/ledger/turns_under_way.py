"""What the ledger's leader knows of engines: turns under way, and how engines served the last ones.

Every turn asks the leader before it is sent and tells it afterwards, so the leader sees the load
of all nodes some milliseconds old, where reports between nodes are a few tenths of a second old.
The book is not replicated and not on the disk: a new leader begins with an empty one, which is
whole again after the time of a turn. Nothing but the choice of an engine depends on it.
"""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

from yokeline.ledger.messages import EngineTurns, TurnBegan, TurnEnded, TurnNote

FORGET_SECONDS = 15.0
"""A turn of which no end was told counts for this long; its node is probably gone."""
MAX_TURNS = 100_000
MAX_ENGINES_TOLD = 256
"""Engines told with one answer; in a larger fleet nodes go by the load reports alone."""
WEIGHT = 0.15
"""Weight of one turn in an engine's share of failures and in its slowness."""
FADE_SECONDS = 4.0
"""Time in which what was seen of an engine fades to a third without new turns."""


class _Turn(msgspec.Struct):
    engine_id: str
    tokens: int
    began_at: float


class _EngineRecord(msgspec.Struct):
    running: int = 0
    tokens: int = 0
    failed: float = 0.0
    slowness: float = 1.0
    observed_at: float = -math.inf

    def faded(self, now: float) -> float:
        """Return how much of what was observed still counts (0 to 1)."""
        return math.exp((self.observed_at - now) / FADE_SECONDS)


class TurnsUnderWay:
    """Turns by request id, and engines by id."""

    def __init__(self) -> None:
        """Know of no turn."""
        self._turns: OrderedDict[str, _Turn] = OrderedDict()
        self._engines: dict[str, _EngineRecord] = {}

    def __len__(self) -> int:
        """Return how many turns are under way."""
        return len(self._turns)

    def take(self, note: TurnNote, now: float) -> None:
        """Take a note of a node in."""
        self._forget_old(now)
        if isinstance(note, TurnBegan):
            self._begin(note, now)
        else:
            self._end(note, now)

    def clear(self) -> None:
        """Forget everything, since another replica leads."""
        self._turns.clear()
        self._engines.clear()

    def engines(self, now: float) -> tuple[EngineTurns, ...]:
        """Return what is known of engines; empty if there are too many of them to tell."""
        self._forget_old(now)
        if len(self._engines) > MAX_ENGINES_TOLD:
            self._forget_idle(now)
            if len(self._engines) > MAX_ENGINES_TOLD:
                return ()
        return tuple(self._told(name, item, now) for name, item in self._engines.items())

    def _told(self, engine_id: str, record: _EngineRecord, now: float) -> EngineTurns:
        share = record.faded(now)
        return EngineTurns(
            engine_id=engine_id,
            running=record.running,
            tokens=record.tokens,
            failed=round(record.failed * share, 3),
            slowness=round(1.0 + (record.slowness - 1.0) * share, 3),
        )

    def _begin(self, note: TurnBegan, now: float) -> None:
        self._remove(note.request_id)
        if len(self._turns) >= MAX_TURNS:
            return
        self._turns[note.request_id] = _Turn(note.engine_id, note.tokens, now)
        record = self._engines.setdefault(note.engine_id, _EngineRecord())
        record.running += 1
        record.tokens += note.tokens

    def _end(self, note: TurnEnded, now: float) -> None:
        self._remove(note.request_id)
        record = self._engines.setdefault(note.engine_id, _EngineRecord())
        share = record.faded(now)
        failed = record.failed * share
        slowness = 1.0 + (record.slowness - 1.0) * share
        record.failed = failed + WEIGHT * (float(note.failed) - failed)
        if note.slowness > 0:
            slowness += WEIGHT * (note.slowness - slowness)
        record.slowness = slowness
        record.observed_at = now

    def _remove(self, request_id: str) -> None:
        turn = self._turns.pop(request_id, None)
        if turn is None:
            return
        record = self._engines[turn.engine_id]
        record.running -= 1
        record.tokens -= turn.tokens

    def _forget_old(self, now: float) -> None:
        while self._turns:
            request_id, turn = next(iter(self._turns.items()))
            if now - turn.began_at < FORGET_SECONDS:
                return
            self._remove(request_id)

    def _forget_idle(self, now: float) -> None:
        """Forget engines without turns of which nothing was seen lately."""
        idle = [
            name
            for name, item in self._engines.items()
            if not item.running and now - item.observed_at > FORGET_SECONDS
        ]
        for name in idle:
            del self._engines[name]
