"""The engines that this node knows, and what it believes of each: load, pace, health."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from yokeline.fading import FadingAverage
from yokeline.forwarding.model import Engine
from yokeline.forwarding.start_names import StartNames
from yokeline.identifiers import NodeName
from yokeline.ledger.messages import (
    NOT_COUNTED,
    PACE_UNIT_SECONDS,
    PERCENT,
    EngineLoad,
    EngineTurns,
    LoadReport,
)
from yokeline.scheduling.engine_profiles import (
    FAULT_FADE_SECONDS,
    FAULT_WEIGHT,
    ToldProfile,
    usual_pace,
)
from yokeline.scheduling.engine_subsets import ZoneMember, preferred_engines, rank

REPORT_FRESH_SECONDS = 1.0
"""Age after which another node's report of its load counts for nothing."""
TOLD_FRESH_SECONDS = 0.6
"""Age after which what the ledger's leader told of engines counts for nothing."""
BUSY_SHARE = 0.4
KEPT_SECONDS = 1.0
"""Time for which an idle connection can be counted on; engines close theirs after a second or
more."""
FULL_SECONDS = 0.08
"""Time for which an engine that rejected a request gets no other one."""
SUSPECT_SECONDS = 1.0
"""Time for which an engine that broke off or fell silent is a last resort."""
MAX_SUSPECT_SECONDS = 4.0
_PACE_WEIGHT = 0.15
"""Weight of a new observation in the moving average of an engine's pace."""


class EngineState(msgspec.Struct, kw_only=True):
    """Beliefs about one engine.

    Attributes:
        rank: This node's own order of engines that cost the same (0 to 1, the least first), so
            that nodes do not all choose the same one, and each keeps to a few.
        is_preferred: It is one of the few to which this node keeps connections.
        idle_connections: Connections of this node to it that wait for a request.
        left_at: When the latest of them was left by a request.
        running: Requests of this node that it has under way.
        others: Requests of other nodes, as the ledger's leader told, or from their reports.
        told_failed: Share of the requests of all nodes that failed there, as the leader told.
        slowness: Time between its events as a multiple of what is usual, as the leader told.
        profile: Its pace, as a leader told; kept while no leader tells, and then counts ever less.
        full_until: It rejected a request because it is full; until then it gets no other one.
        refused_caller: Whose request it rejected last though places seemed free.
        refused_at: When that was.
        suspect_until: It failed; until then others are preferred.
        failures: Failures in a row.
        own_faults: Average of this node's requests that failed at it (1) or did not (0); it fades,
            so that an engine that is avoided is tried again.
        lapsed_until: Its entry went without a word of leaving; until then it is a last resort,
            then it is forgotten. 0 for an engine that is listed.
        pace: Moving average of seconds for a call; 0 unknown. Model engines go by the engine model.
    """

    engine: Engine
    rank: float = 0.0
    is_preferred: bool = True
    idle_connections: int = 0
    left_at: float = -math.inf
    running: int = 0
    others: int = 0
    told_failed: float = 0.0
    slowness: float = 1.0
    profile: ToldProfile | None = None
    full_until: float = 0.0
    refused_caller: str = ""
    refused_at: float = -math.inf
    suspect_until: float = 0.0
    failures: int = 0
    pace: float = 0.0
    lapsed_until: float = 0.0
    own_faults: FadingAverage = msgspec.field(
        default_factory=lambda: FadingAverage(0.0, FAULT_WEIGHT, FAULT_FADE_SECONDS)
    )

    def faults(self, now: float) -> float:
        """Return the share of requests that fail here, as far as it is believed now."""
        return max(self.told_failed, self.own_faults.value(now))

    def note_outcome(self, now: float, *, failed: bool) -> None:
        """Take the end of a request into the share of failures."""
        self.own_faults.observe(float(failed), now)

    @property
    def load(self) -> int:
        """Requests of all nodes that it has under way, as far as known."""
        return self.running + self.others

    def has_idle_connection(self, now: float) -> bool:
        """Return whether this node probably has a connection to it that waits for a request."""
        return self.idle_connections > 0 and now - self.left_at <= KEPT_SECONDS

    def note_pace(self, seconds: float) -> None:
        """Take an observation of the time for a unit of work in."""
        if not self.pace:
            self.pace = seconds
        self.pace += _PACE_WEIGHT * (seconds - self.pace)

    def note_failure(self, now: float) -> None:
        """Prefer others for a time that grows with the failures in a row."""
        self.note_outcome(now, failed=True)
        self.failures += 1
        seconds = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * self.failures)
        self.suspect_until = max(self.suspect_until, now + seconds)

    def note_success(self, now: float) -> None:
        """Trust it again."""
        self.note_outcome(now, failed=False)
        self.failures = 0
        self.suspect_until = 0.0


def _profile(item: EngineTurns, now: float) -> ToldProfile:
    return ToldProfile(
        pace_seconds=item.pace * PACE_UNIT_SECONDS,
        samples=item.samples,
        spell=item.spell_percent / PERCENT,
        told_at=now,
    )


class WaitingElsewhere(msgspec.Struct, frozen=True):
    """Requests that wait at other nodes, and the age of the oldest report of them (seconds)."""

    requests: int
    age: float


class EngineBook:
    """All engines, by the name of their start and by pool.

    Attributes:
        names: What the engines are called between nodes.
        own_changes: Rises with each change of what this node has under way.
        fresh_seconds: Age after which another node's report counts for nothing.
    """

    def __init__(self, node: str = "") -> None:
        """Know no engine yet; ``node`` names this node, for its preferences; empty for none."""
        self._node = node
        self._engines: dict[str, EngineState] = {}
        self.names = StartNames()
        self._by_pool: dict[str, list[EngineState]] = {}
        self._places: dict[str, int] = {}
        self._reports: dict[NodeName, tuple[float, LoadReport]] = {}
        self._sums_are_stale = False
        self._subsets_are_stale = False
        self._self = ZoneMember(node, "")
        self._nodes: tuple[ZoneMember, ...] = ()
        self._told_at = -math.inf
        self._told: frozenset[str] = frozenset()
        self._usual_paces: dict[str, float] = {}
        self.own_changes = 0
        self.fresh_seconds = REPORT_FRESH_SECONDS

    def note_sent(self, state: EngineState) -> None:
        """Count a request of this node that an engine has under way."""
        state.running += 1
        state.idle_connections = max(0, state.idle_connections - 1)
        self.own_changes += 1

    def note_left(self, state: EngineState, now: float, *, is_kept: bool = True) -> None:
        """Count a request of this node that is no longer at its engine.

        Its connection waits for the next one if it ``is_kept``.
        """
        state.running = max(0, state.running - 1)
        self.own_changes += 1
        if not is_kept:
            return
        if not state.has_idle_connection(now):
            state.idle_connections = 0
        state.idle_connections += 1
        state.left_at = now

    def set_nodes(self, zone: str, nodes: Sequence[ZoneMember]) -> None:
        """Note this node's zone, and the nodes that share the engines with it."""
        place, known = ZoneMember(self._node, zone), tuple(nodes)
        if (place, known) != (self._self, self._nodes):
            self._self, self._nodes = place, known
            self._subsets_are_stale = True

    def get(self, engine_id: str) -> EngineState | None:
        """Return an engine that is known."""
        return self._engines.get(engine_id)

    def start_of(self, instance: str) -> EngineState | None:
        """Return the start of an engine that is known; each has one at a time."""
        return self._engines.get(self.names.start_of(instance))

    def as_start(self, engine: Engine) -> Engine:
        """Return an engine under the name of its start.

        One that does not say when it started is the start that is known, so an entry that loses
        and regains that field changes nothing.
        """
        known = self.start_of(engine.instance)
        if known is None or engine.started_ms is not None:
            return engine
        return msgspec.structs.replace(
            engine, engine_id=known.engine.engine_id, started_ms=known.engine.started_ms
        )

    def put(self, engine: Engine) -> bool:
        """Note what an engine says of itself; return whether that is news.

        Another start of the same engine is forgotten with all that is believed of it.
        """
        engine = self.as_start(engine)
        earlier = self.names.start_of(engine.instance)
        if earlier != engine.engine_id:
            self._engines.pop(earlier, None)
            self.names.put(engine.instance, engine.engine_id)
        known = self._engines.get(engine.engine_id)
        if known is None:
            own_rank = rank(self._node, engine.instance) if self._node else 0.0
            self._engines[engine.engine_id] = EngineState(engine=engine, rank=own_rank)
            self._sums_are_stale = self._sums_are_stale or bool(self._reports)
            self._index()
            return True
        was_lapsed = known.lapsed_until > 0
        known.lapsed_until = 0.0
        if known.engine == engine:
            return was_lapsed
        known.engine = engine
        self._index()
        return True

    def lapse(self, engine_id: str, until: float) -> bool:
        """Note that an engine's entry went without a word of leaving; return whether it is kept.

        It may live and have missed its heartbeats while the key-value service was away.
        """
        known = self._engines.get(engine_id)
        if known is None or known.engine.draining or known.lapsed_until:
            return False
        known.lapsed_until = until
        return True

    def take_lapsed(self, now: float) -> list[str]:
        """Forget engines whose entries did not come back in time; return their ids."""
        gone = [
            engine_id
            for engine_id, state in self._engines.items()
            if state.lapsed_until and now >= state.lapsed_until
        ]
        for engine_id in gone:
            self.remove(engine_id)
        return gone

    def next_lapse(self) -> float | None:
        """Return when the first lapsed engine is to be forgotten."""
        return min(
            (state.lapsed_until for state in self._engines.values() if state.lapsed_until),
            default=None,
        )

    def remove(self, engine_id: str) -> bool:
        """Forget an engine that is gone; return whether it was known."""
        state = self._engines.pop(engine_id, None)
        if state is None:
            return False
        self.names.remove(state.engine.instance)
        self._index()
        return True

    def take_told(self, engines: tuple[EngineTurns, ...], now: float) -> None:
        """Note what the ledger's leader knows; it is newer than any report of turns."""
        self._told_at = now
        told = {item.engine_id: item for item in engines}
        running = [(item.engine_id, item.running) for item in engines]
        counted = self.names.by_start((row for row in running if row[1] != NOT_COUNTED), now)
        self._told = frozenset(counted)
        for engine_id, state in self._engines.items():
            item = told.get(engine_id)
            if engine_id in counted:
                state.others = max(0, counted[engine_id] - state.running)
            state.told_failed = item.failed_percent / PERCENT if item is not None else 0.0
            state.slowness = item.slowness_percent / PERCENT if item is not None else 1.0
            if item is not None and item.pace > 0:
                state.profile = _profile(item, now)
        self._usual_paces.clear()

    def usual_pace(self, pool: str) -> float:
        """Return the median of the lasting paces told of a pool's engines; 0 if none is known."""
        usual = self._usual_paces.get(pool)
        if usual is None:
            profiles = (state.profile for state in self._by_pool.get(pool, []))
            usual = usual_pace(item.pace_seconds for item in profiles if item is not None)
            self._usual_paces[pool] = usual
        return usual

    def is_told(self, now: float) -> bool:
        """Return whether what the leader told still counts."""
        return now - self._told_at <= TOLD_FRESH_SECONDS

    def in_pool(self, pool: str, now: float) -> list[EngineState]:
        """Return the engines of a pool that take new work, in the order of their ids."""
        if self._sums_are_stale:
            self._sum_reports(now)
        if self._subsets_are_stale:
            self._prefer()
        return self._by_pool.get(pool, [])

    def places_of(self, pool: str) -> int:
        """Return how many requests the engines of a pool that take new work serve at once."""
        return self._places.get(pool, 0)

    def all(self) -> Iterable[EngineState]:
        """Return every engine."""
        return self._engines.values()

    def any_busy(self, now: float) -> bool:
        """Return whether an engine has more than a share of its places taken.

        Those of which the ledger's leader tells are left out: reports are of no use there.
        """
        if self._sums_are_stale:
            self._sum_reports(now)
        told = self._told if self.is_told(now) else frozenset()
        return any(
            state.load > BUSY_SHARE * state.engine.slots
            for engine_id, state in self._engines.items()
            if engine_id not in told
        )

    def own_loads(self, now: float) -> tuple[EngineLoad, ...]:
        """Return what this node has under way."""
        running = [state for state in self._engines.values() if state.running]
        loads = [EngineLoad(state.engine.engine_id, state.running) for state in running]
        for load in tuple(loads):
            earlier_name = self.names.earlier_name(load.engine_id, now)
            if earlier_name:
                loads.append(EngineLoad(earlier_name, load.running))
        return tuple(loads)

    def take_report(self, report: LoadReport, now: float) -> None:
        """Note another node's load, unless a later report came before."""
        known = self._reports.get(report.node)
        is_older = known is not None and known[1].sequence >= report.sequence
        if known is not None and is_older and now - known[0] <= self.fresh_seconds:
            return
        self._reports[report.node] = (now, report)
        self._sums_are_stale = True

    def fresh_reports(self, now: float) -> list[LoadReport]:
        """Return the latest report of each node that reported lately."""
        return [item for at, item in self._reports.values() if now - at <= self.fresh_seconds]

    def waiting_elsewhere(self, pool: str, now: float) -> WaitingElsewhere:
        """Return how many requests wait for a pool at nodes that reported lately."""
        requests, oldest = 0, now
        for at, report in self._reports.values():
            if now - at <= self.fresh_seconds:
                requests += report.waiting.get(pool, 0)
                oldest = min(oldest, at)
        return WaitingElsewhere(requests, now - oldest)

    def drop_stale_reports(self, now: float) -> None:
        """Let reports that are too old count no more."""
        stale = [node for node, (at, _) in self._reports.items() if now - at > self.fresh_seconds]
        for node in stale:
            del self._reports[node]
            self._sums_are_stale = True

    def _sum_reports(self, now: float) -> None:
        """Add the other nodes' loads up anew, but for engines of which the leader tells."""
        self._sums_are_stale = False
        told = self._told if self.is_told(now) else frozenset()
        for engine_id, state in self._engines.items():
            if engine_id not in told:
                state.others = 0
        for _, report in self._reports.values():
            loads = ((load.engine_id, load.running) for load in report.loads)
            for engine_id, running in self.names.by_start(loads, now).items():
                state_of = self._engines.get(engine_id)
                if state_of is not None and engine_id not in told:
                    state_of.others += running

    def _prefer(self) -> None:
        """Choose the engines of each pool anew to which this node keeps connections."""
        self._subsets_are_stale = False
        if not self._nodes:
            return
        for states in self._by_pool.values():
            engines = [ZoneMember(state.engine.instance, state.engine.zone) for state in states]
            preferred = preferred_engines(self._self, self._nodes, engines)
            for state in states:
                state.is_preferred = state.engine.instance in preferred

    def _index(self) -> None:
        self._by_pool = {}
        self._subsets_are_stale = True
        self._usual_paces.clear()
        for engine_id in sorted(self._engines):
            state = self._engines[engine_id]
            if not state.engine.draining:
                self._by_pool.setdefault(state.engine.pool, []).append(state)
        self._places = {
            pool: sum(state.engine.slots for state in states)
            for pool, states in self._by_pool.items()
        }
