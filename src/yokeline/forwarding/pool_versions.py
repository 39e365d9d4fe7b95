"""Records in the ledger which software versions the engines of each pool have.

A stream that can be resumed is sent only to engines of recorded versions. So whoever asks the
ledger later, also a node that has started since, is told of each version that may have begun one.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection

from msgspec import UnsetType

from yokeline.effects import Effect, LogRecord
from yokeline.forwarding.node_state import NodeState
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.operations import (
    Granted,
    OperationResult,
    PoolVersion,
    Reserve,
    SideReport,
)
from yokeline.scheduling.engine_versions import MIN_VERSION_MEMORY_SECONDS

RECORD_TIMEOUT_SECONDS = 5.0
"""Time for which a record is repeated until the ledger has it."""

_LogFields = dict[str, str | int | float | bool | None]


class RecordedVersions:
    """The versions of each pool that this node knows to be recorded.

    Attributes:
        on_told: Called with each pool for which the ledger has told the recorded versions.
    """

    def __init__(self, state: NodeState, ledger: LedgerClient, process: str) -> None:
        """Record in ``ledger``, with ids that begin with ``process``."""
        self.on_told: Callable[[str], object] = _ignore_pool
        self._state = state
        self._ledger = ledger
        self._process = process
        self._numbers = itertools.count(1)
        self._recorded: dict[str, set[str]] = {}
        self._asked: set[tuple[str, str]] = set()
        self._told: dict[str, tuple[str, ...]] = {}
        self._is_due = False
        self._was_outdated = False

    def pools(self) -> frozenset[str]:
        """Return the pools that serve streams which can be resumed."""
        table = self._state.table
        if table is None:
            return frozenset()
        return table.pools_of_resumable_streams

    def usable(self, pool: str) -> frozenset[str] | None:
        """Return the versions to which new streams of a pool may be sent; None for all."""
        recorded = self._recorded.get(pool, set())
        if self._state.engines.versions_in_pool(pool) <= recorded:
            return None
        return frozenset(recorded)

    def note_view_age(self, seconds: float) -> None:
        """Record all versions anew once the view of the engines is current again.

        Other nodes may have deleted a version that came back unnoticed.
        """
        is_outdated = seconds > MIN_VERSION_MEMORY_SECONDS
        if self._was_outdated and not is_outdated:
            self._recorded.clear()
            self._is_due = True
        self._was_outdated = is_outdated

    def is_due(self) -> bool:
        """Return whether versions are to be recorded again."""
        return self._is_due

    def take_told(self, pool: str) -> tuple[str, ...]:
        """Return once the versions that the ledger has told of a pool."""
        return self._told.pop(pool, ())

    def ensure(self, pool: str, versions: Collection[str]) -> None:
        """Record the versions of a pool's engines, unless it is known that they are."""
        self._is_due = False
        known = self._recorded.setdefault(pool, set())
        for version in sorted(set(versions).difference(known)):
            if (pool, version) not in self._asked:
                self._asked.add((pool, version))
                self._send(PoolVersion(pool, version))

    def delete(self, pool: str, versions: Collection[str], absent_seconds: float) -> None:
        """Delete versions that have been absent for so long that no stream of them goes on."""
        for version in sorted(versions):
            self._recorded.get(pool, set()).discard(version)
            self._send(PoolVersion(pool, version, absent_seconds))

    def _send(self, row: PoolVersion) -> None:
        def answered(result: OperationResult | None, ended_at: float) -> list[Effect]:
            self._state.now = ended_at
            self._handle_answer(row, result)
            return self._state.outcomes.drain_effects()

        operation = Reserve(
            request_id=f"{self._process}/versions/{next(self._numbers)}",
            side=SideReport(pool=row.pool, versions=(row,)),
        )
        now = self._state.now
        effects = self._ledger.ask(
            operation, answered, now, now + RECORD_TIMEOUT_SECONDS, is_background=True
        )
        self._state.outcomes.effects.extend(effects)

    def _handle_answer(self, row: PoolVersion, result: OperationResult | None) -> None:
        self._asked.discard((row.pool, row.version))
        told: tuple[str, ...] = ()
        if isinstance(result, Granted):
            if not isinstance(result.versions, UnsetType):
                told = result.versions
            if row.absent is None:
                # A leader of an earlier release records no versions, and need not hold streams up.
                self._recorded.setdefault(row.pool, set()).add(row.version)
        else:
            self._is_due = True
        fields: _LogFields = {
            "pool": row.pool,
            "version": row.version,
            "absent": row.absent,
            "is_recorded": isinstance(result, Granted),
            "recorded": " ".join(told),
        }
        self._state.outcomes.effects.append(LogRecord(event="pool_version_recorded", fields=fields))
        if told:
            self._told[row.pool] = told
            self.on_told(row.pool)


def _ignore_pool(_pool: str) -> None:
    """Do nothing; the default callback."""
