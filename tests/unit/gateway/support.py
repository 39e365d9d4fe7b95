"""A gateway over a scripted router, configuration and writer."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from yokeline.bearer_tokens import token_digest
from yokeline.effects import (
    Effect,
    HttpArrived,
    HttpGone,
    HttpReply,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamStart,
)
from yokeline.errors import YokelineError
from yokeline.gateway.gateway import Gateway
from yokeline.identifiers import ExchangeId, NodeName, ReplicaId, RequestId, RunId, ShardId
from yokeline.labels.objects import (
    AccessToken,
    App,
    ConfigurationObject,
    EnginePool,
    ObjectKind,
    Policy,
    Program,
    StoredObject,
    Tenant,
    TenantLimits,
    TokenRole,
)
from yokeline.labels.view import ConfigurationView
from yokeline.runs.model import Run, RunSpec, RunStatus
from yokeline.server.context import NodeContext
from yokeline.settings import ClusterSection, GatewaySection, NodeSection, Settings
from yokeline.shards.operations import Operation, OperationResult, RunResult, StartRun
from yokeline.store.writes import WriteDone

PLATFORM = "platform-secret"
CALLER = "caller-secret"
OPERATOR = "operator-secret"
OTHER = "other-secret"
SHARDS = 20

OBJECTS: tuple[tuple[ObjectKind, str, ConfigurationObject], ...] = (
    (
        ObjectKind.TENANT,
        "dallim",
        Tenant(
            name="dallim",
            tokens=(
                AccessToken(digest=token_digest(CALLER)),
                AccessToken(digest=token_digest(OPERATOR), role=TokenRole.OPERATOR),
            ),
            limits=TenantLimits(requests_per_second=2.0, burst=3, active_runs=3),
        ),
    ),
    (
        ObjectKind.TENANT,
        "harvest",
        Tenant(
            name="harvest",
            tokens=(AccessToken(digest=token_digest(OTHER), role=TokenRole.OPERATOR),),
        ),
    ),
    (
        ObjectKind.PROGRAM,
        "dallim/reconcile",
        Program(name="reconcile", tenant="dallim", model="small-1", labels={"work": "talk"}),
    ),
    (
        ObjectKind.PROGRAM,
        "dallim/talk",
        Program(name="talk", tenant="dallim", model="small-1", conversation=True),
    ),
    (
        ObjectKind.PROGRAM,
        "dallim/post",
        Program(name="post", tenant="dallim", app="results", labels={"work": "post"}),
    ),
    (
        ObjectKind.PROGRAM,
        "harvest/tally",
        Program(name="tally", tenant="harvest", model="small-1"),
    ),
    (
        ObjectKind.APP,
        "dallim/results",
        App(name="results", tenant="dallim", addresses=("127.0.0.1:9101",)),
    ),
    (
        ObjectKind.ENGINE_POOL,
        "north",
        EnginePool(
            name="north", labels={"site": "n"}, addresses=("127.0.0.1:9201",), models=("small-1",)
        ),
    ),
    (
        ObjectKind.POLICY,
        "dallim/posts",
        Policy(
            name="posts",
            tenant="dallim",
            program_selector="work=post",
            worth=3.0,
            priority=7,
            deadline_seconds=20.0,
            engine_selector="site=n",
        ),
    ),
)


class Asked(msgspec.Struct):
    """One operation that the gateway gave to the router."""

    request: RequestId
    shard: ShardId
    operation: Operation
    seconds: float
    done: Callable[[Result[OperationResult, YokelineError]], None]
    on_events: Callable[..., None] | None


class FakeRouter:
    """Keeps operations until the test answers them."""

    def __init__(self) -> None:
        self.asked: list[Asked] = []
        self.cancelled: list[RequestId] = []

    def request(
        self,
        shard: ShardId,
        operation: Operation,
        *,
        deadline_seconds: float,
        done: Callable[[Result[OperationResult, YokelineError]], None],
        on_events: Callable[..., None] | None = None,
    ) -> RequestId:
        request = RequestId(f"r{len(self.asked)}")
        self.asked.append(Asked(request, shard, operation, deadline_seconds, done, on_events))
        return request

    def cancel(self, request: RequestId) -> None:
        self.cancelled.append(request)

    def last(self) -> Asked:
        return self.asked[-1]


class FakeConfiguration:
    """A fixed view."""

    def __init__(self) -> None:
        self.is_ready = True
        stored = [
            StoredObject(
                kind=kind, name=name, revision=10 + n, body=msgspec.json.encode(item).decode()
            )
            for n, (kind, name, item) in enumerate(OBJECTS)
        ]
        self.current = ConfigurationView().with_objects(stored)

    def view(self) -> ConfigurationView:
        return self.current

    def revision(self) -> int:
        return self.current.revision

    def ready(self) -> bool:
        return self.is_ready


class Write(msgspec.Struct):
    """One write that the gateway asked for; ``body`` is None for a delete."""

    kind: ObjectKind
    name: str
    body: str | None
    expected: int
    operation: str
    done: WriteDone


class FakeWriter:
    """Keeps writes until the test answers them."""

    def __init__(self) -> None:
        self.writes: list[Write] = []

    def put(self, kind, name, body, expected_revision, operation, done) -> None:
        self.writes.append(Write(kind, name, body, expected_revision, operation, done))

    def delete(self, kind, name, expected_revision, operation, done) -> None:
        self.writes.append(Write(kind, name, None, expected_revision, operation, done))

    def resolve(self, kind, name, operation, done) -> None:
        self.resolving = done


class NodeLine(msgspec.Struct):
    """A node in the fake admin reader."""

    name: str


class FakeAdmin:
    """A deployment of two nodes."""

    def __init__(self) -> None:
        self.drained = False

    def nodes(self) -> list[NodeLine]:
        return [NodeLine("node-1"), NodeLine("node-2"), NodeLine("node-3")]

    def shards(self) -> list[NodeLine]:
        return []

    def engines(self) -> list[NodeLine]:
        return []

    def live_nodes(self) -> int:
        return 2

    def gauges(self) -> dict[str, float]:
        return {'yokeline_shards_led{zone="a"}': 4.0}

    def transport_counters(self) -> dict[str, float]:
        return {'yokeline_datagrams_dropped_total{reason="malformed"}': 3.0}

    def unready_reasons(self) -> list[str]:
        return []

    def drain(self) -> None:
        self.drained = True


class Answer:
    """What one exchange was answered so far."""

    def __init__(self, effects: list[Effect], exchange: ExchangeId) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.replies = 0
        self.ended = False
        self.aborted = False
        for effect in effects:
            if getattr(effect, "exchange", None) == exchange:
                self._take(effect)

    def _take(self, effect: Effect) -> None:
        if isinstance(effect, HttpReply | HttpStreamStart):
            self.replies += 1
            self.status = effect.status
            self.headers = effect.headers
        if isinstance(effect, HttpReply):
            self.body = effect.body
            self.ended = True
        if isinstance(effect, HttpStreamData):
            self.body += effect.data
        if isinstance(effect, HttpStreamEnd):
            self.ended = True
            self.aborted = effect.aborted

    def json(self) -> Any:
        return json.loads(self.body)

    def events(self) -> list[tuple[str, str, Any]]:
        """Return the (id, kind, data) of each server-sent event."""
        found = []
        for block in self.body.decode().split("\n\n"):
            fields = dict(line.split(": ", 1) for line in block.splitlines() if line[:1] != ":")
            if fields:
                found.append((fields.get("id", ""), fields["event"], json.loads(fields["data"])))
        return found


class Bench:
    """A gateway on a clock that the test turns."""

    def __init__(self, **gateway: Any) -> None:
        self.settings = Settings(
            node=NodeSection(name="node-1"),
            cluster=ClusterSection(shards=SHARDS),
            gateway=GatewaySection(platform_token_digest=token_digest(PLATFORM), **gateway),
        )
        self.context = NodeContext(
            name=NodeName("node-1"),
            replica=ReplicaId("node-1~1"),
            zone="a",
            source=random.Random(1),
            wall_offset=1000.0,
        )
        self.router = FakeRouter()
        self.configuration = FakeConfiguration()
        self.writer = FakeWriter()
        self.admin = FakeAdmin()
        self.gateway = Gateway(
            self.context, self.settings, self.router, self.configuration, self.writer, self.admin
        )
        self.effects: list[Effect] = []
        self.exchanges = 0

    def send(
        self,
        method: str,
        target: str,
        body: Any = None,
        *,
        token: str | None = CALLER,
        headers: dict[str, str] | None = None,
        too_large: bool = False,
    ) -> ExchangeId:
        """Send a request and return its exchange."""
        self.exchanges += 1
        exchange = ExchangeId(f"x{self.exchanges}")
        path, _, query = target.partition("?")
        raw = (
            body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        )
        fields = dict(headers or {})
        if token is not None:
            fields["authorization"] = f"Bearer {token}"
        arrived = HttpArrived(
            exchange=exchange,
            method=method,
            path=path,
            query=dict(pair.split("=", 1) for pair in query.split("&") if pair),
            headers=fields,
            body=raw,
            too_large=too_large,
        )
        self.gateway.handle(arrived)
        return exchange

    def close(self, exchange: ExchangeId) -> None:
        """Close a caller's connection."""
        self.gateway.gone(HttpGone(exchange))

    def advance(self, seconds: float) -> None:
        """Let time pass, with a tick at each deadline."""
        end = self.context.now + seconds
        while (due := self.gateway.next_deadline()) is not None and due <= end:
            self.context.now = max(self.context.now, due)
            self.gateway.tick()
        self.context.now = end

    def answer(self, exchange: ExchangeId) -> Answer:
        """Return what an exchange was answered so far."""
        self.effects.extend(self.context.take_outbox())
        return Answer(self.effects, exchange)

    def reply_run(self, run: Run) -> None:
        """Answer the last operation with a run."""
        self.router.last().done(Success(RunResult(run=run)))

    def fail(self, error: YokelineError) -> None:
        """Answer the last operation with an error."""
        self.router.last().done(Failure(error))


def run_of(operation: Operation, status: RunStatus = RunStatus.ACTIVE, **fields: Any) -> Run:
    """Return the run that an operation is about."""
    if isinstance(operation, StartRun):
        spec = operation.spec
    else:
        spec = RunSpec(tenant="dallim", program="reconcile")
    run = RunId(getattr(operation, "run", "run-" + "0" * 32))
    return Run(run=run, spec=spec, status=status, created_wall=1000.0, **fields)
