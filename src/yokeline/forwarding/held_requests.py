"""Holds requests that arrive before the node has a valid configuration, within bounds.

A node obtains its configuration some milliseconds after its start. A held request is not sent to an
engine, and its deadline counts from its arrival.
"""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

from yokeline.effects import HttpArrived
from yokeline.identifiers import ExchangeId

MAX_HOLD_SECONDS = 1.5
"""Longest time for which a request is held; callers of streams wait 2 s for the first event."""
MAX_HELD_REQUESTS = 512
MAX_HELD_BYTES = 4 * 1024 * 1024


class HeldRequest(msgspec.Struct, frozen=True):
    """A request with its arrival and the end of its hold (monotonic seconds)."""

    event: HttpArrived
    arrived_at: float
    expires_at: float


class HeldRequests:
    """Held requests in order of arrival, bounded in number, bytes and time."""

    def __init__(self) -> None:
        """Hold no request."""
        self._held: OrderedDict[ExchangeId, HeldRequest] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Return the number of held requests."""
        return len(self._held)

    def __contains__(self, exchange: ExchangeId) -> bool:
        """Return whether a request is held."""
        return exchange in self._held

    def add(self, event: HttpArrived, now: float, deadline_seconds: float = math.inf) -> bool:
        """Hold a request, at most until its deadline; return False if a bound is reached."""
        if len(self._held) >= MAX_HELD_REQUESTS or self._bytes + len(event.body) > MAX_HELD_BYTES:
            return False
        expires_at = now + min(MAX_HOLD_SECONDS, deadline_seconds)
        self._held[event.exchange] = HeldRequest(event, now, expires_at)
        self._bytes += len(event.body)
        return True

    def remove(self, exchange: ExchangeId) -> None:
        """Drop a request if it is held."""
        held = self._held.pop(exchange, None)
        if held is not None:
            self._bytes -= len(held.event.body)

    def next_deadline(self) -> float | None:
        """Return when the next request expires."""
        return min((item.expires_at for item in self._held.values()), default=None)

    def pop_first(self, *, expired_at: float = math.inf) -> HeldRequest | None:
        """Remove and return the first request that expires by a time; None without one.

        One at a time: a fault at one request must not drop those behind it.
        """
        expired = (item for item in self._held.values() if item.expires_at <= expired_at)
        first = next(expired, None)
        if first is not None:
            self.remove(first.event.exchange)
        return first
