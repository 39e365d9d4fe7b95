"""Requests that came before this node could read them: held for a moment, bounded, then refused.

A node that has just started knows its configuration some milliseconds later. Nothing is promised
to a request that is held, and nothing is run for it; its time counts from its arrival.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from yokeline.effects import HttpArrived
from yokeline.identifiers import ExchangeId

MAX_HOLD_SECONDS = 1.5
"""Longest time for which a request is held: callers of streams wait 2 s for a first event."""
MAX_HELD_REQUESTS = 512
MAX_HELD_BYTES = 4 * 1024 * 1024


class HeldRequest(msgspec.Struct, frozen=True):
    """A request and when it arrived (monotonic seconds)."""

    event: HttpArrived
    arrived_at: float

    @property
    def expires_at(self) -> float:
        """When it is refused if it could not be read."""
        return self.arrived_at + MAX_HOLD_SECONDS


class HeldRequests:
    """Requests in the order of their arrival, bounded in number, bytes and time."""

    def __init__(self) -> None:
        """Hold none."""
        self._held: OrderedDict[ExchangeId, HeldRequest] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Return how many are held."""
        return len(self._held)

    def add(self, event: HttpArrived, now: float) -> bool:
        """Hold a request; return False if there is no room for it."""
        if len(self._held) >= MAX_HELD_REQUESTS or self._bytes + len(event.body) > MAX_HELD_BYTES:
            return False
        self._held[event.exchange] = HeldRequest(event, now)
        self._bytes += len(event.body)
        return True

    def remove(self, exchange: ExchangeId) -> None:
        """Forget a request whose caller is gone; one that is not held is a no-op."""
        held = self._held.pop(exchange, None)
        if held is not None:
            self._bytes -= len(held.event.body)

    def next_deadline(self) -> float | None:
        """Return when the first of them is to be refused."""
        first = next(iter(self._held.values()), None)
        return first.expires_at if first is not None else None

    def pop_expired(self, now: float) -> list[HeldRequest]:
        """Take out those that were held for too long."""
        expired = [item for item in self._held.values() if now >= item.expires_at]
        for item in expired:
            self.remove(item.event.exchange)
        return expired

    def pop_all(self) -> list[HeldRequest]:
        """Take out all, the first that came first."""
        held = list(self._held.values())
        self._held.clear()
        self._bytes = 0
        return held
