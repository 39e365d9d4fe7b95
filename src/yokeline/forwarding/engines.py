"""The engines that this node knows, and what it believes of each: load, pace, health."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from yokeline.fading import FadingAverage
from yokeline.forwarding.incarnations import IncarnationIndex
from yokeline.forwarding.model import Engine
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
    ReportedProfile,
    typical_pace,
)
from yokeline.scheduling.engine_subsets import ZoneMember, preferred_engines, rank

NODE_REPORT_TTL_SECONDS = 1.0
"""Age after which another node's report of its load counts for nothing."""
LEADER_REPORT_TTL_SECONDS = 0.6
"""Age after which what the ledger's leader told of engines counts for nothing."""
BUSY_LOAD_SHARE = 0.4
IDLE_CONNECTION_TTL_SECONDS = 1.0
"""Time for which an idle connection can be counted on; engines close theirs after a second or
more."""
FULL_BACKOFF_SECONDS = 0.08
"""Time for which an engine that rejected a request gets no other one."""
SUSPECT_SECONDS = 1.0
"""Time for which an engine that broke off or fell silent is a last resort."""
MAX_SUSPECT_SECONDS = 4.0
_CALL_SECONDS_WEIGHT = 0.15
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
    idle_since: float = -math.inf
    running: int = 0
    running_elsewhere: int = 0
    reported_failure_rate: float = 0.0
    reported_slowness: float = 1.0
    reported_profile: ReportedProfile | None = None
    full_until: float = 0.0
    rejected_caller: str = ""
    rejected_at: float = -math.inf
    suspect_until: float = 0.0
    failures: int = 0
    call_seconds: float = 0.0
    expires_at: float = 0.0
    local_failure_rate: FadingAverage = msgspec.field(
        default_factory=lambda: FadingAverage(0.0, FAULT_WEIGHT, FAULT_FADE_SECONDS)
    )

    def failure_rate(self, now: float) -> float:
        """Return the share of requests that fail here, as far as it is believed now."""
        return max(self.reported_failure_rate, self.local_failure_rate.value(now))

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Take the end of a request into the share of failures."""
        self.local_failure_rate.observe(float(failed), now)

    @property
    def load(self) -> int:
        """Requests of all nodes that it has under way, as far as known."""
        return self.running + self.running_elsewhere

    def has_idle_connection(self, now: float) -> bool:
        """Return whether this node probably has a connection to it that waits for a request."""
        return self.idle_connections > 0 and now - self.idle_since <= IDLE_CONNECTION_TTL_SECONDS

    def record_call_seconds(self, seconds: float) -> None:
        """Take an observation of the time for a unit of work in."""
        if not self.call_seconds:
            self.call_seconds = seconds
        self.call_seconds += _CALL_SECONDS_WEIGHT * (seconds - self.call_seconds)

    def record_failure(self, now: float) -> None:
        """Prefer others for a time that grows with the failures in a row."""
        self.record_outcome(now, failed=True)
        self.failures += 1
        seconds = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * self.failures)
        self.suspect_until = max(self.suspect_until, now + seconds)

    def record_success(self, now: float) -> None:
        """Trust it again."""
        self.record_outcome(now, failed=False)
        self.failures = 0
        self.suspect_until = 0.0


def _reported_profile(item: EngineTurns, now: float) -> ReportedProfile:
    return ReportedProfile(
        pace_seconds=item.pace * PACE_UNIT_SECONDS,
        samples=item.samples,
        spell=item.spell_percent / PERCENT,
        reported_at=now,
    )


class WaitingElsewhere(msgspec.Struct, frozen=True):
    """Requests that wait at other nodes, and the age of the oldest report of them (seconds)."""

    requests: int
    report_age: float


class EngineTable:
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
        self.incarnations = IncarnationIndex()
        self._by_pool: dict[str, list[EngineState]] = {}
        self._slots_by_pool: dict[str, int] = {}
        self._reports: dict[NodeName, tuple[float, LoadReport]] = {}
        self._remote_load_is_stale = False
        self._preferences_are_stale = False
        self._own_member = ZoneMember(node, "")
        self._nodes: tuple[ZoneMember, ...] = ()
        self._leader_report_at = -math.inf
        self._counted_by_leader: frozenset[str] = frozenset()
        self._usual_paces: dict[str, float] = {}
        self.local_changes = 0
        self.node_report_ttl = NODE_REPORT_TTL_SECONDS

    def record_sent(self, state: EngineState) -> None:
        """Count a request of this node that an engine has under way."""
        state.running += 1
        state.idle_connections = max(0, state.idle_connections - 1)
        self.local_changes += 1

    def record_released(
        self, state: EngineState, now: float, *, connection_kept: bool = True
    ) -> None:
        """Count a request of this node that is no longer at its engine.

        Its connection waits for the next one if it ``is_kept``.
        """
        state.running = max(0, state.running - 1)
        self.local_changes += 1
        if not connection_kept:
            return
        if not state.has_idle_connection(now):
            state.idle_connections = 0
        state.idle_connections += 1
        state.idle_since = now

    def set_nodes(self, zone: str, nodes: Sequence[ZoneMember]) -> None:
        """Note this node's zone, and the nodes that share the engines with it."""
        own_member, known = ZoneMember(self._node, zone), tuple(nodes)
        if (own_member, known) != (self._own_member, self._nodes):
            self._own_member, self._nodes = own_member, known
            self._preferences_are_stale = True

    def get(self, engine_id: str) -> EngineState | None:
        """Return an engine that is known."""
        return self._engines.get(engine_id)

    def current_incarnation(self, instance: str) -> EngineState | None:
        """Return the start of an engine that is known; each has one at a time."""
        return self._engines.get(self.incarnations.current_id(instance))

    def with_known_incarnation(self, engine: Engine) -> Engine:
        """Return an engine under the name of its start.

        One that does not say when it started is the start that is known, so an entry that loses
        and regains that field changes nothing.
        """
        known = self.current_incarnation(engine.instance)
        if known is None or engine.started_ms is not None:
            return engine
        return msgspec.structs.replace(
            engine, engine_id=known.engine.engine_id, started_ms=known.engine.started_ms
        )

    def put(self, engine: Engine) -> bool:
        """Note what an engine says of itself; return whether that is news.

        Another start of the same engine is forgotten with all that is believed of it.
        """
        engine = self.with_known_incarnation(engine)
        previous_id = self.incarnations.current_id(engine.instance)
        if previous_id != engine.engine_id:
            self._engines.pop(previous_id, None)
            self.incarnations.put(engine.instance, engine.engine_id)
        known = self._engines.get(engine.engine_id)
        if known is None:
            own_rank = rank(self._node, engine.instance) if self._node else 0.0
            self._engines[engine.engine_id] = EngineState(engine=engine, rank=own_rank)
            self._remote_load_is_stale = self._remote_load_is_stale or bool(self._reports)
            self._rebuild_pools()
            return True
        was_unregistered = known.expires_at > 0
        known.expires_at = 0.0
        if known.engine == engine:
            return was_unregistered
        known.engine = engine
        self._rebuild_pools()
        return True

    def mark_unregistered(self, engine_id: str, until: float) -> bool:
        """Note that an engine's entry went without a word of leaving; return whether it is kept.

        It may live and have missed its heartbeats while the key-value service was away.
        """
        known = self._engines.get(engine_id)
        if known is None or known.engine.draining or known.expires_at:
            return False
        known.expires_at = until
        return True

    def remove_expired(self, now: float) -> list[str]:
        """Forget engines whose entries did not come back in time; return their ids."""
        expired = [
            engine_id
            for engine_id, state in self._engines.items()
            if state.expires_at and now >= state.expires_at
        ]
        for engine_id in expired:
            self.remove(engine_id)
        return expired

    def next_expiry(self) -> float | None:
        """Return when the first lapsed engine is to be forgotten."""
        return min(
            (state.expires_at for state in self._engines.values() if state.expires_at),
            default=None,
        )

    def remove(self, engine_id: str) -> bool:
        """Forget an engine that is gone; return whether it was known."""
        state = self._engines.pop(engine_id, None)
        if state is None:
            return False
        self.incarnations.remove(state.engine.instance)
        self._rebuild_pools()
        return True

    def apply_leader_report(self, engines: tuple[EngineTurns, ...], now: float) -> None:
        """Note what the ledger's leader knows; it is newer than any report of turns."""
        self._leader_report_at = now
        reported = {item.engine_id: item for item in engines}
        running = [(item.engine_id, item.running) for item in engines]
        counted = self.incarnations.counts_by_incarnation(
            (row for row in running if row[1] != NOT_COUNTED), now
        )
        self._counted_by_leader = frozenset(counted)
        for engine_id, state in self._engines.items():
            item = reported.get(engine_id)
            if engine_id in counted:
                state.running_elsewhere = max(0, counted[engine_id] - state.running)
            state.reported_failure_rate = item.failed_percent / PERCENT if item is not None else 0.0
            state.reported_slowness = item.slowness_percent / PERCENT if item is not None else 1.0
            if item is not None and item.pace > 0:
                state.reported_profile = _reported_profile(item, now)
        self._usual_paces.clear()

    def usual_pace(self, pool: str) -> float:
        """Return the median of the lasting paces told of a pool's engines; 0 if none is known."""
        usual = self._usual_paces.get(pool)
        if usual is None:
            profiles = (state.reported_profile for state in self._by_pool.get(pool, []))
            usual = typical_pace(item.pace_seconds for item in profiles if item is not None)
            self._usual_paces[pool] = usual
        return usual

    def has_fresh_leader_report(self, now: float) -> bool:
        """Return whether what the leader told still counts."""
        return now - self._leader_report_at <= LEADER_REPORT_TTL_SECONDS

    def in_pool(self, pool: str, now: float) -> list[EngineState]:
        """Return the engines of a pool that take new work, in the order of their ids."""
        if self._remote_load_is_stale:
            self._sum_remote_load(now)
        if self._preferences_are_stale:
            self._update_preferences()
        return self._by_pool.get(pool, [])

    def slots_in_pool(self, pool: str) -> int:
        """Return how many requests the engines of a pool that take new work serve at once."""
        return self._slots_by_pool.get(pool, 0)

    def all(self) -> Iterable[EngineState]:
        """Return every engine."""
        return self._engines.values()

    def any_busy(self, now: float) -> bool:
        """Return whether an engine has more than a share of its places taken.

        Those of which the ledger's leader tells are left out: reports are of no use there.
        """
        if self._remote_load_is_stale:
            self._sum_remote_load(now)
        counted_by_leader = (
            self._counted_by_leader if self.has_fresh_leader_report(now) else frozenset()
        )
        return any(
            state.load > BUSY_LOAD_SHARE * state.engine.slots
            for engine_id, state in self._engines.items()
            if engine_id not in counted_by_leader
        )

    def local_loads(self, now: float) -> tuple[EngineLoad, ...]:
        """Return what this node has under way."""
        running = [state for state in self._engines.values() if state.running]
        loads = [EngineLoad(state.engine.engine_id, state.running) for state in running]
        for load in tuple(loads):
            legacy_name = self.incarnations.legacy_name(load.engine_id, now)
            if legacy_name:
                loads.append(EngineLoad(legacy_name, load.running))
        return tuple(loads)

    def apply_node_report(self, report: LoadReport, now: float) -> None:
        """Note another node's load, unless a later report came before."""
        known = self._reports.get(report.node)
        is_older = known is not None and known[1].sequence >= report.sequence
        if known is not None and is_older and now - known[0] <= self.node_report_ttl:
            return
        self._reports[report.node] = (now, report)
        self._remote_load_is_stale = True

    def fresh_reports(self, now: float) -> list[LoadReport]:
        """Return the latest report of each node that reported lately."""
        return [item for at, item in self._reports.values() if now - at <= self.node_report_ttl]

    def waiting_elsewhere(self, pool: str, now: float) -> WaitingElsewhere:
        """Return how many requests wait for a pool at nodes that reported lately."""
        requests, oldest = 0, now
        for at, report in self._reports.values():
            if now - at <= self.node_report_ttl:
                requests += report.waiting.get(pool, 0)
                oldest = min(oldest, at)
        return WaitingElsewhere(requests, now - oldest)

    def drop_stale_reports(self, now: float) -> None:
        """Let reports that are too old count no more."""
        stale = [node for node, (at, _) in self._reports.items() if now - at > self.node_report_ttl]
        for node in stale:
            del self._reports[node]
            self._remote_load_is_stale = True

    def _sum_remote_load(self, now: float) -> None:
        """Add the other nodes' loads up anew, but for engines of which the leader tells."""
        self._remote_load_is_stale = False
        counted_by_leader = (
            self._counted_by_leader if self.has_fresh_leader_report(now) else frozenset()
        )
        for engine_id, state in self._engines.items():
            if engine_id not in counted_by_leader:
                state.running_elsewhere = 0
        for _, report in self._reports.values():
            loads = ((load.engine_id, load.running) for load in report.loads)
            for engine_id, running in self.incarnations.counts_by_incarnation(loads, now).items():
                known = self._engines.get(engine_id)
                if known is not None and engine_id not in counted_by_leader:
                    known.running_elsewhere += running

    def _update_preferences(self) -> None:
        """Choose the engines of each pool anew to which this node keeps connections."""
        self._preferences_are_stale = False
        if not self._nodes:
            return
        for states in self._by_pool.values():
            engines = [ZoneMember(state.engine.instance, state.engine.zone) for state in states]
            preferred = preferred_engines(self._own_member, self._nodes, engines)
            for state in states:
                state.is_preferred = state.engine.instance in preferred

    def _rebuild_pools(self) -> None:
        self._by_pool = {}
        self._preferences_are_stale = True
        self._usual_paces.clear()
        for engine_id in sorted(self._engines):
            state = self._engines[engine_id]
            if not state.engine.draining:
                self._by_pool.setdefault(state.engine.pool, []).append(state)
        self._slots_by_pool = {
            pool: sum(state.engine.slots for state in states)
            for pool, states in self._by_pool.items()
        }
