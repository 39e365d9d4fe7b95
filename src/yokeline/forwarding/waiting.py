"""Requests that wait for an engine with room: bounded, the most urgent first."""

from __future__ import annotations

from bisect import insort

from yokeline.forwarding.exchange import Exchange

MAX_WAITING = 512
"""Requests of one pool that may wait at a node; beyond it the least urgent is refused."""

OrderKey = tuple[int, int, int, int, float]


def order_of(exchange: Exchange) -> OrderKey:
    """Return the place of a request in the queue; the least is served first.

    Nothing of it changes while the request waits, so that the queue is kept in order.

    A stream that broke off comes first, since its caller is already reading; then programs
    that can still end in time; then those that have begun, so that what was spent on them is
    not lost; then the operator's priority (a tenant's before its route's); then the one that
    should be over first.
    """
    interrupted = 0 if exchange.events else 1
    finish = exchange.call.finish
    late = 0 if finish is None or finish > 0 else 1
    new_program = 0 if exchange.begun else 1
    over_at = exchange.started + (finish or 0.0)
    return (interrupted, late, new_program, exchange.priority, over_at)


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
