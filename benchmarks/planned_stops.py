"""Counts what callers of an edge get around a planned stop: served, refused, failed, cut.

Usage: ``python -m benchmarks.planned_stops [SCENARIO ...]``

Three edges, three storage nodes, three model engines and three apps on loopback. Callers keep their
connections to one edge, come back to it after a refusal as well, and ask without a pause from one
second before its SIGTERM until its process is gone. ``PYTHONPATH`` chooses the measured code.
"""

from __future__ import annotations

import json
import signal
import sys
import threading
import time

import msgspec
from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import Deployment
from tests.processes.platform.planned_stops import (
    CALL_FIELDS,
    STREAM_FIELDS,
    KeptCallers,
    cut_calls,
    falsely_refused,
)
from tests.processes.platform.stand_ins import EngineStandIn

BEFORE_STOP_SECONDS = 1.0
ONE_ANSWER_IN = 17
PAUSE_BETWEEN_SIGNALS_SECONDS = 0.3
STREAM_PATHS = ("/turn/", "/kept/")
LONG_ROUTE_MS = 20_000


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """What engines and callers do.

    Attributes:
        callers: Callers by path.
        loses_one_in: Of so many runs, one loses its answer; 0 for none.
        leaves_half: Whether half of such an answer comes.
        call_seconds: Bounds of the work of a call.
        event_seconds: Time between two of the five events of a stream.
        signals: SIGTERM and SIGHUP in turn.
        freezes_ledger: Whether the storage nodes stand still from the stop on.
        slower: Factor by which the engines become slower some time after the stop request.
        slower_after_seconds: That time.
    """

    callers: dict[str, int]
    grace_seconds: float = 8.0
    timeout_ms: int = 6000
    loses_one_in: int = 0
    leaves_half: bool = False
    call_seconds: tuple[float, float] = (0.02, 0.3)
    event_seconds: float = 0.1
    signals: int = 1
    freezes_ledger: bool = False
    slower: float = 1.0
    slower_after_seconds: float = 2.3


CALLS = {"/fix/x": 24}
REPEATED = {"/look/x": 24}
STREAMS = {"/turn/x": 6, "/kept/x": 6}
LOST = ONE_ANSWER_IN
SCENARIOS = {
    "lost-6": Scenario(callers=CALLS, grace_seconds=6.0, loses_one_in=LOST),
    "lost-8": Scenario(callers=CALLS, loses_one_in=LOST),
    "lost-repeated-6": Scenario(callers=REPEATED, grace_seconds=6.0, loses_one_in=LOST),
    "half-6": Scenario(callers=CALLS, grace_seconds=6.0, loses_one_in=LOST, leaves_half=True),
    "signals-8": Scenario(callers=CALLS, loses_one_in=LOST, signals=8),
    "work-1.2-6": Scenario(callers=CALLS, grace_seconds=6.0, call_seconds=(0.05, 1.2)),
    "work-2.8-6": Scenario(
        callers=CALLS, grace_seconds=6.0, call_seconds=(0.05, 2.8), timeout_ms=LONG_ROUTE_MS
    ),
    "work-3.9-8": Scenario(callers=CALLS, call_seconds=(0.05, 3.9), timeout_ms=LONG_ROUTE_MS),
    "streams-0.5": Scenario(callers=STREAMS),
    "streams-1.5": Scenario(callers=STREAMS, event_seconds=0.3),
    "streams-4": Scenario(callers=STREAMS, event_seconds=0.75, timeout_ms=LONG_ROUTE_MS),
    "slower-streams-8": Scenario(
        callers=STREAMS, event_seconds=0.1, timeout_ms=LONG_ROUTE_MS, slower=20.0
    ),
    "slower-calls-8": Scenario(
        callers={"/fix/x": 24}, timeout_ms=LONG_ROUTE_MS, call_seconds=(0.02, 0.3), slower=40.0
    ),
    "streams-half": Scenario(callers=STREAMS, loses_one_in=LOST, leaves_half=True),
    "streams-lost": Scenario(callers=STREAMS, loses_one_in=LOST),
    "frozen-ledger": Scenario(callers={**CALLS, **STREAMS}, loses_one_in=LOST, freezes_ledger=True),
}


class Counts(msgspec.Struct, frozen=True, kw_only=True):
    """Calls that were sent after the stop request, by end, and all that were cut before their time.

    Attributes:
        callers_refused: Callers that were refused; one that goes elsewhere is refused once.
        refused_though_run: Refusals of calls that an engine ran.
        exit_seconds: Time from the stop request to the end of the process.
    """

    scenario: str
    calls: int
    served: int
    refused: int
    callers_refused: int
    failed: int
    cut: int
    refused_though_run: int
    exit_seconds: float


def play(name: str, scenario: Scenario) -> Counts:
    """Stop an edge beside its callers and count."""
    with Deployment(
        edges=3, models=3, apps=3, grace_seconds=scenario.grace_seconds, has_links=True
    ) as deployment:
        deployment.configure(2, timeout_ms=scenario.timeout_ms)
        for edge in deployment.edges:
            wait_until(
                lambda edge=edge: len(edge.lines("configuration_applied")) > 1,  # type: ignore[misc]
                "the configuration is in force",
            )
        engines = [*deployment.models, *deployment.apps]
        for engine in engines:
            engine.call_seconds = scenario.call_seconds
            engine.event_seconds = scenario.event_seconds
            engine.loses_one_in = scenario.loses_one_in
            engine.leaves_half = scenario.leaves_half
        callers = KeptCallers(deployment, 0, scenario.timeout_ms)
        for path, count in scenario.callers.items():
            is_stream = path.startswith(STREAM_PATHS)
            callers.start(path, count, STREAM_FIELDS if is_stream else CALL_FIELDS)
        time.sleep(BEFORE_STOP_SECONDS)
        stopped_at = time.monotonic()
        slower = threading.Timer(scenario.slower_after_seconds, _slow_down, (engines, scenario))
        slower.start()
        _stop(deployment, scenario)
        exit_seconds = time.monotonic() - stopped_at
        callers.wait()
        for process in deployment.storage if scenario.freezes_ledger else ():
            process.send(signal.SIGCONT)
        after = [call for call in callers.calls if call.sent_at >= stopped_at]
        return Counts(
            scenario=name,
            calls=len(after),
            served=sum(call.is_served for call in after),
            refused=sum(call.is_refused for call in after),
            callers_refused=len({call.caller for call in after if call.is_refused}),
            failed=sum(call.is_whole and call.status in (502, 504) for call in after),
            cut=len(cut_calls(callers.calls, engines, scenario.timeout_ms / 1000)),
            refused_though_run=len(falsely_refused(callers.calls, engines)),
            exit_seconds=round(exit_seconds, 2),
        )


def _slow_down(engines: list[EngineStandIn], scenario: Scenario) -> None:
    """Let engines take longer for what arrives from now on, and between their events."""
    low, high = scenario.call_seconds
    for engine in engines:
        engine.call_seconds = (low * scenario.slower, high * scenario.slower)
        engine.event_seconds = scenario.event_seconds * scenario.slower


def _stop(deployment: Deployment, scenario: Scenario) -> None:
    edge = deployment.edges[0]
    for number in range(scenario.signals):
        edge.send(signal.SIGHUP if number % 2 else signal.SIGTERM)
        if scenario.signals > 1:
            time.sleep(PAUSE_BETWEEN_SIGNALS_SECONDS)
    for process in deployment.storage if scenario.freezes_ledger else ():
        process.send(signal.SIGSTOP)
    edge.wait()


def main(names: list[str]) -> int:
    """Play the named scenarios, or all, and print a line for each."""
    for name in names or SCENARIOS:
        print(json.dumps(msgspec.structs.asdict(play(name, SCENARIOS[name]))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
