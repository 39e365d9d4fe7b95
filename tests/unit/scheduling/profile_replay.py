"""Replays turns at engines of different slowdowns and compares predictors of their duration.

Each turn goes to a random engine, so all predictors see the same turns. Each predictor has its own
set of nodes and its own leader.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable

import msgspec

from yokeline.fading import FadingAverage
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import (
    PACE_UNIT_SECONDS,
    PERCENT,
    EngineTurns,
    NodeTurns,
    TurnServed,
)
from yokeline.ledger.turns_under_way import TurnsUnderWay
from yokeline.scheduling.engine_model import (
    DEFAULT_PRIOR,
    OUTLIER_FACTOR,
    EngineLatencyModel,
    LinearFit,
    ServedTurn,
)
from yokeline.scheduling.engine_profiles import ReportedProfile, typical_pace

NODES = 72
ENGINES = 24
SLOWDOWNS = (0.7, 0.7, 1.7)
SPELL_SHARE = 0.15
SPELL_SLOWNESS = 2.5
SPELL_SECONDS = 0.6
EVENT_SECONDS = 0.041
TOKEN_SECONDS = 1.2e-5
EVENTS = 6
TURNS_PER_SECOND = 150.0


class Turn(msgspec.Struct, frozen=True):
    """A served turn."""

    node: int
    engine: str
    started_at: float
    ended_at: float
    first_event: float
    uncached_tokens: int
    concurrent_turns: int


class Fleet:
    """Engines, some of which are temporarily slowed down."""

    def __init__(self, seed: int, spell_share: float = SPELL_SHARE) -> None:
        self.random = random.Random(seed)
        self.spell_share = spell_share
        self.slowdowns = {f"e{number:02}": SLOWDOWNS[number % 3] for number in range(ENGINES)}
        self._spells: dict[tuple[str, int], bool] = {}

    def restart_engines(self, share: float) -> None:
        """Replace a fraction of the engines, the slowest first, by engines of random slowdown."""
        names = sorted(self.slowdowns, key=lambda name: -self.slowdowns[name])
        for name in names[: round(share * len(names))]:
            del self.slowdowns[name]
            self.slowdowns[f"{name}-again"] = self.random.choice(SLOWDOWNS)

    def slowness(self, engine: str, now: float) -> float:
        period = int(now / SPELL_SECONDS)
        key = (engine, period)
        if key not in self._spells:
            self._spells[key] = self.random.random() < self.spell_share
        return self.slowdowns[engine] * (SPELL_SLOWNESS if self._spells[key] else 1.0)

    def serve(self, node: int, engine: str, now: float, concurrent_turns: int) -> Turn:
        uncached_tokens = self.random.choice((200, 500, 1200))
        at = now + self.slowness(engine, now) * (EVENT_SECONDS + uncached_tokens * TOKEN_SECONDS)
        first = at
        for _ in range(EVENTS - 1):
            at += self.slowness(engine, at) * EVENT_SECONDS * (1 + 0.01 * concurrent_turns)
        return Turn(node, engine, now, at, first - now, uncached_tokens, concurrent_turns)


def served_turn(turn: Turn) -> ServedTurn:
    return ServedTurn(
        engine_id=turn.engine,
        uncached_tokens=turn.uncached_tokens,
        concurrent_turns=turn.concurrent_turns,
        first_event_seconds=turn.first_event,
        event_seconds=(turn.ended_at - turn.started_at - turn.first_event) / (EVENTS - 1),
        events=EVENTS,
    )


class Predictor:
    """Predicts turns on all nodes; its leader can be made unreachable."""

    def __init__(self) -> None:
        self.errors: list[tuple[float, float]] = []
        self.leader_is_unreachable = False

    def predict(
        self, node: int, engine: str, uncached_tokens: int, concurrent_turns: int, now: float
    ) -> float:
        raise NotImplementedError

    def observe(self, turn: Turn) -> None:
        raise NotImplementedError

    def mean_error(self, since: float = 0.0, until: float = float("inf")) -> float:
        """Return the mean relative error over the turns that started in an interval."""
        return statistics.fmean(error for at, error in self.errors if since <= at < until)


class OwnFactorPredictor(Predictor):
    """Uses each node's own slowdown factors and the slowness reported by the leader."""

    def __init__(self) -> None:
        super().__init__()
        self.prefill_fits = [LinearFit(DEFAULT_PRIOR.prefill) for _ in range(NODES)]
        self.interval_fits = [LinearFit(DEFAULT_PRIOR.event_interval) for _ in range(NODES)]
        self.factors: list[dict[str, float]] = [{} for _ in range(NODES)]
        self.slowness: dict[str, FadingAverage] = {}

    def predict(
        self, node: int, engine: str, uncached_tokens: int, concurrent_turns: int, now: float
    ) -> float:
        reported = 1.0
        if engine in self.slowness and not self.leader_is_unreachable:
            reported = self.slowness[engine].value(now)
        factor = max(self.factors[node].get(engine, 1.0), reported if reported > 1 else 0.0)
        decode_seconds = (EVENTS - 1) * self.interval_fits[node].predict(concurrent_turns)
        return factor * (self.prefill_fits[node].predict(uncached_tokens) + decode_seconds)

    def observe(self, turn: Turn) -> None:
        observed = served_turn(turn)
        assert observed.event_seconds is not None
        self.prefill_fits[turn.node].observe(turn.uncached_tokens, turn.first_event)
        ratio = observed.event_seconds / self.interval_fits[turn.node].predict(
            turn.concurrent_turns
        )
        ratio = min(max(ratio, 1 / OUTLIER_FACTOR), OUTLIER_FACTOR)
        self.interval_fits[turn.node].observe(turn.concurrent_turns, observed.event_seconds)
        factor = self.factors[turn.node].get(turn.engine, 1.0)
        self.factors[turn.node][turn.engine] = factor + 0.1 * (ratio - factor)
        average = self.slowness.setdefault(turn.engine, FadingAverage(1.0, 0.15, 4.0))
        average.observe(ratio, turn.ended_at)


class ReportedProfilePredictor(Predictor):
    """Uses the profiles reported by the leader, with or without temporary slowdowns."""

    def __init__(self, *, with_spell: bool) -> None:
        super().__init__()
        self.models = [EngineLatencyModel() for _ in range(NODES)]
        self.leader = TurnsUnderWay()
        self.with_spell = with_spell
        self.reported: list[dict[str, ReportedProfile]] = [{} for _ in range(NODES)]
        self._sequence = 0

    def receive_leader_report(self, node: int, now: float) -> None:
        """Deliver the leader's report to a node."""
        if self.leader_is_unreachable:
            return
        for item in self.leader.engines(now):
            if item.pace:
                self.reported[node][item.engine_id] = self._profile(item, now)
        usual = typical_pace(item.pace_seconds for item in self.reported[node].values())
        self.models[node].set_typical_pace(usual)

    def _profile(self, item: EngineTurns, now: float) -> ReportedProfile:
        return ReportedProfile(
            pace_seconds=item.pace * PACE_UNIT_SECONDS,
            samples=item.samples,
            spell=item.spell_percent / PERCENT if self.with_spell else 1.0,
            reported_at=now,
        )

    def predict(
        self, node: int, engine: str, uncached_tokens: int, concurrent_turns: int, now: float
    ) -> float:
        self.receive_leader_report(node, now)
        reported = self.reported[node].get(engine)
        model = self.models[node]
        return model.predict(
            engine,
            uncached_tokens=uncached_tokens,
            concurrent_turns=concurrent_turns,
            now=now,
            reported_profile=reported,
            hinted_events=EVENTS - 1,
        ).seconds

    def observe(self, turn: Turn) -> None:
        model, reported = self.models[turn.node], self.reported[turn.node].get(turn.engine)
        observed = model.observe(served_turn(turn), turn.ended_at, reported)
        self._sequence += 1
        pace = round(observed.pace_seconds / PACE_UNIT_SECONDS)
        report = NodeTurns(
            self._sequence, (), (TurnServed(turn.engine, False, observed.slowness, pace=pace),)
        )
        self.leader.take(ReplicaId(f"n{turn.node}"), report, turn.ended_at)


def replay(
    fleet: Fleet,
    predictors: dict[str, Predictor],
    seconds: float,
    *,
    begin: float = 0.0,
    before_turn: Callable[[float], None] = lambda now: None,
) -> None:
    """Serve turns for some seconds, each predicted by every predictor."""
    under_way: list[tuple[float, int, Turn]] = []
    running = dict.fromkeys(fleet.slowdowns, 0)
    now, number = begin, 0
    while now < begin + seconds:
        now += fleet.random.expovariate(TURNS_PER_SECOND)
        before_turn(now)
        while under_way and under_way[0][0] <= now:
            _, _, turn = heapq.heappop(under_way)
            running[turn.engine] -= 1
            for predictor in predictors.values():
                predictor.observe(turn)
        node, engine = fleet.random.randrange(NODES), fleet.random.choice(sorted(fleet.slowdowns))
        turn = fleet.serve(node, engine, now, running.get(engine, 0))
        running[engine] = running.get(engine, 0) + 1
        number += 1
        heapq.heappush(under_way, (turn.ended_at, number, turn))
        for predictor in predictors.values():
            predicted = predictor.predict(
                node, engine, turn.uncached_tokens, turn.concurrent_turns, now
            )
            actual = turn.ended_at - turn.started_at
            predictor.errors.append((now, abs(predicted - actual) / actual))
