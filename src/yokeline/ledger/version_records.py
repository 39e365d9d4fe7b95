"""Software versions that the engines of each pool have had, in the ledger's state machine.

A version is recorded before any stream is sent to its engines, and deleted once none of it can be
resumed any more. So a node that has just started knows which versions may have begun a stream.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from yokeline.ledger.operations import PoolVersion

MAX_POOLS = 1024
MAX_VERSIONS_PER_POOL = 64
"""Beyond the bounds, what was recorded first is evicted."""


class VersionRecords(msgspec.Struct, kw_only=True):
    """When each version of each pool was last recorded (ledger time), by pool and version."""

    pools: dict[str, dict[str, float]] = {}

    def of_pool(self, pool: str) -> tuple[str, ...]:
        """Return the recorded versions of a pool."""
        return tuple(sorted(self.pools.get(pool, ())))

    def transition_record(self, rows: Iterable[PoolVersion], time: float) -> None:
        """Record versions; delete those that have been absent since they were recorded."""
        for row in rows:
            known = self.pools.get(row.pool, {})
            if row.absent is None:
                self._record(row, time)
            elif row.version in known and known[row.version] <= time - row.absent:
                del known[row.version]

    def _record(self, row: PoolVersion, time: float) -> None:
        known = self.pools.setdefault(row.pool, {})
        known[row.version] = time
        if len(known) > MAX_VERSIONS_PER_POOL:
            del known[min(known, key=lambda version: (known[version], version))]
        if len(self.pools) > MAX_POOLS:
            del self.pools[next(pool for pool in self.pools if pool != row.pool)]
