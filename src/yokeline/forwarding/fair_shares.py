"""Whose new programs leave the places of full engines to other tenants, at one node.

The ledger's leader tells which tenants hold more than their share while others lack theirs. New
programs of these wait behind all others and take no place, within a bound on being passed over.
Programs that have begun are never held back. What was told counts for a moment only: without word
of the leader nobody is held back.
"""

from __future__ import annotations

import math

from yokeline.forwarding.engines import LEADER_REPORT_TTL_SECONDS
from yokeline.forwarding.exchange import Exchange
from yokeline.ledger.messages import PoolShares
from yokeline.scheduling.passing_over import PassingOver

_NO_TENANTS: frozenset[str] = frozenset()


class FairShares:
    """The leader's latest word, and what the node owes those that it passes over.

    Attributes:
        levels: Places for a weight of one, by pool that has too few; as last told.
    """

    def __init__(self) -> None:
        """Hold nobody back."""
        self.levels: dict[str, float] = {}
        self._beyond_share: dict[str, frozenset[str]] = {}
        self._expires_at = -math.inf
        self._passing_over = PassingOver()

    def apply_leader_report(self, shares: tuple[PoolShares, ...], now: float) -> None:
        """Note what the leader told."""
        self._expires_at = now + LEADER_REPORT_TTL_SECONDS
        self.levels = {item.pool: item.level for item in shares}
        self._beyond_share = {item.pool: frozenset(item.beyond) for item in shares if item.beyond}

    def next_expiry(self) -> float | None:
        """Return when what was told counts no more; None if nobody is held back by it."""
        return self._expires_at if self._beyond_share else None

    def expire(self, now: float) -> None:
        """Forget what was told too long ago."""
        if now >= self._expires_at:
            self._beyond_share = {}
            self.levels = {}

    def held_back(self, pool: str, now: float) -> frozenset[str]:
        """Return the tenants whose new programs take no place of a pool now."""
        beyond_share = self._beyond_share.get(pool, _NO_TENANTS)
        if not beyond_share or now >= self._expires_at:
            return _NO_TENANTS
        owed = [tenant for tenant in beyond_share if self._passing_over.is_owed(tenant)]
        return beyond_share.difference(owed) if owed else beyond_share

    def is_held_back(self, exchange: Exchange, now: float) -> bool:
        """Return whether a request gets no place now, so that other tenants do."""
        return exchange.is_unstarted_first_turn_of(self.held_back(exchange.pool, now))

    def record_served(self, exchange: Exchange, now: float) -> None:
        """Count a first turn that got a place."""
        if exchange.is_first_turn and exchange.sends == 1:
            self._passing_over.note(exchange.tenant_name, now, is_served=True)

    def record_unserved(self, exchange: Exchange, now: float) -> None:
        """Count a first turn that ceased to wait without a place."""
        if exchange.is_first_turn and not exchange.sends:
            self._passing_over.note(exchange.tenant_name, now, is_served=False)
