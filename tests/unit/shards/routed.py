"""Cluster nodes with a router, a shard server and a simple executor."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from tests.unit.shards.cluster import Cluster, FakePeerView, HostNode
from yokeline.errors import YokelineError
from yokeline.identifiers import ReplicaId, RequestId, RunId, ShardId
from yokeline.membership.view import Member
from yokeline.messages.types import RunEvents, ShardCancel, ShardReply, ShardRequest
from yokeline.runs.errors import run_not_found
from yokeline.runs.events import EventId, RunEvent, TextEvent
from yokeline.runs.model import CreateRun, RunSpec
from yokeline.runs.state_machine import ApplyResult
from yokeline.settings import Settings
from yokeline.shards.operation_server import EventsReceived, OperationDone
from yokeline.shards.operations import Operation, OperationResult, RunResult, StartRun, WatchRun
from yokeline.shards.router import ShardRouter
from yokeline.shards.shard_server import ShardServer

SHARD = ShardId(0)
Answer = Result[OperationResult, YokelineError]


def start_operation(run: str) -> StartRun:
    return StartRun(run=RunId(run), spec=RunSpec(tenant="t", program="p"), input="text")


class SimpleExecutor:
    """Commits starts, and lets a test push events to watchers."""

    def __init__(self, node: RoutedNode) -> None:
        self._node = node
        self.served: list[Operation] = []
        self.abandoned: list[str] = []
        self.watchers: dict[str, EventsReceived] = {}
        self.silent = False

    def serve(
        self,
        operation: Operation,
        shard: ShardId,
        *,
        deadline_seconds: float,
        done: OperationDone,
        on_events: EventsReceived | None = None,
    ) -> str:
        self.served.append(operation)
        ticket = str(len(self.served))
        if isinstance(operation, WatchRun):
            assert on_events is not None
            self.watchers[ticket] = on_events
        elif isinstance(operation, StartRun) and not self.silent:
            self._start(operation, shard, done)
        return ticket

    def _start(self, operation: StartRun, shard: ShardId, done: OperationDone) -> None:
        command = CreateRun(run=operation.run, spec=operation.spec, input=operation.input, wall=1.0)

        def applied(result: Result[ApplyResult, YokelineError]) -> None:
            state_machine = self._node.host.state_machine(shard)
            if isinstance(result, Failure):
                done(Failure(result.failure()))
            elif state_machine is None or operation.run not in state_machine.runs:
                done(Failure(run_not_found()))
            else:
                done(Success(RunResult(run=state_machine.runs[operation.run])))

        self._node.host.propose(shard, command, applied)

    def abandon(self, ticket: str) -> None:
        self.abandoned.append(ticket)
        self.watchers.pop(ticket, None)

    def push(self, *texts: tuple[int, str]) -> None:
        events = tuple(TextEvent(id=EventId(1, offset), text=text) for offset, text in texts)
        for watcher in list(self.watchers.values()):
            watcher(events)


class RoutedNode(HostNode):
    def __init__(self, own: Member, settings: Settings, view: FakePeerView, seed: int) -> None:
        super().__init__(own, settings, view, seed)
        self.executor = SimpleExecutor(self)
        self.router = ShardRouter(self.context, self.host, self.executor)
        self.server = ShardServer(self.context, self.host, self.executor)
        self.handle_other = self._receive

    def _receive(self, sender: ReplicaId, message: msgspec.Struct) -> None:
        if isinstance(message, ShardRequest):
            self.server.receive_request(sender, message)
        elif isinstance(message, ShardCancel):
            self.server.receive_cancel(sender, message)
        elif isinstance(message, ShardReply):
            self.router.receive_reply(sender, message)
        elif isinstance(message, RunEvents):
            self.router.receive_events(sender, message)

    def deadline(self) -> float:
        due = self.router.next_deadline()
        first = super().deadline()
        return first if due is None else min(first, due)

    def tick(self) -> None:
        super().tick()
        self.router.tick()


class RoutedCluster(Cluster):
    node_type = RoutedNode
    nodes: dict[ReplicaId, RoutedNode]  # type: ignore[assignment]

    def send_request(
        self,
        node: RoutedNode,
        operation: Operation,
        deadline: float = 30.0,
        events: list[RunEvent] | None = None,
    ) -> tuple[RequestId, list[Answer]]:
        answers: list[Answer] = []
        requests: list[RequestId] = []
        seen: list[RunEvent] = [] if events is None else events

        def send() -> None:
            requests.append(
                node.router.request(
                    SHARD,
                    operation,
                    deadline_seconds=deadline,
                    done=answers.append,
                    on_events=seen.extend,
                )
            )

        self.execute_at(node, send)
        return requests[0], answers

    def routed_leader(self) -> RoutedNode:
        (replica,) = self.leaders(SHARD)
        return self.nodes[replica]

    def follower(self) -> RoutedNode:
        leaders = self.leaders(SHARD)
        return next(node for replica, node in self.nodes.items() if replica not in leaders)
