"""The run executor drives the runs of the shards that this node leads and serves callers."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.identifiers import ShardId
from yokeline.runs.cache_actions import CacheActions
from yokeline.runs.core import ExecutorCore
from yokeline.runs.driver import RunDriver
from yokeline.runs.model import (
    CancelRun,
    Command,
    ForgetRuns,
    RecoverShard,
    Run,
    RunStatus,
)
from yokeline.runs.ports import (
    Configuration,
    EventsHandler,
    Host,
    LeavingPredicate,
    OperationDone,
    nothing_leaves,
)
from yokeline.runs.retention import Retention
from yokeline.runs.serving import OperationServer
from yokeline.runs.state_machine import ApplyResult
from yokeline.runs.tree import descendants
from yokeline.runs.watchers import Watchers
from yokeline.scheduling.interface import EngineDirectoryInterface
from yokeline.server.context import NodeContext
from yokeline.settings import Settings
from yokeline.shards.operations import Operation


class Executor:
    """Drives runs and serves operations; implements the shard host's listener."""

    def __init__(
        self,
        context: NodeContext,
        settings: Settings,
        host: Host,
        configuration: Callable[[], Configuration],
        engines: EngineDirectoryInterface,
        leaving: LeavingPredicate = nothing_leaves,
    ) -> None:
        """Create an executor without runs.

        Args:
            context: The node's context.
            settings: The node's settings.
            host: The replicated shards.
            configuration: Returns the current configuration.
            engines: Chooses engines for model calls.
            leaving: Returns whether the back end at an address is draining, so that it receives no
                new calls.
        """
        self._core = ExecutorCore(context, settings, host)
        self._watchers = Watchers(self._core)
        self._server = OperationServer(self._core, self._watchers)
        cache = CacheActions(self._core, engines)
        self._driver = RunDriver(
            self._core, configuration, engines, cache, leaving, self._watchers.text_arrived
        )
        self._retention = Retention(self._core, engines, cache)

    # ------------------------------------------------------------ operations

    def serve(
        self,
        operation: Operation,
        shard: ShardId,
        *,
        deadline_seconds: float,
        done: OperationDone,
        on_events: EventsHandler | None = None,
    ) -> str:
        """Serve an operation at the leader; see :meth:`OperationServer.serve`."""
        return self._server.serve(
            operation, shard, deadline_seconds=deadline_seconds, done=done, on_events=on_events
        )

    def abandon(self, ticket: str) -> None:
        """Discard an operation's answer and events."""
        self._server.abandon(ticket)

    # ------------------------------------------------------------ ShardListener

    def leadership_gained(self, shard: ShardId, term: int) -> None:
        """Resume the shard's active runs; all earlier commands of its log are applied."""
        self._core.context.log("runs_taken_over", shard=shard, term=term)
        # Activities of an earlier term of this node must not continue with an old fence.
        self._driver.leadership_lost(shard)
        self._retention.leadership_gained(shard)
        self._driver.leadership_gained(shard)

    def leadership_lost(self, shard: ShardId) -> None:
        """Stop driving the shard's runs and send its callers to the next leader."""
        self._driver.leadership_lost(shard)
        self._retention.leadership_lost(shard)
        self._watchers.leadership_lost(shard)

    def command_applied(self, shard: ShardId, command: Command, result: ApplyResult) -> None:
        """Notify callers of changed runs and release the state of final and idle runs."""
        if not result.accepted or not self._core.host.leads(shard):
            return
        if isinstance(command, ForgetRuns):
            self._watchers.runs_forgotten(command.runs)
            return
        if isinstance(command, RecoverShard):
            return  # Applied before the recovered group has a leader.
        run = self._core.find(shard, command.run)
        if run is None:
            return
        state_machine = self._core.host.state_machine(shard)
        cascades = isinstance(command, CancelRun) and state_machine is not None
        changed = (
            descendants(state_machine.runs, run)
            if cascades and state_machine is not None
            else [run]
        )
        for member in reversed(changed):
            self._run_changed(shard, member)

    def _run_changed(self, shard: ShardId, run: Run) -> None:
        self._watchers.run_changed(run)
        if run.status is RunStatus.ACTIVE:
            return
        self._count_ended_run(run)
        self._driver.run_ended(run)
        self._retention.run_ended(shard, run)

    def _count_ended_run(self, run: Run) -> None:
        name = f'yokeline_runs_ended_total{{status="{run.status.value}"}}'
        self._core.context.counters[name] += 1

    # ------------------------------------------------------------ timers

    def tick(self) -> None:
        """Run the timers that are due."""
        self._core.timers.run_due(self._core.context.now)

    def next_deadline(self) -> float | None:
        """Return the monotonic time at which the next :meth:`tick` is due."""
        return self._core.timers.next_due()

    # ------------------------------------------------------------ draining

    def begin_drain(self) -> None:
        """Delay new tool, app and child calls, because leadership is about to move."""
        self._driver.begin_drain()

    def blocks_transfer(self, shard: ShardId) -> bool:
        """Return whether handing the shard over now could leave a call's outcome unknown."""
        return self._driver.blocks_transfer(shard)

    # ------------------------------------------------------------ status

    def active_runs(self) -> int:
        """Return the number of runs with an activity on this node."""
        return len(self._core.activities)

    def waiting_calls(self) -> int:
        """Return the number of model calls that wait for an engine."""
        return len(self._driver.queue)
