"""The engine's feed of cache events: shown late, and with gaps."""

from __future__ import annotations

import enum
import random
from collections import deque

import msgspec

from yokeline.emulator.engine.parameters import EngineParameters


class CacheEventKind(enum.Enum):
    """What happened to the cached context of a key."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """An event of the feed.

    Attributes:
        tokens: Tokens of the key's context that the cache holds after the event.
    """

    sequence: int
    kind: CacheEventKind
    cache_key: str
    tokens: int


class CacheEventPage(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a reading of the feed.

    Attributes:
        sequence: Sequence number of the last event shown so far.
        gap: Events between the asked number and ``sequence`` are missing.
    """

    events: tuple[CacheEvent, ...]
    sequence: int
    gap: bool


class _Pending(msgspec.Struct, frozen=True):
    shown_at: float
    event: CacheEvent
    lost: bool


class CacheFeed:
    """Events in order of sequence numbers, each visible some time after it happened."""

    def __init__(self, parameters: EngineParameters, source: random.Random) -> None:
        """Create an empty feed."""
        self._parameters = parameters
        self._source = source
        self._events: deque[_Pending] = deque(maxlen=parameters.feed_limit)
        self._last_shown_at = 0.0
        self.sequence = 0

    def add(self, kind: CacheEventKind, cache_key: str, tokens: int, now: float) -> None:
        """Add an event that happened at ``now``."""
        parameters = self._parameters
        self.sequence += 1
        lag = self._source.uniform(parameters.feed_lag_min_seconds, parameters.feed_lag_max_seconds)
        lost = self._source.random() < parameters.feed_gap_probability
        self._last_shown_at = max(self._last_shown_at, now + lag)
        event = CacheEvent(sequence=self.sequence, kind=kind, cache_key=cache_key, tokens=tokens)
        self._events.append(_Pending(self._last_shown_at, event, lost))

    def read(self, after: int, now: float) -> CacheEventPage:
        """Return what is visible at ``now`` of the events after a sequence number."""
        events: list[CacheEvent] = []
        last = 0
        lost = 0
        for pending in self._events:
            if pending.shown_at > now:
                break
            last = pending.event.sequence
            if last <= after:
                continue
            if pending.lost:
                lost += 1
            else:
                events.append(pending.event)
        first_kept = self._events[0].event.sequence if self._events else self.sequence + 1
        gap = lost > 0 or (after + 1 < first_kept and last > after)
        return CacheEventPage(events=tuple(events), sequence=max(last, 0), gap=gap)
