"""The leader's data on tenants' use of engines, and their shares.

``places`` are slots: the requests that a pool's engines can serve concurrently. Nodes
report their tenants' running and waiting turns together with their own turns. The data is neither
replicated nor stored: a new leader has it once each node has reported, and the loads of silent
nodes are dropped.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from yokeline.effects import LogRecord
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import PoolLoad, PoolShares, TenantLoad
from yokeline.ledger.node_reports import NodeReports
from yokeline.scheduling.tenant_shares import Shares, TenantDemand, shares_of

SHARES_MAX_AGE_SECONDS = 0.025
"""Age up to which computed shares are reused; short in comparison with the duration of a turn."""
SHARES_MAX_AGE_SECONDS_PER_TENANT = 4e-5
"""Maximum age per tenant, if that is longer, to bound the cost with many tenants."""
WITHIN_SHARE_LOG_SECONDS = 1.0
"""Time within its share after which a tenant is logged as such; suppresses short changes. Turns end
all the time, so a tenant that demands more leaves and regains its excess several times per
second."""
MAX_LOGGED_TENANTS = 32
"""Tenants tracked in the log; changes of further ones are not logged."""
MAX_TENANTS = 4096
"""Tenants of one pool; loads of further ones are not counted."""
MIN_WEIGHT = 1e-6
LEVEL_DIGITS = 3

TenantOfPool = tuple[str, str]


class _Pool(msgspec.Struct):
    """Sums of one pool over all nodes, and demands by tenant."""

    places: int = 0
    wanted: int = 0
    waiting: int = 0
    demands: dict[str, TenantDemand] = msgspec.field(default_factory=dict)

    def add(self, load: TenantLoad) -> None:
        """Add a node's load of a tenant."""
        self._change(load, 1, max(MIN_WEIGHT, load.weight))

    def remove(self, load: TenantLoad) -> None:
        """Subtract a node's load of a tenant."""
        self._change(load, -1, self.demands[load.tenant].weight)

    def _change(self, load: TenantLoad, sign: int, weight: float) -> None:
        known = self.demands.get(load.tenant)
        running, waiting = sign * load.running, sign * load.waiting
        self.wanted += running + waiting
        self.waiting += waiting
        if known is not None:
            running += known.running
            waiting += known.waiting
        if running or waiting:
            self.demands[load.tenant] = TenantDemand(load.tenant, weight, running, waiting)
        else:
            self.demands.pop(load.tenant, None)

    def shares(self) -> Shares:
        """Return the shares of the pool; skips the computation if there are enough slots."""
        if not self.waiting or self.wanted <= self.places:
            return Shares()
        return shares_of(self.demands.values(), self.places)


class TenantPlaces:
    """The latest loads of each node, their sums by pool and tenant, and the shares.

    Attributes:
        is_used: A node has reported loads of tenants.
    """

    def __init__(self) -> None:
        """Start without loads."""
        self.is_used = False
        self._nodes = NodeReports[PoolLoad]()
        self._pools: dict[str, _Pool] = {}
        self._shares: dict[str, Shares] = {}
        self._messages: tuple[PoolShares, ...] = ()
        self._computed_at = -math.inf
        self._beyond_share_at: dict[TenantOfPool, float] = {}

    def take(
        self, process: ReplicaId, sequence: int, loads: tuple[PoolLoad, ...], now: float
    ) -> None:
        """Handle the loads reported by a node, unless they are outdated."""
        if not self._nodes.has_room(process) or not self._nodes.is_newer(process, sequence):
            return
        self.is_used = True
        self._subtract(self._nodes.pop_report(process))
        countable = tuple(self._countable(load) for load in loads)
        self._nodes.put(process, sequence, countable, now)
        for load in countable:
            pool = self._pools.setdefault(load.pool, _Pool())
            pool.places = load.places
            for tenant_load in load.tenants:
                pool.add(tenant_load)

    def clear(self) -> None:
        """Drop all data, because another replica leads."""
        self.is_used = False
        self._nodes.clear()
        self._pools.clear()
        self._shares.clear()
        self._messages = ()
        self._computed_at = -math.inf
        self._beyond_share_at.clear()

    def shares(self, now: float) -> tuple[PoolShares, ...]:
        """Return the shares of the pools that have too few slots."""
        self._forget_silent(now)
        if now - self._computed_at < self._max_age():
            return self._messages
        self._computed_at = now
        self._shares = {
            name: shares
            for name, pool in self._pools.items()
            if not math.isinf((shares := pool.shares()).level)
        }
        self._messages = tuple(_to_message(name, shares) for name, shares in self._shares.items())
        return self._messages

    def _max_age(self) -> float:
        """Return the time for which computed shares are reused, in seconds."""
        tenants = sum(len(pool.demands) for pool in self._pools.values())
        return max(SHARES_MAX_AGE_SECONDS, SHARES_MAX_AGE_SECONDS_PER_TENANT * tenants)

    def gauges(self) -> dict[str, float]:
        """Return the level of each pool with too few slots, and the turns of tenants beyond it."""
        gauges: dict[str, float] = {}
        for pool, shares in self._shares.items():
            gauges[f'yokeline_ledger_share_level{{pool="{pool}"}}'] = shares.level
            for item in shares.beyond:
                labels = f'pool="{pool}",tenant="{item.tenant}"'
                gauges[f"yokeline_ledger_tenant_turns{{{labels}}}"] = float(item.running)
        return gauges

    def report(self, now: float) -> list[LogRecord]:
        """Return a log line for each tenant that has exceeded its share, or no longer does."""
        if not self._shares and not self._beyond_share_at:
            return []
        lines: list[LogRecord] = []
        self.shares(now)
        for pool, shares in self._shares.items():
            for item in shares.beyond:
                lines.extend(self._note_beyond(pool, shares, item, now))
        for key, seen_at in list(self._beyond_share_at.items()):
            if now - seen_at >= WITHIN_SHARE_LOG_SECONDS:
                del self._beyond_share_at[key]
                lines.append(_log_record("tenant_within_share", key))
        return lines

    def _note_beyond(
        self, pool: str, shares: Shares, item: TenantDemand, now: float
    ) -> list[LogRecord]:
        key = (pool, item.tenant)
        is_new = key not in self._beyond_share_at
        if is_new and len(self._beyond_share_at) >= MAX_LOGGED_TENANTS:
            return []
        self._beyond_share_at[key] = now
        if not is_new:
            return []
        line = _log_record(
            "tenant_beyond_share",
            key,
            running=item.running,
            waiting=item.waiting,
            weight=item.weight,
            share=round(shares.share_of(item), LEVEL_DIGITS),
            level=round(shares.level, LEVEL_DIGITS),
            places=self._pools[pool].places,
        )
        return [line]

    def _countable(self, load: PoolLoad) -> PoolLoad:
        """Return the load without tenants that have no turns or exceed :data:`MAX_TENANTS`."""
        pool = self._pools.get(load.pool)
        tenant_loads = tuple(
            tenant_load
            for tenant_load in load.tenants
            if tenant_load.running > 0 or tenant_load.waiting > 0
        )
        if pool is not None and len(pool.demands) >= MAX_TENANTS:
            tenant_loads = tuple(
                tenant_load for tenant_load in tenant_loads if tenant_load.tenant in pool.demands
            )
        return msgspec.structs.replace(load, tenants=tenant_loads)

    def _subtract(self, loads: Iterable[PoolLoad]) -> None:
        for load in loads:
            for tenant_load in load.tenants:
                self._pools[load.pool].remove(tenant_load)

    def _forget_silent(self, now: float) -> None:
        silent = self._nodes.pop_silent_loads(now)
        if silent is None:
            return
        self._subtract(silent)
        for name, pool in list(self._pools.items()):
            if not pool.demands:
                del self._pools[name]


def _to_message(pool: str, shares: Shares) -> PoolShares:
    beyond = tuple(item.tenant for item in shares.beyond)
    return PoolShares(pool, round(shares.level, LEVEL_DIGITS), beyond)


def _log_record(event: str, key: TenantOfPool, **fields: str | float) -> LogRecord:
    pool, tenant = key
    return LogRecord(event=event, fields={"tenant": tenant, "pool": pool, **fields})
