"""Removal of runs after their retention time, and release of their engine caches.

A run has **ended** here if it is final or an idle conversation. Its retention ends
``retention_seconds`` after it became final or ``idle_seconds`` after it became idle.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from returns.result import Failure, Result

from yokeline.errors import YokelineError
from yokeline.identifiers import RunId, ShardId
from yokeline.runs import rules
from yokeline.runs.cache_actions import CacheActions
from yokeline.runs.core import ExecutorCore
from yokeline.runs.model import CallKind, ForgetRuns, Run, RunStatus
from yokeline.runs.state_machine import ApplyResult
from yokeline.runs.tree import descendants
from yokeline.scheduling.interface import EngineDirectoryInterface

FORGET_BATCH_SIZE = 100
FORGET_PERIOD_SECONDS = 5.0
RECENTLY_ENDED_SECONDS = 60.0
"""Age up to which a new leader releases the caches of final runs again, in case the previous
leader stopped before it released them."""

_RetentionEntry = tuple[float, RunId]


class Retention:
    """Tracks the ended root runs of the shards that this node leads."""

    def __init__(
        self, core: ExecutorCore, engines: EngineDirectoryInterface, cache: CacheActions
    ) -> None:
        self._core = core
        self._engines = engines
        self._cache = cache
        self._retention_ends: dict[ShardId, list[_RetentionEntry]] = {}
        self._scheduled = False

    # ------------------------------------------------------------ ended runs

    def run_ended(self, shard: ShardId, run: Run) -> None:
        """Apply the cache decision for an idle or final run, and schedule a root run's removal."""
        if run.parent is not None:
            self._cache.run_ended(shard, run)
            return
        if rules.is_final(run):
            self.release_caches(shard, run)
        else:
            self._cache.turn_ended(shard, run)
        heap = self._retention_ends.setdefault(shard, [])
        heapq.heappush(heap, (self._retention_end_wall(run), run.run))
        self._schedule()

    def _retention_end_wall(self, run: Run) -> float:
        runs = self._core.settings.runs
        retention = runs.retention_seconds if rules.is_final(run) else runs.idle_seconds
        return (run.finished_wall or run.created_wall) + retention

    def leadership_gained(self, shard: ShardId) -> None:
        """Start tracking the ended runs of a shard."""
        state_machine = self._core.host.state_machine(shard)
        if state_machine is None:
            return
        recently_ended_after = self._core.context.wall() - RECENTLY_ENDED_SECONDS
        ended = [
            run
            for run in state_machine.runs.values()
            if run.parent is None and run.status is not RunStatus.ACTIVE
        ]
        heap = [(self._retention_end_wall(run), run.run) for run in ended]
        heapq.heapify(heap)
        self._retention_ends[shard] = heap
        for run in sorted(ended, key=lambda run: run.run):
            if rules.is_final(run) and (run.finished_wall or 0.0) > recently_ended_after:
                self.release_caches(shard, run)
        self._schedule()

    def leadership_lost(self, shard: ShardId) -> None:
        """Stop tracking the runs of a shard."""
        self._retention_ends.pop(shard, None)

    # ------------------------------------------------------------ caches

    def release_caches(self, shard: ShardId, root: Run) -> None:
        """Drop the context of an ended run tree at every engine that may have it in its cache.

        The scheduling policy has no say: an ended run tree needs no cache memory.
        """
        state_machine = self._core.host.state_machine(shard)
        tree = descendants(state_machine.runs, root) if state_machine is not None else [root]
        used = {call.backend for run in tree for call in run.calls if call.kind is CallKind.MODEL}
        used.update(self._engines.run_ended(root.run))
        for engine in sorted(used):
            address = self._engines.address_of(engine)
            if address is not None:
                self._cache.drop(address, root.run)

    # ------------------------------------------------------------ removal

    def _schedule(self) -> None:
        if self._scheduled or not any(self._retention_ends.values()):
            return
        self._scheduled = True
        due = self._core.context.now + FORGET_PERIOD_SECONDS
        self._core.timers.schedule(due, self._remove_expired)

    def _remove_expired(self) -> None:
        self._scheduled = False
        for shard in sorted(self._retention_ends):
            self._remove_expired_in(shard)
        self._schedule()

    def _remove_expired_in(self, shard: ShardId) -> None:
        wall = self._core.context.wall()
        heap = self._retention_ends[shard]
        expired: list[Run] = []
        while heap and heap[0][0] <= wall and len(expired) < FORGET_BATCH_SIZE:
            run = self._core.find(shard, heapq.heappop(heap)[1])
            if run is not None and self._is_past_retention(run, wall):
                expired.append(run)
        if expired:
            self._propose(shard, expired, wall)

    def _is_past_retention(self, run: Run, wall: float) -> bool:
        return run.status is not RunStatus.ACTIVE and self._retention_end_wall(run) <= wall

    def _propose(self, shard: ShardId, expired: list[Run], wall: float) -> None:
        for run in expired:
            if not rules.is_final(run):
                self.release_caches(shard, run)
        command = ForgetRuns(runs=tuple(run.run for run in expired), wall=wall)
        self._core.host.propose(shard, command, self._reschedule_on_failure(shard, expired))

    def _reschedule_on_failure(
        self, shard: ShardId, expired: list[Run]
    ) -> Callable[[Result[ApplyResult, YokelineError]], None]:
        """Return a handler that reschedules the runs if they were not removed."""

        def done(result: Result[ApplyResult, YokelineError]) -> None:
            if not isinstance(result, Failure) and result.unwrap().accepted:
                return
            heap = self._retention_ends.get(shard)
            if heap is None:
                return
            for run in expired:
                heapq.heappush(heap, (self._retention_end_wall(run), run.run))
            self._schedule()

        return done
