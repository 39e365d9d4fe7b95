"""Running and waiting requests of tenants at this node, as reported to the ledger's leader."""

from __future__ import annotations

from collections import Counter

from yokeline.forwarding.node_state import NodeState
from yokeline.ledger.messages import PoolLoad, TenantLoad

MAX_TENANTS_PER_POOL = 64
"""Tenants per pool in a report; those with the most requests are reported. A node has some tens of
turns under way, of few tenants each."""


class TenantLoadReader:
    """Reads the load from the requests under way.

    Implements :class:`yokeline.ledger.own_turns.TenantLoadSource`.
    """

    def __init__(self, state: NodeState) -> None:
        """Read the requests in ``state``."""
        self._state = state

    @property
    def is_used(self) -> bool:
        """Whether the configuration has tenants."""
        table = self._state.table
        return table is not None and table.tenants is not None

    @property
    def changes(self) -> int:
        """Counter that increases when a tenant's first turns start or stop to wait."""
        return sum(queue.tenant_changes for queue in self._state.waiting.values())

    @property
    def has_waiting(self) -> bool:
        """Whether a first turn of any tenant waits."""
        return any(queue.first_turns for queue in self._state.waiting.values())

    def rows(self) -> tuple[PoolLoad, ...]:
        """Return the load of the tenants, by pool of model engines."""
        running = self._running()
        waiting = {pool: queue.first_turns for pool, queue in self._state.waiting.items()}
        pools = sorted(pool for pool in {*running, *waiting} if self._is_model(pool))
        loads = (
            self._pool_load(pool, running.get(pool, Counter()), waiting.get(pool, Counter()))
            for pool in pools
        )
        return tuple(load for load in loads if load.tenants)

    def _running(self) -> dict[str, Counter[str]]:
        """Return the turns at engines, by pool and tenant."""
        running: dict[str, Counter[str]] = {}
        for exchange in self._state.by_engine_request.values():
            running.setdefault(exchange.pool, Counter())[exchange.tenant_name] += 1
        return running

    def _pool_load(self, pool: str, running: Counter[str], waiting: Counter[str]) -> PoolLoad:
        wanted = running + waiting
        tenants = tuple(
            TenantLoad(name, self._weight(name), running[name], waiting[name])
            for name, _ in wanted.most_common(MAX_TENANTS_PER_POOL)
        )
        slots = self._state.placement.usable_slots_in_pool(pool, self._state.now)
        return PoolLoad(pool, slots, tenants)

    def _is_model(self, pool: str) -> bool:
        table = self._state.table
        known = table.pools.get(pool) if table is not None else None
        return known is not None and known.model is not None

    def _weight(self, tenant: str) -> float:
        table = self._state.table
        if table is None or table.tenants is None:
            return 1.0
        return table.tenants.weight_of(tenant)
