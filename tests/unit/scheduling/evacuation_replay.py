"""Replays programs while one of three zones is evacuated, to compare when sessions move.

Engines and programs have the figures of a site with 24 engines. A turn's engine prefills what it
has not cached, one prompt after the other, and then decodes; a choice takes the engine with the
least estimated time among the eligible ones.
"""

from __future__ import annotations

import enum
import heapq
import itertools
import random

import msgspec

from yokeline.scheduling.eligibility import EngineQuery, Ineligibility
from yokeline.scheduling.zone_evacuation import ZoneEvacuations

BOUND_SECONDS = 5.0
ZONES = ("a", "b", "c")
ENGINES_PER_ZONE = 8
SLOTS = 6
OVERCOMMIT = 1.4
PREFILL_TOKENS_PER_SECOND = 99_000.0
DECODE_SLOWDOWN = 0.06
"""Share by which each concurrent turn slows decoding."""
PROGRAMS_PER_SECOND = 28.9
SHORT_SHARE = 0.56
SHORT_TURNS, LONG_TURNS = 4, 11
SHORT_TARGET, LONG_TARGET = 1.2, 1.4
SHORT_ALLOWANCE_SECONDS = 0.2
ORDER_AT = 6.0
END_AT = 14.0
OBSERVED_SECONDS = 4.0
"""Programs are counted if they began so long before the order, or in this time after it."""
NODES = 72
WATCHER_DELAY_SECONDS = 0.15
MAX_LEARNING_SECONDS = 1.5


class Move(enum.Enum):
    """When sessions with cached context leave an evacuated zone."""

    NEVER = "no order"
    AT_ONCE = "at once"
    BY_CONTEXT = "least context first"
    AT_WINDOW_END = "all at the end of the window"


class SpreadByContext(ZoneEvacuations):
    """Moves sessions over the window, those with the least cached context first."""

    LARGEST_CONTEXT = 12_000

    def check(self, query: EngineQuery, now: float) -> Ineligibility | None:
        cause = super().check(query, now)
        order = self._orders.get(query.zone)
        if cause is not None or order is None:
            return cause
        window = order.sessions_until - order.seen_at
        share = min(1.0, query.cached_tokens / self.LARGEST_CONTEXT)
        return None if now < order.seen_at + share * window else Ineligibility.ZONE_EVACUATED


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """What a replay measured.

    Attributes:
        programs: Programs that were observed.
        late: Those that ended after their target.
        seconds: Their total time from the first send to the end.
        rebuilt_tokens: Prompt tokens prefilled at an engine though another engine had them.
        sends_after: Seconds after the order of each send to the zone, sorted.
    """

    programs: int
    late: int
    seconds: float
    rebuilt_tokens: int
    sends_after: list[float]

    @property
    def last_send(self) -> float:
        """Latest send to the zone, in seconds after the order; 0 without one."""
        return self.sends_after[-1] if self.sends_after else 0.0


class _Engine:
    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.load = 0
        self.prefill_until = 0.0


class _Program:
    def __init__(self, source: random.Random, began: float) -> None:
        is_short = source.random() < SHORT_SHARE
        self.turns = SHORT_TURNS if is_short else LONG_TURNS
        self.began = began
        self.node = source.randrange(NODES)
        self.context = source.randint(800, 3_000)
        self.growth = source.randint(300, 1_000)
        self.decode = [source.uniform(0.2, 0.45) for _ in range(self.turns)]
        self.pauses = [source.uniform(0.05, 0.4) for _ in range(self.turns)]
        self.done = 0
        self.engine: _Engine | None = None
        self.cached = 0
        idle = sum(self.decode) + sum(self.pauses[:-1])
        prefilled = self.context + self.growth * (self.turns - 1)
        idle += prefilled / PREFILL_TOKENS_PER_SECOND
        self.due = began + (
            SHORT_TARGET * idle + SHORT_ALLOWANCE_SECONDS if is_short else LONG_TARGET * idle
        )


class Replay:
    """One replay of a seed with one way to move sessions."""

    def __init__(self, move: Move, seed: int, load: float = 1.0) -> None:
        """Prepare; ``load`` multiplies the rate of programs."""
        self._move = move
        self._source = random.Random(seed)
        self._load = load
        self._engines = [
            _Engine(f"{zone}{number}", zone) for zone in ZONES for number in range(ENGINES_PER_ZONE)
        ]
        kind = SpreadByContext if move is Move.BY_CONTEXT else ZoneEvacuations
        self._zones = [kind(BOUND_SECONDS) for _ in range(NODES)]
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, str, object]] = []
        self._waiting: list[tuple[float, int, _Program]] = []
        self._programs: list[_Program] = []
        self._ended: dict[int, float] = {}
        self._rebuilt = 0
        self._sends_after: list[float] = []

    def run(self) -> Result:
        """Replay to the end of all programs."""
        at = 0.0
        while (at := at + self._source.expovariate(PROGRAMS_PER_SECOND * self._load)) < END_AT:
            program = _Program(self._source, at)
            self._programs.append(program)
            self._push(at, "turn", program)
        delays = [self._learning_delay(node) for node in range(NODES)]
        if self._move is not Move.NEVER:
            for node, delay in enumerate(delays):
                self._push(ORDER_AT + delay, "order", node)
        while self._events:
            now, _, kind, subject = heapq.heappop(self._events)
            self._handle(kind, subject, now)
        return self._result()

    def _learning_delay(self, node: int) -> float:
        """Most nodes learn of an order at once; some only with their next watch request."""
        if node % 12 == 0:
            return self._source.uniform(WATCHER_DELAY_SECONDS, MAX_LEARNING_SECONDS)
        return self._source.uniform(0.01, WATCHER_DELAY_SECONDS)

    def _push(self, at: float, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, subject))

    def _handle(self, kind: str, subject: object, now: float) -> None:
        if kind == "order":
            assert isinstance(subject, int)
            max_age = float("inf") if self._move is Move.AT_ONCE else 0.0
            self._zones[subject].apply(ZONES[0], 1, True, now, max_age=max_age)
        elif kind == "turn":
            assert isinstance(subject, _Program)
            self._waiting.append((now, next(self._numbers), subject))
        else:
            assert isinstance(subject, _Program)
            self._end_turn(subject, now)
        self._dispatch(now)

    def _dispatch(self, now: float) -> None:
        # Programs that have begun come first, as in a node's queue.
        kept: list[tuple[float, int, _Program]] = []
        for item in sorted(self._waiting, key=lambda item: (item[2].done == 0, item[0], item[1])):
            engine = self._choose(item[2], now)
            if engine is None:
                kept.append(item)
            else:
                self._send(item[2], engine, now)
        self._waiting = kept

    def _choose(self, program: _Program, now: float) -> _Engine | None:
        best, best_cost = None, float("inf")
        limit = SLOTS if program.done == 0 else int(SLOTS * OVERCOMMIT)
        for engine in self._engines:
            if engine.load >= limit:
                continue
            cached = program.cached if engine is program.engine else 0
            query = EngineQuery(
                engine_id=engine.name,
                zone=engine.zone,
                session="s",
                is_new_program=program.done == 0,
                cached_tokens=cached,
            )
            if self._zones[program.node].check(query, now) is not None:
                continue
            cost = self._turn_seconds(program, engine, cached, now)
            if cost < best_cost:
                best, best_cost = engine, cost
        return best

    def _turn_seconds(self, program: _Program, engine: _Engine, cached: int, now: float) -> float:
        prefill = (program.context - cached) / PREFILL_TOKENS_PER_SECOND
        decode = program.decode[program.done] * (1 + DECODE_SLOWDOWN * engine.load)
        return max(0.0, engine.prefill_until - now) + prefill + decode

    def _send(self, program: _Program, engine: _Engine, now: float) -> None:
        cached = program.cached if engine is program.engine else 0
        if engine is not program.engine:
            self._rebuilt += program.cached
        seconds = self._turn_seconds(program, engine, cached, now)
        prefill = (program.context - cached) / PREFILL_TOKENS_PER_SECOND
        engine.prefill_until = max(now, engine.prefill_until) + prefill
        engine.load += 1
        program.engine = engine
        if engine.zone == ZONES[0] and now >= ORDER_AT:
            self._sends_after.append(now - ORDER_AT)
        self._push(now + seconds, "end", program)

    def _end_turn(self, program: _Program, now: float) -> None:
        assert program.engine is not None
        program.engine.load -= 1
        program.cached = program.context
        program.context += program.growth
        pause = program.pauses[program.done]
        program.done += 1
        if program.done < program.turns:
            self._push(now + pause, "turn", program)
        else:
            self._ended[id(program)] = now

    def _result(self) -> Result:
        observed = [
            program
            for program in self._programs
            if ORDER_AT - OBSERVED_SECONDS <= program.began < ORDER_AT + OBSERVED_SECONDS
        ]
        ends = {id(program): self._ended[id(program)] for program in observed}
        return Result(
            programs=len(observed),
            late=sum(ends[id(program)] > program.due for program in observed),
            seconds=sum(ends[id(program)] - program.began for program in observed),
            rebuilt_tokens=self._rebuilt,
            sends_after=sorted(self._sends_after),
        )
