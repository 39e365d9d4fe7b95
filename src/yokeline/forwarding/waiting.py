"""Requests that wait for an engine with room: bounded, the most urgent first."""

from __future__ import annotations

from bisect import insort

from yokeline.forwarding.exchange import Exchange
from yokeline.scheduling.queue_order import OrderKey, Standing, order_key

MAX_WAITING = 512
"""Requests of one pool that may wait at a node; beyond it the least urgent is refused."""


def standing_of(exchange: Exchange) -> Standing:
    """Return what decides the place of a request in the queue."""
    finish = exchange.call.finish
    return Standing(
        is_interrupted=exchange.events > 0,
        is_late=finish is not None and finish <= 0,
        has_begun=exchange.begun,
        priority=exchange.priority,
        over_at=exchange.started + (finish or 0.0),
    )


def order_of(exchange: Exchange) -> OrderKey:
    """Return the place of a request in the queue; the least is served first."""
    return order_key(standing_of(exchange))


class WaitingRequests:
    """The queue of one pool."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: list[Exchange] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    def add(self, exchange: Exchange) -> Exchange | None:
        """Add a request; return the one that must give way, if there are too many."""
        insort(self._waiting, exchange, key=order_of)
        return self._waiting.pop() if len(self._waiting) > MAX_WAITING else None

    def remove(self, exchange: Exchange) -> None:
        """Take a request out; one that does not wait is a no-op."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def in_order(self) -> list[Exchange]:
        """Return the requests, the most urgent first."""
        return list(self._waiting)
