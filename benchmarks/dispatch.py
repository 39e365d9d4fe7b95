"""Measures what one event costs a forwarding node while requests wait for full engines.

Usage: ``python -m benchmarks.dispatch``

A node knows engines that other nodes have filled, and turns that wait for them. Each event ends
with a look at what waits. The table gives the median processor time (microseconds) of such a look,
of the look after one place has come free, which also chooses an engine, and of one that also weighs
all waits anew by a fresh view of the pool, which comes 20 times a second at most. The machine may
be shared: take ratios between rows and runs rather than single figures.

With 60 engines and 100 waiting, all full: 7,984 us while every request asked every engine, 213 us
since a look ends at the first request without room (both on 8 busy cores).
"""

from __future__ import annotations

import statistics
import sys
import time
from collections.abc import Callable

import msgspec

from yokeline.effects import Address, HttpArrived
from yokeline.forwarding.attempts import Attempts
from yokeline.forwarding.capacity_view import MAX_VIEW_AGE_SECONDS
from yokeline.forwarding.dispatcher import Dispatcher
from yokeline.forwarding.engine_choice import MODEL_OVERCOMMIT
from yokeline.forwarding.engine_sender import EngineSender
from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.model import (
    Call,
    Engine,
    ModelTraits,
    Pool,
    PoolWeight,
    PromptPart,
    Route,
    RouteKind,
    RoutingTable,
)
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.outcome_recorder import OutcomeRecorder
from yokeline.forwarding.responder import Responder
from yokeline.forwarding.settlements import Settlements
from yokeline.forwarding.tenants import ScopedNames
from yokeline.identifiers import ExchangeId
from yokeline.ledger.client import LedgerClient
from yokeline.platform.headers import HeaderDialect

ENGINES = (60, 600, 12_000)
"""Those of the largest deployment, ten times as many, and those of the long-run size."""
WAITING = (1, 100, 500)
SLOTS = 6
POOL = "models"
MICROSECONDS = 1e6
PATIENT_SECONDS = 1000.0
"""Target latency and time-out of the route, so that nothing is refused meanwhile."""
MOST_SECONDS = 2.0
"""Time for one row, once it has been measured three times."""
MOST_LOOKS = 50
LEAST_LOOKS = 3


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Median microseconds of one event: all engines full, one place free, waits weighed anew."""

    engines: int
    waiting: int
    full: float
    one_free: float
    weighed: float


class Node:
    """The part of a forwarding node that hands out waiting requests."""

    def __init__(self, engines: int, waiting: int) -> None:
        """Fill all engines, and let turns wait."""
        dialect = HeaderDialect()
        self.book = EngineTable("edge")
        self.state = NodeState("a", self.book, OutcomeRecorder(dialect))
        self.state.now = 1.0
        self.state.table = RoutingTable(version=1, routes=(_route(),), pools={POOL: _pool()})
        settlements = Settlements(self.state, LedgerClient(Address("127.0.0.1", 1)))
        ends = Responder(self.state, settlements, dialect)
        sends = EngineSender(self.state, settlements, dialect)
        self.dispatch = Dispatcher(self.state, sends, ends)
        for number in range(engines):
            self.book.put(_engine(number))
        for state in self.book.all():
            state.running_elsewhere = SLOTS * 2
        for number in range(waiting):
            self.dispatch.enqueue(_turn(number, self.state.now))

    def look(self) -> float:
        """Return the processor seconds of a look at what waits."""
        began = time.process_time_ns()
        self.dispatch.dispatch_all()
        return (time.process_time_ns() - began) / 1e9

    def look_with_fresh_view(self) -> float:
        """Return the same when the view of the pool is too old and is taken anew."""
        self.state.now += MAX_VIEW_AGE_SECONDS
        return self.look()

    def look_with_one_free(self) -> float:
        """Return the same after one place has come free; a new turn replaces the one sent."""
        state = next(iter(self.book.all()))
        state.running_elsewhere = int(SLOTS * MODEL_OVERCOMMIT) - 1
        seconds = self.look()
        sent = list(self.state.by_engine_request.values())
        assert len(sent) == 1, "one place serves one turn"
        self.state.by_engine_request.clear()
        state.running = 0
        state.running_elsewhere = SLOTS * 2
        self.state.outcomes.drain_effects()
        self.dispatch.enqueue(_turn(10_000, self.state.now))
        return seconds


def _route() -> Route:
    return Route(
        name="turns",
        host="a.example",
        path_prefix="/turn/",
        kind=RouteKind.STREAMING,
        pools=(PoolWeight(POOL, 1.0),),
        timeout=PATIENT_SECONDS,
        target_latency=PATIENT_SECONDS,
        priority=0,
    )


def _pool() -> Pool:
    traits = ModelTraits(slots=SLOTS, memory_tokens=236_649, tokens_per_event=28)
    return Pool(name=POOL, max_connections=100, model=traits)


def _engine(number: int) -> Engine:
    return Engine(
        engine_id=f"engine-{number:05}",
        pool=POOL,
        address=Address("10.0.0.1", number + 1),
        zone="a",
        slots=SLOTS,
    )


def _turn(number: int, now: float) -> Exchange:
    call = Call(
        request_id=f"r{number}",
        deadline=PATIENT_SECONDS,
        program=f"p{number}",
        session=f"s{number}",
        program_time_left=PATIENT_SECONDS,
        prompt_tokens=14_280,
        prompt_parts=(PromptPart("shared", 12_600), PromptPart(f"own{number}", 1_680)),
    )
    return Exchange(
        exchange_id=ExchangeId(f"x{number}"),
        incoming=HttpArrived(
            exchange=ExchangeId(f"x{number}"),
            method="POST",
            path="/turn/x",
            target="/turn/x",
            headers={"host": "a.example"},
            header_items=(("host", "a.example"),),
            body=b"",
        ),
        call=call,
        route=_route(),
        attempts=Attempts(max_engines=1),
        deadline=now + PATIENT_SECONDS,
        arrived_at=now,
        names=ScopedNames(
            operation=call.request_id,
            turn=call.request_id,
            program=call.program,
            session=call.session,
            previous_turn="",
        ),
        pool=POOL,
        spent_tokens=1,
    )


def measure(engines: int, waiting: int) -> Row:
    """Measure one row."""
    node = Node(engines, waiting)
    return Row(
        engines=engines,
        waiting=waiting,
        full=_median(node.look),
        one_free=_median(node.look_with_one_free),
        weighed=_median(node.look_with_fresh_view),
    )


def _median(look: Callable[[], float]) -> float:
    taken: list[float] = []
    began = time.monotonic()
    while len(taken) < MOST_LOOKS:
        if len(taken) >= LEAST_LOOKS and time.monotonic() - began > MOST_SECONDS:
            break
        taken.append(look())
    return statistics.median(taken) * MICROSECONDS


def main() -> int:
    """Print the table."""
    print("| engines | waiting | all full, us | one place free, us | waits weighed anew, us |")
    print("|---|---|---|---|---|")
    for engines in ENGINES:
        for waiting in WAITING:
            row = measure(engines, waiting)
            figures = (row.engines, row.waiting, row.full, row.one_free, row.weighed)
            print("| " + " | ".join(f"{figure:.0f}" for figure in figures) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
