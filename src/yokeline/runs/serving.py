"""Serves operations on runs at the leader of their shard."""

from __future__ import annotations

from collections.abc import Callable
from typing import assert_never

from returns.result import Failure, Result, Success

from yokeline.errors import YokelineError
from yokeline.identifiers import RunId, ShardId
from yokeline.runs import rules
from yokeline.runs.core import ExecutorCore
from yokeline.runs.cursor import RunCursor
from yokeline.runs.errors import cancelled, leadership_lost, run_not_found
from yokeline.runs.model import AddTurn, CancelRun, Command, CreateRun, Run
from yokeline.runs.ports import EventsHandler, OperationDone
from yokeline.runs.state_machine import ApplyResult, RunStateMachine
from yokeline.runs.watchers import Watcher, Watchers, copy_of, summary_of
from yokeline.shards.operations import (
    AwaitRun,
    ContinueRun,
    ListRuns,
    Operation,
    ReadRun,
    RunList,
    RunResult,
    StartRun,
    StopRun,
    WatchRun,
)

MAX_LISTED = 500


class OperationServer:
    """Serves operations; each gets exactly one answer unless its ticket is abandoned."""

    def __init__(self, core: ExecutorCore, watchers: Watchers) -> None:
        """Create the server; ``watchers`` holds the callers that wait."""
        self._core = core
        self._watchers = watchers
        self._open_tickets: dict[str, None] = {}
        self._ticket_count = 0

    def serve(
        self,
        operation: Operation,
        shard: ShardId,
        *,
        deadline_seconds: float,
        done: OperationDone,
        on_events: EventsHandler | None,
    ) -> str:
        """Serve an operation; ``done`` may be called before this returns.

        Args:
            operation: The operation.
            shard: The shard; the operation fails if this node does not lead it.
            deadline_seconds: Seconds after which a waiting caller gets the run's current state.
            done: Called once with the answer.
            on_events: Called with the events of a watched run.

        Returns:
            The ticket for :meth:`abandon`.
        """
        self._ticket_count += 1
        ticket = f"ticket-{self._ticket_count}"
        self._open_tickets[ticket] = None
        request = _Request(ticket, shard, deadline_seconds, self._once(ticket, done), on_events)
        if self._core.host.leads(shard):
            self._dispatch(operation, request)
        else:
            request.done(Failure(leadership_lost()))
        return ticket

    def abandon(self, ticket: str) -> None:
        """Discard an operation's answer and events; its changes are kept."""
        self._open_tickets.pop(ticket, None)
        self._watchers.remove(ticket)

    def _once(self, ticket: str, done: OperationDone) -> OperationDone:
        def answer(result: Result[RunResult | RunList, YokelineError]) -> None:
            if ticket in self._open_tickets:
                del self._open_tickets[ticket]
                done(result)

        return answer

    def _dispatch(self, operation: Operation, request: _Request) -> None:
        match operation:
            case StartRun():
                self._start(operation, request)
            case ContinueRun():
                self._continue(operation, request)
            case ReadRun():
                answer = (
                    request.answer_with if operation.with_history else request.answer_with_summary
                )
                self._with_run(operation.run, operation.tenant, request, answer)
            case AwaitRun():
                self._await(operation, request)
            case WatchRun():
                self._watch(operation, request)
            case StopRun():
                self._stop(operation, request)
            case ListRuns():
                self._list(operation, request)
            case _:
                assert_never(operation)

    # ------------------------------------------------------------ writes

    def _start(self, operation: StartRun, request: _Request) -> None:
        command = CreateRun(
            run=operation.run,
            spec=operation.spec,
            input=operation.input,
            wall=self._core.context.wall(),
        )
        self._propose(command, operation.run, request)

    def _continue(self, operation: ContinueRun, request: _Request) -> None:
        command = AddTurn(
            run=operation.run,
            turn_key=operation.turn_key,
            input=operation.input,
            wall=self._core.context.wall(),
            deadline_wall=operation.deadline_wall,
        )
        self._with_run(
            operation.run,
            operation.tenant,
            request,
            lambda run: self._propose(command, run.run, request),
        )

    def _stop(self, operation: StopRun, request: _Request) -> None:
        command = CancelRun(run=operation.run, wall=self._core.context.wall(), error=cancelled())

        def stop(run: Run) -> None:
            if rules.is_final(run):
                request.answer_with(run)
            else:
                self._propose(command, run.run, request)

        self._with_run(operation.run, operation.tenant, request, stop)

    def _propose(self, command: Command, run: RunId, request: _Request) -> None:
        def done(result: Result[ApplyResult, YokelineError]) -> None:
            if isinstance(result, Failure):
                request.done(Failure(result.failure()))
                return
            self._applied(result.unwrap(), run, request)

        self._core.host.propose(request.shard, command, done)

    def _applied(self, result: ApplyResult, run_id: RunId, request: _Request) -> None:
        if result.error is not None:
            request.done(Failure(result.error))
            return
        run = self._core.find(request.shard, run_id)
        if run is None:
            request.done(Failure(run_not_found()))
            return
        request.answer_with(run)
        if result.created:
            self._core.drive(request.shard, run_id)

    # ------------------------------------------------------------ reads

    def _with_run(
        self, run: RunId, tenant: str, request: _Request, use: Callable[[Run], None]
    ) -> None:
        """Read a run (linearizable) and pass it to ``use`` if it belongs to the tenant."""

        def read(result: Result[RunStateMachine, YokelineError]) -> None:
            if isinstance(result, Failure):
                request.done(Failure(result.failure()))
                return
            found = result.unwrap().runs.get(run)
            if found is None or found.spec.tenant != tenant:
                request.done(Failure(run_not_found()))
                return
            use(found)

        self._core.host.read(request.shard, read)

    def _await(self, operation: AwaitRun, request: _Request) -> None:
        def wait(run: Run) -> None:
            watcher = request.watcher(run.run)
            watcher.turn = operation.turn
            self._add(watcher, run, request)

        self._with_run(operation.run, operation.tenant, request, wait)

    def _watch(self, operation: WatchRun, request: _Request) -> None:
        def watch(run: Run) -> None:
            watcher = request.watcher(run.run)
            watcher.cursor = RunCursor(operation.after_call, operation.after_offset)
            watcher.on_events = request.on_events
            self._add(watcher, run, request)

        self._with_run(operation.run, operation.tenant, request, watch)

    def _add(self, watcher: Watcher, run: Run, request: _Request) -> None:
        if request.ticket in self._open_tickets:
            self._watchers.add(watcher, run, request.deadline_seconds)

    def _list(self, operation: ListRuns, request: _Request) -> None:
        def read(result: Result[RunStateMachine, YokelineError]) -> None:
            request.done(result.map(lambda state_machine: listed(state_machine, operation)))

        self._core.host.read(request.shard, read)


class _Request:
    """An operation being served."""

    __slots__ = ("deadline_seconds", "done", "on_events", "shard", "ticket")

    def __init__(
        self,
        ticket: str,
        shard: ShardId,
        deadline_seconds: float,
        done: OperationDone,
        on_events: EventsHandler | None,
    ) -> None:
        self.ticket = ticket
        self.shard = shard
        self.deadline_seconds = deadline_seconds
        self.done = done
        self.on_events = on_events

    def answer_with(self, run: Run) -> None:
        """Answer with the run's current state."""
        self.done(Success(RunResult(run=copy_of(run))))

    def answer_with_summary(self, run: Run) -> None:
        """Answer with the run's current state without its history."""
        self.done(Success(RunResult(run=summary_of(run))))

    def watcher(self, run: RunId) -> Watcher:
        """Return a watcher of a run for the operation's caller."""
        return Watcher(ticket=self.ticket, shard=self.shard, run=run, done=self.done)


def listed(state_machine: RunStateMachine, operation: ListRuns) -> RunList:
    """Return a page of a tenant's runs, ordered by id."""
    limit = max(0, min(operation.limit, MAX_LISTED))
    own = [
        run
        for run in state_machine.runs.values()
        if run.spec.tenant == operation.tenant and run.run > operation.after
    ]
    own.sort(key=lambda run: run.run)
    return RunList(runs=tuple(summary_of(run) for run in own[:limit]))
