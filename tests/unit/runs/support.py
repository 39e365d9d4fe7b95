"""Fake host, engine directory and back ends for executor tests."""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Failure, Result, Success

from yokeline.effects import (
    Address,
    HttpCancel,
    HttpFailed,
    HttpRequest,
    HttpResponse,
    HttpStreamEnded,
    HttpStreamItem,
)
from yokeline.errors import YokelineError
from yokeline.identifiers import NodeName, ReplicaId, RequestId, RunId, ShardId
from yokeline.labels.objects import App, Lookup, Program, Tool
from yokeline.labels.resolution import ResolvedPolicy
from yokeline.runs.errors import leadership_lost, overloaded
from yokeline.runs.events import RunEvent
from yokeline.runs.executor import Executor
from yokeline.runs.model import Budget, Command, Run, RunSpec
from yokeline.runs.state_machine import ApplyResult, RunStateMachine
from yokeline.scheduling.interface import (
    CacheDecision,
    CallDemand,
    EngineChoice,
    PauseKind,
    PlannedCacheAction,
    ProgramPause,
)
from yokeline.scheduling.policies import make_policy
from yokeline.server.context import NodeContext
from yokeline.settings import NodeSection, Settings
from yokeline.shards.operations import (
    Operation,
    OperationResult,
    RunResult,
    StartRun,
    WatchRun,
)

SHARD = ShardId(0)
RUN = RunId("run-1")
TENANT = "dallim"
TOOL_ADDRESS = Address("10.0.1.1", 80)


class FakeHost:
    """One shard with its log; commits immediately unless ``pending_commits`` is a queue."""

    def __init__(self) -> None:
        self.log: list[Command] = []
        self.state = RunStateMachine()
        self.leading = True
        self.lease_valid = True
        self.current_term = 1
        self.pending_commits: deque[Callable[[], None]] | None = None
        self.listener: Executor | None = None

    def propose(
        self,
        shard: ShardId,
        command: Command,
        done: Callable[[Result[ApplyResult, YokelineError]], None],
    ) -> None:
        if not self.leading:
            done(Failure(leadership_lost()))
            return

        def commit() -> None:
            self.log.append(command)
            result = self.state.apply(command)
            if self.listener is not None:
                self.listener.command_applied(shard, command, result)
            done(Success(result))

        if self.pending_commits is None:
            commit()
        else:
            self.pending_commits.append(commit)

    def read(
        self, _shard: ShardId, done: Callable[[Result[RunStateMachine, YokelineError]], None]
    ) -> None:
        done(Success(self.state))

    def state_machine(self, _shard: ShardId) -> RunStateMachine:
        return self.state

    def leads(self, _shard: ShardId) -> bool:
        return self.leading

    def term(self, _shard: ShardId) -> int:
        return self.current_term

    def holds_lease(self, _shard: ShardId) -> bool:
        return self.leading and self.lease_valid


class FakeEngines:
    """A directory of named engines that chooses the first engine not avoided."""

    def __init__(self, *names: str) -> None:
        self.addresses = {name: Address(f"10.0.0.{n}", 80) for n, name in enumerate(names, start=1)}
        self.has_capacity = True
        self.in_flight: dict[str, str] = {}
        self.demands: list[CallDemand] = []
        self.policy = make_policy("affinity")
        self.clock: Callable[[], float] = lambda: 0.0
        self.pauses: list[ProgramPause] = []
        self.ended_pauses: list[tuple[PauseKind, str, float]] = []
        self.decision: CacheDecision | None = None
        self.held_engines: list[str] = []

    def choose(self, demand: CallDemand) -> Result[EngineChoice, YokelineError]:
        self.demands.append(demand)
        if not self.has_capacity:
            return Failure(overloaded("engines", 0.5))
        names = [name for name in self.addresses if name not in demand.avoid]
        name = (names or list(self.addresses))[0]
        return Success(EngineChoice(engine=name, address=self.addresses[name], reason="first"))

    def address_of(self, engine: str) -> Address | None:
        return self.addresses.get(engine)

    def call_sent(self, engine: str, _demand: CallDemand, call_id: str) -> None:
        self.in_flight[call_id] = engine

    def call_ended(
        self,
        call_id: str,
        *,
        prompt_tokens: int,
        cached_tokens: int,
        ok: bool,
        completion_tokens: int = 0,
    ) -> None:
        self.in_flight.pop(call_id, None)

    def text_received(self, call_id: str) -> None:
        assert call_id in self.in_flight

    def order(self, waiting: Sequence[CallDemand]) -> tuple[int, ...]:
        return self.policy.order(waiting, self.clock())

    def engine_priority(self, demand: CallDemand) -> int:
        return demand.priority

    def pause_started(self, pause: ProgramPause) -> PlannedCacheAction | None:
        self.pauses.append(pause)
        if self.decision is None:
            return None
        address = self.addresses[pause.engine]
        self.held_engines.append(pause.engine)
        return PlannedCacheAction(engine=pause.engine, address=address, decision=self.decision)

    def pause_ended(self, kind: PauseKind, name: str, seconds: float) -> None:
        self.ended_pauses.append((kind, name, seconds))

    def hold_ended(self, engine: str, _cache_key: RunId) -> Address | None:
        if engine not in self.held_engines:
            return None
        self.held_engines.remove(engine)
        return self.addresses[engine]

    def run_ended(self, _cache_key: RunId) -> tuple[str, ...]:
        return ()


class FakeConfiguration:
    """A configuration with one tool, one app and one child program."""

    def __init__(self) -> None:
        self.lookup = Lookup.NONE
        self.tool_repeatable = True

    def program(self, tenant: str, name: str) -> Program | None:
        if name != "helper":
            return None
        return Program(name=name, tenant=tenant, model="m")

    def tool(self, _tenant: str, name: str) -> Tool | None:
        if name != "roster":
            return None
        return Tool(
            name=name,
            addresses=(str(TOOL_ADDRESS),),
            repeatable=self.tool_repeatable,
            timeout_seconds=5.0,
            lookup=self.lookup,
        )

    def app(self, _tenant: str, name: str) -> App | None:
        if name != "results":
            return None
        return App(
            name=name, addresses=(str(TOOL_ADDRESS),), lookup=self.lookup, timeout_seconds=5.0
        )

    def resolve(self, _program: Program) -> ResolvedPolicy:
        return ResolvedPolicy()


def agent_spec(**changes: object) -> RunSpec:
    """Return the spec of an agent program."""
    spec = RunSpec(
        tenant=TENANT,
        program="agent",
        request_digest="d",
        model="m",
        tools=("roster",),
        children=("helper",),
    )
    return msgspec.structs.replace(spec, **changes)


def app_spec(**changes: object) -> RunSpec:
    """Return the spec of a non-repeatable request to an app."""
    spec = RunSpec(
        tenant=TENANT, program="post", request_digest="d", app="results", repeatable=False
    )
    return msgspec.structs.replace(spec, **changes)


def chunk(text: str, offset: int) -> HttpStreamItem:
    """Return a text event of an engine's stream; the bench sets the request id."""
    data = {"choices": [{"delta": {"content": text}, "finish_reason": None}]}
    return HttpStreamItem(
        request=RequestId(""), data=json.dumps(data).encode(), event_id=str(offset)
    )


def tool_calls(*requests: tuple[str, str, str]) -> HttpStreamItem:
    """Return a stream event with tool calls given as (identity, name, arguments)."""
    calls = [
        {"index": n, "id": identity, "function": {"name": name, "arguments": arguments}}
        for n, (identity, name, arguments) in enumerate(requests)
    ]
    data = {"choices": [{"delta": {"tool_calls": calls}, "finish_reason": "tool_calls"}]}
    return HttpStreamItem(request=RequestId(""), data=json.dumps(data).encode(), event_id="0")


def usage(prompt: int, completion: int, finish: str = "stop") -> HttpStreamItem:
    """Return a stream event with the finish reason and the usage."""
    data = {
        "choices": [{"delta": {}, "finish_reason": finish}],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": completion,
            "prompt_tokens_details": {"cached_tokens": 0},
        },
    }
    return HttpStreamItem(request=RequestId(""), data=json.dumps(data).encode())


DONE_ITEM = HttpStreamItem(request=RequestId(""), data=b"[DONE]")


class Bench:
    """An executor with a fake host, fake back ends and a manual clock."""

    def __init__(self, host: FakeHost | None = None, **settings: object) -> None:
        self.context = NodeContext(
            name=NodeName("n1"),
            replica=ReplicaId("n1~1"),
            zone="z",
            source=random.Random(7),
            wall_offset=1000.0,
        )
        self.settings = Settings(node=NodeSection(name="n1"), **settings)  # type: ignore[arg-type]
        self.host = host or FakeHost()
        self.engines = FakeEngines("pool/e1", "pool/e2")
        self.engines.clock = lambda: self.context.now
        self.configuration = FakeConfiguration()
        self.executor = Executor(
            self.context, self.settings, self.host, lambda: self.configuration, self.engines
        )
        self.host.listener = self.executor
        self.requests: list[HttpRequest] = []
        self.open_requests: dict[RequestId, HttpRequest] = {}
        self.results: dict[str, Result[OperationResult, YokelineError]] = {}
        self.events: list[RunEvent] = []

    # -------------------------------------------------------- time and effects

    def process_outbox(self) -> None:
        """Process the effects in the outbox."""
        for effect in self.context.take_outbox():
            if isinstance(effect, HttpRequest):
                self.requests.append(effect)
                self.open_requests[effect.request] = effect
            elif isinstance(effect, HttpCancel):
                self.open_requests.pop(effect.request, None)

    def advance(self, seconds: float, limit: int = 2000) -> None:
        """Advance the clock, with a tick at each deadline."""
        end = self.context.now + seconds
        for _ in range(limit):
            due = self.executor.next_deadline()
            if due is None or due > end:
                break
            self.context.now = max(self.context.now, due)
            self.executor.tick()
            self.process_outbox()
        self.context.now = end
        self.process_outbox()

    # -------------------------------------------------------- callers

    def serve(self, operation: Operation, name: str = "", deadline: float = 100.0) -> str:
        """Serve an operation and keep its result under ``name``."""
        result_key = name or type(operation).__name__
        ticket = self.executor.serve(
            operation,
            SHARD,
            deadline_seconds=deadline,
            done=lambda result: self.results.__setitem__(result_key, result),
            on_events=self.events.extend,
        )
        self.process_outbox()
        return ticket

    def start(self, spec: RunSpec, text: str = "hello", run: RunId = RUN) -> None:
        """Start a run and watch it."""
        self.serve(StartRun(run=run, spec=spec, input=text))
        self.serve(WatchRun(run=run, tenant=spec.tenant))

    def run(self, run: RunId = RUN) -> Run:
        """Return a run."""
        return self.host.state.runs[run]

    def result_run(self, name: str) -> Run:
        """Return the run in an operation's result."""
        found = self.results[name].unwrap()
        assert isinstance(found, RunResult)
        return found.run

    # -------------------------------------------------------- back ends

    def open_request(self, method: str, path_part: str) -> HttpRequest:
        """Return the only open request with this method and a path that contains the part."""
        found = [
            r for r in self.open_requests.values() if r.method == method and path_part in r.path
        ]
        assert len(found) == 1, [(r.method, r.path) for r in self.open_requests.values()]
        return found[0]

    def sent_requests(self, method: str, path_part: str) -> list[HttpRequest]:
        """Return all requests sent so far with this method and a path that contains the part."""
        return [r for r in self.requests if r.method == method and path_part in r.path]

    def answer(
        self, request: HttpRequest, status: int, body: object = None, **headers: str
    ) -> None:
        """Answer a request with a complete response."""
        self.open_requests.pop(request.request, None)
        data = b"" if body is None else json.dumps(body).encode()
        header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
        self.context.dispatch_http(
            HttpResponse(request=request.request, status=status, headers=header_fields, body=data)
        )
        self.process_outbox()

    def fail(self, request: HttpRequest, *, sent: bool) -> None:
        """Fail a request with a broken connection."""
        self.open_requests.pop(request.request, None)
        self.context.dispatch_http(
            HttpFailed(request=request.request, sent=sent, reason="connection reset")
        )
        self.process_outbox()

    def stream(self, request: HttpRequest, *items: HttpStreamItem) -> None:
        """Answer a request with the head and the first items of a stream."""
        self.context.dispatch_http(HttpResponse(request=request.request, status=200))
        self.stream_more(request, *items)

    def stream_more(self, request: HttpRequest, *items: HttpStreamItem) -> None:
        """Send more items of a stream."""
        for item in items:
            self.context.dispatch_http(msgspec.structs.replace(item, request=request.request))
            if item is DONE_ITEM:
                self.open_requests.pop(request.request, None)
                self.context.dispatch_http(HttpStreamEnded(request.request))
        self.process_outbox()

    def answer_model(self, text: str = "fine", prompt: int = 10, completion: int = 2) -> None:
        """Answer the open model call with a complete text."""
        request = self.open_request("POST", "/v1/chat")
        self.stream(request, chunk(text, len(text)), usage(prompt, completion), DONE_ITEM)

    def answer_with_tool_request(self, name: str = "roster", arguments: str = '{"club":1}') -> None:
        """Answer the open model call with a tool request."""
        request = self.open_request("POST", "/v1/chat")
        self.stream(request, tool_calls(("t1", name, arguments)), usage(10, 2), DONE_ITEM)


def small_budget(**changes: object) -> Budget:
    """Return a budget with some limits changed."""
    return msgspec.structs.replace(Budget(), **changes)


def fail_over(bench: Bench) -> Bench:
    """Move leadership to a new bench with the same log, and return that bench."""
    old = bench.host
    old.leading = False
    bench.executor.leadership_lost(SHARD)
    bench.process_outbox()
    host = FakeHost()
    host.state = RunStateMachine.restore(old.state.snapshot())
    host.log = list(old.log)
    host.current_term = old.current_term + 1
    successor = Bench(host)
    successor.configuration = bench.configuration
    successor.context.now = bench.context.now
    successor.executor.leadership_gained(SHARD, host.current_term)
    successor.process_outbox()
    return successor
