"""Memory by what a node holds, as ``tracemalloc`` counts it (Python objects, not pages)."""

from __future__ import annotations

import functools
import gc
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from benchmarks.scale.hollow import HollowCluster
from benchmarks.scale.tables import print_slope
from yokeline.effects import Address
from yokeline.identifiers import NodeName, ReplicaId, RunId
from yokeline.labels.objects import AccessToken, ObjectKind, Policy, Program, StoredObject, Tenant
from yokeline.labels.view import ConfigurationView
from yokeline.membership.member_table import MemberTable
from yokeline.membership.view import Member, MemberState
from yokeline.runs.model import (
    CallFinished,
    CallKind,
    CallStarted,
    CallStatus,
    ChatMessage,
    CreateRun,
    FinishRun,
    Reservation,
    Role,
    RunSpec,
    RunStatus,
    Usage,
)
from yokeline.runs.state_machine import RunStateMachine

RUNS = 500
TURN_CHARACTERS = 400
MEMBERS = 400
OBJECTS_PER_TENANT = 10
MICROSECONDS = 1e6
WALL = 1_700_000_000.0


def memory() -> None:
    """Print bytes per run, replica, engine, object and member."""
    _runs()
    _replicas()
    _engines()
    _objects()
    _members()


def _runs() -> None:
    for turns in (0, 5, 20, 80):
        made: list[RunStateMachine] = []
        used = _bytes_of(functools.partial(_add_machine, made, turns))
        started = time.thread_time()
        data = made[0].snapshot()
        snapshot_seconds = time.thread_time() - started
        started = time.thread_time()
        RunStateMachine.restore(data)
        restore_seconds = time.thread_time() - started
        print(
            f"- run of {turns} model calls of {TURN_CHARACTERS} characters each: "
            f"{used / RUNS:.0f} bytes in memory, {len(data) / RUNS:.0f} bytes in a snapshot, "
            f"{snapshot_seconds / RUNS * MICROSECONDS:.0f} us to write, "
            f"{restore_seconds / RUNS * MICROSECONDS:.0f} us to read",
            flush=True,
        )


def _add_machine(made: list[RunStateMachine], turns: int) -> None:
    made.append(_machine(turns))


def _machine(turns: int) -> RunStateMachine:
    """Return a shard's state with some runs, each with its own texts."""
    machine = RunStateMachine()
    for number in range(RUNS):
        run = RunId(f"run-{number:032x}")
        spec = RunSpec(tenant=f"tenant-{number % 5}", program="agent", model="model-a")
        machine.apply(CreateRun(run=run, spec=spec, input=f"input {number}", wall=WALL))
        for call in range(1, turns + 1):
            _model_call(machine, run, call)
        machine.apply(FinishRun(run=run, status=RunStatus.SUCCEEDED, wall=WALL, answer="done"))
    return machine


def _model_call(machine: RunStateMachine, run: RunId, number: int) -> None:
    started = CallStarted(
        run=run,
        number=number,
        attempt=1,
        kind=CallKind.MODEL,
        backend="main/10.0.0.1:8000",
        repeatable=True,
        fence=1,
        reserved=Reservation(tokens=100),
        reason=f"least estimated finish 0.{number:02d} s of 3; 0 of 128 tokens cached",
        wall=WALL,
        leader=ReplicaId("node-1~0000000000000000"),
    )
    text = f"{run} {number} ".ljust(TURN_CHARACTERS, "x")
    finished = CallFinished(
        run=run,
        number=number,
        attempt=1,
        status=CallStatus.SUCCEEDED,
        usage=Usage(prompt_tokens=100, completion_tokens=100, calls=1),
        wall=WALL,
        message=ChatMessage(role=Role.ASSISTANT, content=text, tokens=100),
    )
    for command in (started, finished):
        result = machine.apply(command)
        if not result.accepted:
            raise RuntimeError(f"the command was not accepted: {result.error}")


def _replicas() -> None:
    points = []
    for shards in (16, 64, 192):
        held = _held_in(("shards", "consensus", "runs"), nodes=5, shards=shards, engines=2)
        points.append((float(shards), held / 5))
    print_slope("bytes per idle replica (5 nodes, each holds every shard)", points)


def _engines() -> None:
    points = []
    for engines in (2, 40, 120):
        held = _held_in(("scheduling", "backends", "server"), nodes=5, shards=8, engines=engines)
        points.append((float(engines), held / 5))
    print_slope("bytes per engine and node, idle", points)


def _held_in(packages: tuple[str, ...], *, nodes: int, shards: int, engines: int) -> float:
    """Return what the code of some packages has allocated in a settled cluster."""
    gc.collect()
    tracemalloc.start()
    cluster = HollowCluster(nodes=nodes, shards=shards, engines=engines)
    cluster.start()
    gc.collect()
    snapshot = tracemalloc.take_snapshot()
    tracemalloc.stop()
    wanted = [tracemalloc.Filter(True, f"*/yokeline/{package}/*") for package in packages]
    rows = snapshot.filter_traces(wanted).statistics("filename")
    return float(sum(row.size for row in rows))


def _objects() -> None:
    points = []
    times = []
    for tenants in (50, 500, 2500):
        objects = _configuration(tenants)
        views: list[ConfigurationView] = []
        used = _bytes_of(lambda: views.append(ConfigurationView().with_objects(objects)))  # noqa: B023
        text = sum(len(item.body) for item in objects)
        points.append((float(tenants), used + text))
        change = msgspec.structs.replace(objects[-1], revision=len(objects) + 1)
        started = time.thread_time()
        for _ in range(10):
            views[0].with_objects([change])
        times.append((float(tenants), (time.thread_time() - started) / 10 * MICROSECONDS))
    print_slope(f"bytes per tenant with {OBJECTS_PER_TENANT} objects", points)
    print_slope("us to apply one change, per tenant held", times)


def _configuration(tenants: int) -> list[StoredObject]:
    objects: list[StoredObject] = []

    def add(kind: ObjectKind, name: str, item: msgspec.Struct) -> None:
        body = msgspec.json.encode(item).decode()
        stored = StoredObject(kind=kind, name=name, revision=len(objects) + 1, body=body)
        objects.append(stored)

    for number in range(tenants):
        tenant = f"tenant-{number}"
        token = AccessToken(digest=f"{number:064x}")
        add(ObjectKind.TENANT, tenant, Tenant(name=tenant, tokens=(token,)))
        for item in range(OBJECTS_PER_TENANT - 2):
            name = f"program-{item}"
            program = Program(
                name=name,
                tenant=tenant,
                model="model-a",
                system_prompt="x" * TURN_CHARACTERS,
                labels={"kind": "agent"},
            )
            add(ObjectKind.PROGRAM, f"{tenant}/{name}", program)
        policy = Policy(name="main", tenant=tenant, program_selector="kind=agent", priority=1)
        add(ObjectKind.POLICY, f"{tenant}/main", policy)
    return objects


def _members() -> None:
    tables: list[MemberTable] = []

    def build() -> None:
        table = MemberTable()
        for number in range(MEMBERS):
            table.merge(_member(number), 0.0)
        tables.append(table)

    used = _bytes_of(build)
    print(f"- {used / MEMBERS:.0f} bytes per member", flush=True)


def _member(number: int) -> Member:
    name = NodeName(f"node-{number}")
    return Member(
        replica=ReplicaId(f"{name}~{number:016x}"),
        name=name,
        zone=f"zone-{number % 21}",
        region=f"region-{number % 10}",
        address=Address(f"10.0.{number // 200}.{number % 200}", 7900),
        http_address=Address(f"10.0.{number // 200}.{number % 200}", 7800),
        state=MemberState.ALIVE,
        incarnation=1,
        started_wall=WALL,
    )


def _bytes_of(build: Callable[[], None]) -> int:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used
