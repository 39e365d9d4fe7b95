"""Reconciles the caches of engines with the existing runs.

Each engine is reconciled by one node: the leader of the shard of the engine's name. That node
periodically reads the engine's inventory and drops the entries of runs that have ended or do not
exist, for example because the request to drop them was lost. Whether a run exists is looked up at
the leader of the run's shard; without a definite answer its entries are kept.
"""

from __future__ import annotations

import enum
import functools
from collections.abc import Callable

from returns.result import Result, Success

from yokeline.backends.engine import EngineClient
from yokeline.backends.engine_messages import Accepted, CacheEntry, CacheInventory
from yokeline.errors import YokelineError
from yokeline.identifiers import RUN_PREFIX, RunId
from yokeline.scheduling.engine_catalog import EngineCatalog, EngineRecord
from yokeline.scheduling.engine_state_tracker import EngineStateTracker
from yokeline.server.context import NodeContext

INVENTORY_PERIOD_SECONDS = 20.0
FIRST_INVENTORY_SECONDS = 5.0
"""Delay of the first inventories after the start of the node."""
MAX_LOOKUPS_PER_INVENTORY = 200
"""Limit on the runs looked up per inventory; the next inventory continues after them."""


class RunPresence(enum.Enum):
    """Whether a run still needs its context, according to the leader of its shard."""

    NEEDED = "needed"
    """The run is active, or an idle conversation."""
    GONE = "gone"
    """The run has ended, or a linearizable read found no such run."""
    UNKNOWN = "unknown"
    """The lookup got no answer."""


PresenceHandler = Callable[[RunPresence], None]
RunLookup = Callable[[RunId, str, PresenceHandler], None]
"""Looks up a root run of a tenant; the handler may be called immediately or later."""


def presence_unknown(_run: RunId, _tenant: str, done: PresenceHandler) -> None:
    """Report the presence as unknown, so that the entries are kept."""
    done(RunPresence.UNKNOWN)


def reconciles_nothing(_engine: str) -> bool:
    """Return False: this node reconciles the cache of no engine."""
    return False


class CacheReconciler:
    """Reads the inventories of the engines that this node reconciles."""

    def __init__(
        self,
        context: NodeContext,
        catalog: EngineCatalog,
        tracker: EngineStateTracker,
        reconciles: Callable[[str], bool],
        look_up_run: RunLookup,
    ) -> None:
        """Create the reconciler; the first inventories are read after a delay."""
        self._context = context
        self._catalog = catalog
        self._tracker = tracker
        self._reconciles = reconciles
        self._look_up_run = look_up_run
        self._client = EngineClient(context)
        self._next_inventory_at = context.now + FIRST_INVENTORY_SECONDS
        self._cursors: dict[str, str] = {}

    def next_deadline(self) -> float:
        """Return when the next inventories are due."""
        return self._next_inventory_at

    def tick(self) -> None:
        """Read the inventories if they are due."""
        if self._context.now < self._next_inventory_at:
            return
        self._next_inventory_at = self._context.now + INVENTORY_PERIOD_SECONDS
        for record in self._catalog.records.values():
            if self._reconciles(record.name):
                read = functools.partial(self._inventory_received, record)
                self._client.inventory(record.address, read)

    def _inventory_received(
        self, record: EngineRecord, result: Result[CacheInventory, YokelineError]
    ) -> None:
        if not isinstance(result, Success):
            return
        entries = result.unwrap().entries
        self._remove_evicted_contexts(record.name, entries)
        for entry in self._entries_to_check(record.name, entries):
            done = functools.partial(self._presence_received, record, entry)
            self._look_up_run(RunId(entry.cache_key), entry.cache_salt, done)

    def _remove_evicted_contexts(self, engine: str, entries: tuple[CacheEntry, ...]) -> None:
        cached = {entry.cache_key for entry in entries}
        for cache_key in self._tracker.idle_contexts_at(engine):
            if cache_key not in cached:
                self._tracker.context_removed(engine, cache_key)

    def _entries_to_check(self, engine: str, entries: tuple[CacheEntry, ...]) -> list[CacheEntry]:
        """Return the entries of inactive runs to look up, continuing after the last inventory."""
        tracked = self._tracker.engine(engine)
        cursor = self._cursors.get(engine, "")
        candidates = [
            entry
            for entry in entries
            if entry.cache_key.startswith(RUN_PREFIX)
            and not tracked.is_active(RunId(entry.cache_key))
        ]
        # Entries after the cursor first, then from the start again.
        candidates.sort(key=lambda entry: (entry.cache_key <= cursor, entry.cache_key))
        selected = candidates[:MAX_LOOKUPS_PER_INVENTORY]
        self._cursors[engine] = selected[-1].cache_key if selected else ""
        return selected

    def _presence_received(
        self, record: EngineRecord, entry: CacheEntry, presence: RunPresence
    ) -> None:
        if presence is not RunPresence.GONE:
            return
        self._context.counters["yokeline_cache_reconciled_total"] += 1
        self._tracker.context_removed(record.name, RunId(entry.cache_key))
        self._client.drop_entries(record.address, RunId(entry.cache_key), _ignore_result)


def _ignore_result(_result: Result[Accepted, YokelineError]) -> None:
    """A failed drop is repeated after the next inventory."""
