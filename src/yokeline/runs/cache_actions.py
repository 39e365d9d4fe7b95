"""Carries out cache decisions at engines: hold, release and drop a run tree's cached context.

A hold is a lease that keeps a context in an engine's cache (pins it) until it expires.
"""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result

from yokeline.backends.engine import EngineClient
from yokeline.backends.engine_messages import Accepted, CacheHold, TokenCount
from yokeline.effects import Address
from yokeline.errors import YokelineError
from yokeline.identifiers import RunId, ShardId
from yokeline.runs.core import ExecutorCore
from yokeline.runs.model import Run
from yokeline.runs.pauses import PauseCause, ended_pause, program_name, program_pause
from yokeline.scheduling.interface import (
    CacheAction,
    EngineDirectoryInterface,
    PauseKind,
    PlannedCacheAction,
)


class CacheActions:
    """Reports pauses to the engine directory and carries out the policy's cache decisions.

    Requests to engines are best effort: a hold expires by itself, and the cache reconciler
    (``scheduling.cache_reconciler``) drops entries whose release was lost.
    """

    def __init__(self, core: ExecutorCore, engines: EngineDirectoryInterface) -> None:
        self._core = core
        self._engines = engines
        self._client = EngineClient(core.context)

    # ------------------------------------------------------------ pauses

    def pause_started(self, shard: ShardId, run: Run, cause: PauseCause) -> None:
        """Apply the policy's cache decision for a run that pauses."""
        root = self._core.root_of(shard, run)
        pause = program_pause(run, root, cause)
        planned = self._engines.pause_started(pause) if pause is not None else None
        if planned is not None:
            self._carry_out(shard, root, planned)

    def run_ended(self, shard: ShardId, run: Run) -> None:
        """Apply the policy's cache decision for a child run that has become final."""
        self.pause_started(shard, run, PauseCause(kind=PauseKind.END, name=program_name(run)))

    def turn_ended(self, shard: ShardId, run: Run) -> None:
        """Apply the policy's cache decision for a conversation that has become idle."""
        self.pause_started(shard, run, PauseCause(kind=PauseKind.TURN, name=program_name(run)))

    def pause_ended(self, run: Run) -> None:
        """Report the length of the pause that a run's next model call ends."""
        pause = ended_pause(run, self._core.context.wall())
        if pause is not None:
            self._engines.pause_ended(pause.cause.kind, pause.cause.name, pause.seconds)

    def end_hold(self, engine: str, cache_key: RunId) -> None:
        """Release the cache hold of a context that a call uses again."""
        address = self._engines.hold_ended(engine, cache_key)
        if address is not None:
            self._client.release_hold(address, cache_key, self._count_result("release"))

    def drop(self, address: Address, cache_key: RunId) -> None:
        """Drop the cached context of a run tree at an engine."""
        self._client.drop_entries(address, cache_key, self._count_result("drop"))

    # ------------------------------------------------------------ requests to engines

    def _carry_out(self, shard: ShardId, root: Run, planned: PlannedCacheAction) -> None:
        decision = planned.decision
        if decision.action is CacheAction.DROP:
            self.drop(planned.address, root.run)
        elif decision.action is CacheAction.HOLD:
            hold = CacheHold(
                cache_key=root.run,
                cache_salt=root.spec.tenant,
                seconds=decision.hold_seconds,
                fence=self._core.host.term(shard),
            )
            self._client.hold(planned.address, hold, self._count_hold)

    def _count_hold(self, result: Result[TokenCount, YokelineError]) -> None:
        self._count("hold", failed=isinstance(result, Failure) or not result.unwrap().tokens)

    def _count_result(self, action: str) -> Callable[[Result[Accepted, YokelineError]], None]:
        return lambda result: self._count(action, failed=isinstance(result, Failure))

    def _count(self, action: str, *, failed: bool) -> None:
        outcome = "failed" if failed else "done"
        name = f'yokeline_cache_actions_total{{action="{action}",outcome="{outcome}"}}'
        self._core.context.counters[name] += 1
