"""Compares ways to keep a node's connections to few engines, on the same arrivals.

Usage: ``python -m benchmarks.engine_choice [SEED]``

Nodes in four zones choose among engines of three speeds, of which all know the lasting pace and the
load. Programs of some turns come at random to a node each; a later turn finds its prompt cached
where the one before was read. A connection is kept for :data:`KEEP_SECONDS` after its last use.

One row for each way: ``rank`` lets each node order engines that cost the same by a hash of its own
and counts no connections, ``subset`` counts what a new one costs, in a node's subset and outside.
Columns: turns, connections opened, share of turns that crossed zones, load of the busiest engine
against the mean of its speed, mean share of time in which engines of each speed had a turn, and
turn times (seconds, mean and 95 of 100).
"""

from __future__ import annotations

import heapq
import random
import statistics
import sys
from collections import defaultdict, deque

import msgspec

from yokeline.effects import Address
from yokeline.forwarding.engine_choice import ChoiceInputs, EngineChoice, choose_engine
from yokeline.forwarding.engines import EngineState, EngineTable
from yokeline.forwarding.model import Call, Engine, ModelTraits
from yokeline.forwarding.prefix_cache import PrefixCacheIndex
from yokeline.ledger.operations import CachedContext
from yokeline.scheduling.engine_model import EngineLatencyModel, ServedTurn
from yokeline.scheduling.engine_profiles import ReportedProfile
from yokeline.scheduling.engine_subsets import ZoneMember

ZONES = ("a", "b", "c", "d")
SPEEDS = (0.7, 0.7, 1.7)
SLOTS = 6
POOL = "models"
EVENT_SECONDS = 0.041
TOKEN_SECONDS = 1.2e-5
EVENTS = 6
PROMPT_TOKENS = 1000
NEW_TOKENS = 150
TURNS_OF_PROGRAM = (3, 7)
PAUSE_SECONDS = 0.2
KEEP_SECONDS = 1.5
PLAY_SECONDS = 20.0
LONGEST_TURNS = 6000
"""Turns of one row at about most; a choice among many engines takes milliseconds."""
SAMPLES = 15
FLEETS = ((72, 24, 6.0), (72, 24, 16.0), (400, 24, 16.0), (72, 600, 2.0))
"""Nodes, engines, and turns a second for each engine."""
TRAITS = ModelTraits(slots=SLOTS, memory_tokens=100_000, tokens_per_event=13)


class Row(msgspec.Struct, kw_only=True):
    """What one way gave."""

    turns: int = 0
    opened: int = 0
    crossed: int = 0
    seconds: list[float] = msgspec.field(default_factory=list)
    busy: dict[str, float] = msgspec.field(default_factory=lambda: defaultdict(float))


class Program(msgspec.Struct):
    """A line of turns at one node."""

    node: int
    left: int
    context: CachedContext | None = None


class Node:
    """A node's picture of the engines, and its idle connections."""

    def __init__(
        self, own: ZoneMember, nodes: list[ZoneMember], fleet: Fleet, *, subset: bool
    ) -> None:
        """Know all engines; only with ``subset`` some of them are preferred."""
        self.zone = own.zone
        self.subset = subset
        self.book = EngineTable(own.name)
        self.model = EngineLatencyModel()
        self.model.set_typical_pace(EVENT_SECONDS)
        self.beliefs = PrefixCacheIndex()
        self.idle: dict[str, deque[float]] = defaultdict(deque)
        for engine in fleet.engines:
            self.book.put(engine)
        if subset:
            self.book.set_nodes(own.zone, nodes)
        for state in self.book.all():
            pace = fleet.speed(state.engine.engine_id) * EVENT_SECONDS
            state.reported_profile = ReportedProfile(
                pace_seconds=pace, samples=SAMPLES, spell=1.0, reported_at=PLAY_SECONDS
            )

    def opens(self, engine_id: str, now: float) -> bool:
        """Take an idle connection; return whether there is none, so that one is opened."""
        idle = self.idle[engine_id]
        while idle and now - idle[0] > KEEP_SECONDS:
            idle.popleft()
        if idle:
            idle.pop()
            return False
        return True


class Fleet:
    """The engines, and the turns that each has."""

    def __init__(self, engines: int) -> None:
        """Spread engines over zones and speeds."""
        self.engines = [
            Engine(
                engine_id=f"engine-{number:05}",
                pool=POOL,
                address=Address("10.0.0.1", number + 1),
                zone=ZONES[number % len(ZONES)],
                slots=SLOTS,
            )
            for number in range(engines)
        ]
        self._speeds = {
            engine.engine_id: SPEEDS[number // len(ZONES) % len(SPEEDS)]
            for number, engine in enumerate(self.engines)
        }
        self.running = dict.fromkeys(self._speeds, 0)

    def speed(self, engine_id: str) -> float:
        """Return how slow an engine is."""
        return self._speeds[engine_id]


class Play:
    """One way, played on the arrivals of one seed."""

    def __init__(self, nodes: int, engines: int, rate: float, seed: int, *, subset: bool) -> None:
        """Prepare nodes and engines."""
        self.random = random.Random(seed)
        self.fleet = Fleet(engines)
        members = [
            ZoneMember(f"edge-{number}", ZONES[number % len(ZONES)]) for number in range(nodes)
        ]
        self.nodes = [Node(own, members, self.fleet, subset=subset) for own in members]
        self.row = Row()
        self.rate = rate * engines / statistics.fmean(TURNS_OF_PROGRAM)
        self.seconds = min(PLAY_SECONDS, LONGEST_TURNS / (rate * engines))
        self._events: list[tuple[float, int, Program, EngineChoice | None]] = []
        self._number = 0

    def run(self) -> Row:
        """Play, and return what came of it."""
        now = 0.0
        while now < self.seconds:
            now += self.random.expovariate(self.rate)
            node = self.random.randrange(len(self.nodes))
            self._push(now, Program(node, self.random.randint(*TURNS_OF_PROGRAM)), None)
        while self._events:
            now, _, program, choice = heapq.heappop(self._events)
            if choice is None:
                self._begin(program, now)
            else:
                self._end(program, choice, now)
        return self.row

    def _push(self, at: float, program: Program, choice: EngineChoice | None) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, program, choice))

    def _begin(self, program: Program, now: float) -> None:
        node = self.nodes[program.node]
        for state in node.book.all():
            state.running_elsewhere = self.fleet.running[state.engine.engine_id] - state.running
            if not node.subset:
                state.idle_connections, state.idle_since = 1, now
        call = Call(request_id="r", deadline=now + 9.0, prompt_tokens=PROMPT_TOKENS)
        inputs = ChoiceInputs(
            call=call,
            traits=TRAITS,
            zone=node.zone,
            cached_context=program.context,
            model=node.model,
        )
        choice = choose_engine(node.book.in_pool(POOL, now), node.beliefs, inputs, now)
        if choice is None:
            self._push(now + 0.02, program, None)
            return
        self._send(program, node, choice, now)

    def _send(self, program: Program, node: Node, choice: EngineChoice, now: float) -> None:
        engine = choice.state.engine
        self.row.turns += 1
        self.row.opened += node.opens(engine.engine_id, now)
        self.row.crossed += engine.zone != node.zone
        node.book.record_sent(choice.state)
        self.fleet.running[engine.engine_id] += 1
        seconds = self._turn_seconds(choice)
        self.row.seconds.append(seconds)
        self.row.busy[engine.engine_id] += seconds
        self._push(now + seconds, program, choice)

    def _turn_seconds(self, choice: EngineChoice) -> float:
        unread = PROMPT_TOKENS - choice.cached_tokens
        alone = EVENTS * EVENT_SECONDS + unread * TOKEN_SECONDS
        return self.fleet.speed(choice.state.engine.engine_id) * alone

    def _end(self, program: Program, choice: EngineChoice, now: float) -> None:
        node, engine_id = self.nodes[program.node], choice.state.engine.engine_id
        node.book.record_released(choice.state, now)
        self.fleet.running[engine_id] -= 1
        node.idle[engine_id].append(now)
        node.model.observe(self._served(choice), now, choice.state.reported_profile)
        program.left -= 1
        program.context = CachedContext(engine_id=engine_id, tokens=PROMPT_TOKENS - NEW_TOKENS)
        if program.left:
            self._push(now + PAUSE_SECONDS, program, None)

    def _served(self, choice: EngineChoice) -> ServedTurn:
        state: EngineState = choice.state
        speed = self.fleet.speed(state.engine.engine_id)
        unread = PROMPT_TOKENS - choice.cached_tokens
        return ServedTurn(
            engine_id=state.engine.engine_id,
            uncached_tokens=unread,
            concurrent_turns=choice.load,
            first_event_seconds=speed * (EVENT_SECONDS + unread * TOKEN_SECONDS),
            event_seconds=speed * EVENT_SECONDS,
            events=EVENTS,
        )


def _line(name: str, nodes: int, play: Play) -> str:
    row = play.run()
    by_speed: dict[float, list[float]] = defaultdict(list)
    for engine in play.fleet.engines:
        engine_id = engine.engine_id
        by_speed[play.fleet.speed(engine_id)].append(row.busy[engine_id] / play.seconds)
    uneven = max(max(loads) / statistics.fmean(loads) for loads in by_speed.values() if any(loads))
    loads = ", ".join(
        f"{speed}: {statistics.fmean(loads):.2f}" for speed, loads in sorted(by_speed.items())
    )
    times = statistics.quantiles(row.seconds, n=20)
    cells = [
        str(nodes),
        str(len(play.fleet.engines)),
        name,
        str(row.turns),
        str(row.opened),
        f"{row.crossed / row.turns:.3f}",
        f"{uneven:.2f}",
        loads,
        f"{statistics.fmean(row.seconds):.3f}, {times[-1]:.3f}",
    ]
    return f"| {' | '.join(cells)} |"


def main() -> int:
    """Print the table."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(
        "| nodes | engines | way | turns | opened | crossed | busiest | turns by speed | seconds |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for nodes, engines, rate in FLEETS:
        for name, subset in (("rank", False), ("subset", True)):
            play = Play(nodes, engines, rate, seed, subset=subset)
            print(_line(name, nodes, play), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
