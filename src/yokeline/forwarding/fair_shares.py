"""Holds back first turns of tenants beyond their fair share of a pool's slots, at one node.

The ledger's leader reports which tenants hold more than their share while other tenants lack
theirs. First turns of the reported tenants are queued last and receive no slot, with a bound on how
often they are passed over. Programs that have started are never held back. A report expires, so no
tenant is held back without a connection to the leader.
"""

from __future__ import annotations

import math

from yokeline.forwarding.engines import LEADER_REPORT_TTL_SECONDS
from yokeline.forwarding.exchange import Exchange
from yokeline.ledger.messages import PoolShares
from yokeline.scheduling.service_deficits import ServiceDeficits

_NO_TENANTS: frozenset[str] = frozenset()


class FairShares:
    """The leader's latest report and the slots owed to tenants that were passed over.

    Attributes:
        levels: Slots per unit of weight, by pool short of slots; as last reported.
    """

    def __init__(self) -> None:
        """Hold no tenant back."""
        self.levels: dict[str, float] = {}
        self._beyond_share: dict[str, frozenset[str]] = {}
        self._expires_at = -math.inf
        self._deficits = ServiceDeficits()

    def apply_leader_report(self, shares: tuple[PoolShares, ...], now: float) -> None:
        """Apply a report of the leader."""
        self._expires_at = now + LEADER_REPORT_TTL_SECONDS
        self.levels = {item.pool: item.level for item in shares}
        self._beyond_share = {item.pool: frozenset(item.beyond) for item in shares if item.beyond}

    def next_expiry(self) -> float | None:
        """Return when the report expires; None if it holds no tenant back."""
        return self._expires_at if self._beyond_share else None

    def expire(self, now: float) -> None:
        """Remove the report if it has expired."""
        if now >= self._expires_at:
            self._beyond_share = {}
            self.levels = {}

    def held_back(self, pool: str, now: float) -> frozenset[str]:
        """Return the tenants whose first turns receive no slot of a pool at this time."""
        beyond_share = self._beyond_share.get(pool, _NO_TENANTS)
        if not beyond_share or now >= self._expires_at:
            return _NO_TENANTS
        owed = [tenant for tenant in beyond_share if self._deficits.has_deficit(tenant)]
        return beyond_share.difference(owed) if owed else beyond_share

    def is_held_back(self, exchange: Exchange, now: float) -> bool:
        """Return whether a request is held back at this time."""
        return exchange.is_unstarted_first_turn_of(self.held_back(exchange.pool, now))

    def record_served(self, exchange: Exchange, now: float) -> None:
        """Record a first turn that received a slot."""
        if exchange.is_first_turn and exchange.sends == 1:
            self._deficits.note(exchange.tenant_name, now, is_served=True)

    def record_unserved(self, exchange: Exchange, now: float) -> None:
        """Record a first turn that left the queue without a slot."""
        if exchange.is_first_turn and not exchange.sends:
            self._deficits.note(exchange.tenant_name, now, is_served=False)
