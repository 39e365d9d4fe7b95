"""Bounded priority queue of the requests that wait for an engine with capacity."""

from __future__ import annotations

from bisect import insort
from collections import Counter

from yokeline.forwarding.exchange import Exchange
from yokeline.scheduling.queue_order import OrderKey, QueuePosition, order_key

MAX_QUEUED = 512
"""Requests of one pool that may wait at a node; beyond it the least urgent one is refused."""


_NO_TENANTS: frozenset[str] = frozenset()


def standing_of(exchange: Exchange, held_back: frozenset[str] = _NO_TENANTS) -> QueuePosition:
    """Return the properties that determine a request's place in the queue.

    First turns of the tenants in ``held_back`` are queued behind all others.
    """
    program_time_left = exchange.call.program_time_left
    return QueuePosition(
        is_interrupted=exchange.relayed_events > 0,
        is_late=program_time_left is not None and program_time_left <= 0,
        has_begun=exchange.program_started,
        is_held_back=exchange.is_unstarted_first_turn_of(held_back),
        priority=exchange.priority,
        program_deadline=exchange.arrived_at + (program_time_left or 0.0),
    )


class WaitQueue:
    """The queue of one pool.

    Attributes:
        first_turns: Number of first turns in the queue, by tenant.
        tenant_changes: Counter that increases when a tenant's first turns start or stop to wait.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: list[Exchange] = []
        self._held_back = _NO_TENANTS
        self.first_turns: Counter[str] = Counter()
        self.tenant_changes = 0

    def __len__(self) -> int:
        """Return the number of requests in the queue."""
        return len(self._waiting)

    def add(self, exchange: Exchange) -> Exchange | None:
        """Add a request; return the request that is displaced if the queue is full."""
        insort(self._waiting, exchange, key=self._order_key)
        self._count_first_turn(exchange, 1)
        if len(self._waiting) <= MAX_QUEUED:
            return None
        displaced = self._waiting.pop()
        self._count_first_turn(displaced, -1)
        return displaced

    def remove(self, exchange: Exchange) -> None:
        """Remove a request if it is in the queue."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)
            self._count_first_turn(exchange, -1)

    def set_held_back(self, tenants: frozenset[str]) -> None:
        """Set the tenants that are held back, and sort the queue if that affects a request."""
        if tenants == self._held_back:
            return
        changed = tenants ^ self._held_back
        self._held_back = tenants
        if any(tenant in self.first_turns for tenant in changed):
            self._waiting.sort(key=self._order_key)

    def in_order(self) -> list[Exchange]:
        """Return the requests, most urgent first."""
        return list(self._waiting)

    def _order_key(self, exchange: Exchange) -> OrderKey:
        return order_key(standing_of(exchange, self._held_back))

    def _count_first_turn(self, exchange: Exchange, change: int) -> None:
        if not exchange.is_unstarted_first_turn:
            return
        tenant = exchange.tenant_name
        before = self.first_turns[tenant]
        self.first_turns[tenant] = before + change
        if not self.first_turns[tenant]:
            del self.first_turns[tenant]
        self.tenant_changes += not before or not before + change
