"""Measures what profiles and subsets of engines cost: bytes, memory and processor time.

Usage: ``python -m benchmarks.engine_profiles``

Processor times are medians of one run; the machine may be shared, so take ratios.
"""

from __future__ import annotations

import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from yokeline.effects import Address
from yokeline.forwarding.engine_choice import ChoiceInputs, choose_engine
from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.model import Call, Engine, ModelTraits
from yokeline.forwarding.prefix_cache import PrefixCacheIndex
from yokeline.ledger.messages import EngineTurns, TurnServed
from yokeline.scheduling.engine_model import EngineLatencyModel
from yokeline.scheduling.engine_profiles import MAX_SAMPLES, EngineProfile, ReportedProfile
from yokeline.scheduling.engine_subsets import ZoneMember, preferred_engines

ENGINE_ID = "engine-12345"
PACE = 0.04
POOL = "models"
NOW = 1.0
PROFILES = 1000
TURNS = 10_000
CHOICE_SIZES = (24, 600, 12_000)
CHOICES = 20
FLEETS = (
    (72, 24, 4),
    (400, 24, 4),
    (72, 600, 4),
    (400, 600, 4),
    (72, 12_000, 21),
    (400, 12_000, 21),
)
"""Nodes, engines, zones."""
NODES_MEASURED = 20
MICROSECONDS = 1e6
MILLISECONDS = 1e3


def _seconds(work: Callable[[], object]) -> float:
    began = time.process_time_ns()
    work()
    return (time.process_time_ns() - began) / 1e9


def _profile() -> EngineProfile:
    profile = EngineProfile()
    for number in range(2 * MAX_SAMPLES):
        profile.note_pace(PACE + 1e-4 * number, float(number))
    return profile


def print_bytes() -> None:
    """Print the encoded size of messages about one engine, and the memory of a profile."""
    told = EngineTurns(ENGINE_ID, 3, 0, 100, pace=4100, samples=15)
    served = TurnServed(ENGINE_ID, False, 1.025, pace=4100)
    print(f"engine told: {len(msgspec.msgpack.encode(told))} B")
    print(f"turn served: {len(msgspec.msgpack.encode(served))} B")
    tracemalloc.start()
    profiles = [_profile() for _ in range(PROFILES)]
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"profile: {used / len(profiles):.0f} B")


def print_profile_times() -> None:
    """Print the time to take a turn into a profile, and to read it."""
    profile = _profile()

    def note() -> None:
        for number in range(TURNS):
            profile.note_pace(PACE + 1e-4 * (number % 7), 100 + 0.1 * number)

    def read() -> None:
        for _ in range(TURNS):
            profile.pace(2000.0)
            profile.spell(2000.0)

    print(f"turn noted: {_seconds(note) / TURNS * MICROSECONDS:.1f} us")
    print(f"profile read: {_seconds(read) / TURNS * MICROSECONDS:.1f} us")


def _book(engines: int, *, told: bool) -> EngineTable:
    book = EngineTable("edge-1")
    for number in range(engines):
        address = Address("10.0.0.1", number + 1)
        book.put(Engine(engine_id=f"e{number:05}", pool=POOL, address=address, zone="a", slots=6))
    for state in book.all() if told else ():
        state.reported_profile = ReportedProfile(
            pace_seconds=PACE, samples=15, spell=1.0, reported_at=NOW
        )
    return book


def _choice_microseconds(engines: int, *, told: bool) -> float:
    """Return the time of a choice for one engine."""
    book, model, beliefs = _book(engines, told=told), EngineLatencyModel(), PrefixCacheIndex()
    model.set_typical_pace(PACE if told else 0.0)
    inputs = ChoiceInputs(
        call=Call(request_id="r", deadline=NOW, prompt_tokens=1000),
        traits=ModelTraits(slots=6, memory_tokens=1000, tokens_per_event=13),
        zone="a",
        model=model,
    )
    choices = [
        _seconds(lambda: choose_engine(book.in_pool(POOL, NOW), beliefs, inputs, NOW))
        for _ in range(CHOICES)
    ]
    return statistics.median(choices) / engines * MICROSECONDS


def print_choice_times() -> None:
    """Print the time that a choice takes for each engine that it looks at."""
    print("\n| engines | nothing told, us an engine | with told profiles |\n|---|---|---|")
    for engines in CHOICE_SIZES:
        untold = _choice_microseconds(engines, told=False)
        told = _choice_microseconds(engines, told=True)
        print(f"| {engines} | {untold:.1f} | {told:.1f} |", flush=True)


def print_subset_times() -> None:
    """Print the time to work a subset out anew, and its size."""
    print("\n| nodes, engines, zones | ms | least, mean, most engines |\n|---|---|---|")
    for node_count, engine_count, zones in FLEETS:
        nodes = [ZoneMember(f"edge-{number}", f"z{number % zones}") for number in range(node_count)]
        engines = [
            ZoneMember(f"e-{number}", f"z{number % zones}") for number in range(engine_count)
        ]
        times, sizes = [], []
        for node in nodes[:NODES_MEASURED]:
            began = time.process_time_ns()
            sizes.append(len(preferred_engines(node, nodes, engines)))
            times.append((time.process_time_ns() - began) / 1e9)
        spread = f"{min(sizes)}, {statistics.fmean(sizes):.1f}, {max(sizes)}"
        milliseconds = statistics.median(times) * MILLISECONDS
        print(f"| {node_count}, {engine_count}, {zones} | {milliseconds:.2f} | {spread} |")


def main() -> int:
    """Print all of them."""
    print_bytes()
    print_profile_times()
    print_choice_times()
    print_subset_times()
    return 0


if __name__ == "__main__":
    sys.exit(main())
