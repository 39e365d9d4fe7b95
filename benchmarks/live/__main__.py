"""Measures what one node carries, and what it adds to a call, under a fixed load.

Usage: ``python -m benchmarks.live [--nodes 1|3] [--rate R] [--steps-per-event N] ...``

Starts a deployment of its own on loopback (a process for each node and each emulated engine)
and loads it in two phases, both bounded: first every call goes to the engines themselves,
which shows what they and this tool can carry; then every call goes through yokeline, and one
in a few more goes to an engine directly, at the same time. Both kinds meet the same batches of the
engines, so that the difference is what yokeline adds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from pathlib import Path

import msgspec
from tests.processes.cluster import HOST

from benchmarks.live.calls import CallRecord, PlannedCall, http_request, send_all
from benchmarks.live.deployment import (
    MODEL,
    PROGRAM,
    TENANT_TOKEN,
    LiveDeployment,
)
from benchmarks.live.processes import cpu_of_all
from benchmarks.live.report import Phase, print_report
from yokeline.commands.client import path_of

ANSWER_SECONDS = 60.0
MAX_SECONDS = 60.0
MAX_CALLS = 6000
"""Bounds of one run, whatever is asked for."""
SEED = 20
PROMPT_WORDS = 40


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What is sent.

    Attributes:
        rate: Requests a second, over all nodes.
        seconds: Length of the arrivals of the phase through yokeline.
        direct_seconds: The same of the phase without yokeline.
        ramp: Seconds at the start of a phase that do not count: the first answers still run.
        tokens: Tokens of each answer.
        direct_every: One direct call for so many calls through yokeline.
    """

    rate: float
    seconds: float
    direct_seconds: float
    ramp: float
    tokens: int
    direct_every: int


def main(arguments: list[str]) -> int:
    """Run the measurement and print it."""
    options = _parse(arguments)
    plan = LoadPlan(
        rate=options.rate,
        seconds=options.seconds,
        direct_seconds=options.direct_seconds,
        ramp=options.ramp,
        tokens=options.tokens,
        direct_every=options.direct_every,
    )
    deployment = LiveDeployment(
        nodes=options.nodes,
        engines=options.engines,
        steps_per_event=options.steps_per_event,
        profile=options.profile,
    )
    try:
        deployment.start()
        deployment.load(deployment.objects())
        phases = _measure(deployment, plan)
        if options.profile is not None:
            deployment.nodes[0].terminate()
            deployment.nodes[0].wait()
    finally:
        deployment.stop()
    print(f"python -m benchmarks.live {' '.join(arguments)}")
    return print_report(phases, options.steps_per_event)


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="benchmarks.live", description=__doc__)
    parser.add_argument("--nodes", type=int, choices=(1, 3), default=1)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--rate", type=float, default=23.0)
    parser.add_argument("--seconds", type=float, default=28.0)
    parser.add_argument("--direct-seconds", type=float, default=16.0)
    parser.add_argument("--ramp", type=float, default=8.0)
    parser.add_argument("--tokens", type=int, default=500)
    parser.add_argument("--direct-every", type=int, default=5)
    parser.add_argument("--steps-per-event", type=int, default=4)
    parser.add_argument("--profile", type=Path, default=None)
    options = parser.parse_args(arguments)
    calls = options.rate * (options.seconds + options.direct_seconds) * 2
    if max(options.seconds, options.direct_seconds) > MAX_SECONDS or calls > MAX_CALLS:
        parser.error(f"at most {MAX_SECONDS:g} seconds a phase and {MAX_CALLS} calls")
    return options


def _measure(deployment: LiveDeployment, plan: LoadPlan) -> list[Phase]:
    source = random.Random(SEED)
    phases = []
    for direct_only in (True, False):
        seconds = plan.direct_seconds if direct_only else plan.seconds
        if seconds <= 0:
            continue
        calls = _planned(deployment, plan, source, seconds, direct_only)
        phase = asyncio.run(_run_phase(deployment, plan, calls, seconds, direct_only))
        phases.append(phase)
    return phases


async def _run_phase(
    deployment: LiveDeployment,
    plan: LoadPlan,
    calls: list[PlannedCall],
    seconds: float,
    direct_only: bool,
) -> Phase:
    """Send the calls; CPU time is read at both ends of the window that counts."""
    start = time.monotonic()
    reading = asyncio.create_task(_read_cpu(deployment, start + plan.ramp, start + seconds))
    records: list[CallRecord] = await send_all(calls, start, ANSWER_SECONDS)
    cpu, window = await reading
    return Phase(
        direct_only=direct_only,
        records=records,
        tokens=plan.tokens,
        window=window,
        cpu=cpu,
    )


async def _read_cpu(
    deployment: LiveDeployment, begin: float, end: float
) -> tuple[dict[str, float], tuple[float, float]]:
    """Return the CPU share of each process in the window, and the window."""
    pids = deployment.pids()
    await asyncio.sleep(max(0.0, begin - time.monotonic()))
    before, begun = cpu_of_all(pids.values()), time.monotonic()
    await asyncio.sleep(max(0.0, end - time.monotonic()))
    after, ended = cpu_of_all(pids.values()), time.monotonic()
    shares = {name: (after[pid] - before[pid]) / (ended - begun) for name, pid in pids.items()}
    return shares, (begun, ended)


def _planned(
    deployment: LiveDeployment,
    plan: LoadPlan,
    source: random.Random,
    seconds: float,
    direct_only: bool,
) -> list[PlannedCall]:
    """Return the calls of a phase: one in each slot of 1 / rate, at a random time of it."""
    calls = []
    kind = "direct" if direct_only else "through"
    engines = [engine.port for engine in deployment.engines]
    nodes = [int(node.url.rpartition(":")[2]) for node in deployment.nodes]
    for number in range(int(seconds * plan.rate)):
        name = f"{kind}-{number}"
        due = (number + source.random()) / plan.rate
        if direct_only:
            calls.append(_direct_call(engines[number % len(engines)], due, name, plan))
            continue
        calls.append(_call_through(nodes[number % len(nodes)], due, name, plan))
        if number % plan.direct_every == 0:
            due = (number + source.random()) / plan.rate
            engine = engines[number // plan.direct_every % len(engines)]
            calls.append(_direct_call(engine, due, f"probe-{number}", plan))
    return sorted(calls, key=lambda call: call.due)


def _direct_call(port: int, due: float, name: str, plan: LoadPlan) -> PlannedCall:
    """Return a call of an engine as yokeline itself makes it."""
    document = {
        "model": MODEL,
        "messages": [{"role": "user", "content": _input(name, plan.tokens)}],
        "max_tokens": 1024,
        "stream": True,
        "call_id": name,
        "cache_key": name,
        "cache_salt": "benchmark",
        "fence": 1,
    }
    request = http_request(HOST, port, "/v1/chat/completions", "", document)
    return PlannedCall(due=due, direct=True, host=HOST, port=port, request=request)


def _call_through(port: int, due: float, name: str, plan: LoadPlan) -> PlannedCall:
    """Return a call of a program as a caller makes it."""
    path = path_of("v1", "programs", PROGRAM, "runs")
    document = {"input": _input(name, plan.tokens)}
    request = http_request(HOST, port, path, TENANT_TOKEN, document)
    return PlannedCall(due=due, direct=False, host=HOST, port=port, request=request)


def _input(name: str, tokens: int) -> str:
    text = f"{name} " + " ".join(["word"] * PROMPT_WORDS)
    return json.dumps({"answer_tokens": tokens, "text": text})


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
