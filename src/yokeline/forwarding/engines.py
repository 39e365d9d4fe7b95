"""Engines known to this node, with the load, latency and health estimated for each."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec
from msgspec import UnsetType

from yokeline.fading import FadingAverage
from yokeline.forwarding.incarnations import IncarnationIndex
from yokeline.forwarding.model import Engine, make_versioned_id
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
from yokeline.scheduling.topology import Topology

NODE_REPORT_TTL_SECONDS = 1.0
"""Age at which another node's load report expires."""
LEADER_REPORT_TTL_SECONDS = 0.6
"""Age at which a report of the ledger's leader expires."""
BUSY_LOAD_SHARE = 0.4
"""Share of an engine's slots above which it counts as busy."""
IDLE_CONNECTION_TTL_SECONDS = 1.0
"""Time for which an idle connection is assumed to be open; engines close theirs after a second or
more."""
FULL_BACKOFF_SECONDS = 0.08
"""Time for which an engine that rejected a request as full receives no other request."""
SUSPECT_SECONDS = 1.0
"""Time for which an engine that failed or timed out is avoided; multiplied by consecutive
failures."""
MAX_SUSPECT_SECONDS = 4.0
"""Upper bound of that time."""
_CALL_SECONDS_WEIGHT = 0.15
"""Weight of a new observation in the moving average of an engine's call duration."""

ONE_REGION = Topology("", {})
"""The places of a deployment whose regions are not known: it is taken for one region."""


class EngineState(msgspec.Struct, kw_only=True):
    """Estimated state of one engine.

    Attributes:
        engine: The engine as it registered itself.
        rank: This node's order of engines with equal cost (0 to 1, least first), different at each
            node, so that nodes spread over the engines.
        is_preferred: Whether the engine is in the subset to which this node keeps connections.
        idle_connections: Idle connections of this node to the engine.
        idle_since: When the latest of them became idle.
        running: Requests of this node at the engine.
        running_elsewhere: Requests of other nodes at the engine, from the leader or from node
            reports.
        reported_failure_rate: Share of all nodes' requests that failed there, from the leader.
        reported_slowness: Time between events relative to the typical time, from the leader.
        reported_profile: The engine's pace, from the leader; kept without new reports, with
            decreasing weight.
        full_until: Receives no request until then, since it rejected one as full.
        rejected_caller: The caller of the latest request that it rejected with free slots.
        rejected_at: Time of that rejection.
        suspect_until: Avoided until then, since it failed.
        failed_at: Time of the latest failure.
        failures: Number of consecutive failures.
        call_seconds: Moving average of a call's duration; 0 if unknown. Model engines use the cost
            model instead.
        expires_at: When the engine is removed, since its registry entry was removed without
            draining; 0 for a registered engine. Until then the engine is a last resort.
        local_failure_rate: Average failure rate of this node's requests. It decays, so that an
            avoided engine is tried again.
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
    failed_at: float = -math.inf
    failures: int = 0
    call_seconds: float = 0.0
    expires_at: float = 0.0
    local_failure_rate: FadingAverage = msgspec.field(
        default_factory=lambda: FadingAverage(0.0, FAULT_WEIGHT, FAULT_FADE_SECONDS)
    )

    def failure_rate(self, now: float) -> float:
        """Return the estimated failure rate of requests at this engine."""
        return max(self.reported_failure_rate, self.local_failure_rate.value(now))

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Update the failure rate with the outcome of a request."""
        self.local_failure_rate.observe(float(failed), now)

    @property
    def load(self) -> int:
        """Known requests of all nodes at the engine."""
        return self.running + self.running_elsewhere

    def has_idle_connection(self, now: float) -> bool:
        """Return whether this node probably has an idle connection to the engine."""
        return self.idle_connections > 0 and now - self.idle_since <= IDLE_CONNECTION_TTL_SECONDS

    def record_call_seconds(self, seconds: float) -> None:
        """Update the moving average of a call's duration."""
        if not self.call_seconds:
            self.call_seconds = seconds
        self.call_seconds += _CALL_SECONDS_WEIGHT * (seconds - self.call_seconds)

    def record_failure(self, now: float) -> None:
        """Avoid the engine for a time that grows with its consecutive failures."""
        self.record_outcome(now, failed=True)
        self.failures += 1
        self.failed_at = now
        seconds = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * self.failures)
        self.suspect_until = max(self.suspect_until, now + seconds)

    def record_success(self, now: float) -> None:
        """Reset the consecutive failures."""
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
    """All engines by id and by pool.

    Attributes:
        topology: Zones and regions, seen from this node.
        incarnations: The current incarnation of each engine.
        local_changes: Counter that increases with each change of this node's load.
        version_changes: Counter that increases when a pool gets or loses a software version.
        node_report_ttl: Age at which another node's report expires (seconds).
    """

    def __init__(self, node: str = "", topology: Topology = ONE_REGION) -> None:
        """Create an empty table.

        ``node`` is this node's name for its ranks, empty for no ranks. ``topology`` has the regions
        of the zones.
        """
        self.topology = topology
        self._node = node
        self._engines: dict[str, EngineState] = {}
        self.incarnations = IncarnationIndex()
        self._by_pool: dict[str, list[EngineState]] = {}
        self._slots_by_pool: dict[str, int] = {}
        self._versions_by_pool: dict[str, frozenset[str]] = {}
        self._reports: dict[NodeName, tuple[float, LoadReport]] = {}
        self._isolated_elsewhere: dict[NodeName, tuple[float, tuple[str, ...]]] = {}
        self._remote_load_is_stale = False
        self._preferences_are_stale = False
        self._own_member = ZoneMember(node, "")
        self._nodes: tuple[ZoneMember, ...] = ()
        self._leader_report_at = -math.inf
        self._counted_by_leader: frozenset[str] = frozenset()
        self._usual_paces: dict[str, float] = {}
        self.local_changes = 0
        self.version_changes = 0
        self.node_report_ttl = NODE_REPORT_TTL_SECONDS

    def record_sent(self, state: EngineState) -> None:
        """Record that a request of this node was sent to an engine."""
        state.running += 1
        state.idle_connections = max(0, state.idle_connections - 1)
        self.local_changes += 1

    def record_released(
        self, state: EngineState, now: float, *, connection_kept: bool = True
    ) -> None:
        """Record that a request of this node has left an engine.

        Its connection becomes idle if ``connection_kept``.
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
        """Set this node's zone and the nodes that share the engines with it."""
        own_member = ZoneMember(self._node, zone, self.topology.region_of(zone))
        known = tuple(nodes)
        if (own_member, known) != (self._own_member, self._nodes):
            self._own_member, self._nodes = own_member, known
            self._preferences_are_stale = True

    def get(self, engine_id: str) -> EngineState | None:
        """Return a known engine."""
        return self._engines.get(engine_id)

    def current_incarnation(self, instance: str) -> EngineState | None:
        """Return the known incarnation of an engine; there is at most one."""
        return self._engines.get(self.incarnations.current_id(instance))

    def with_known_incarnation(self, engine: Engine) -> Engine:
        """Return an engine under the id of its incarnation.

        An entry without a start time is taken for the known incarnation, so an entry that loses and
        regains the field changes nothing. One with another software version is another incarnation.
        """
        known = self.current_incarnation(engine.instance)
        if known is None:
            return engine
        if known.engine.version != engine.version:
            return self._as_other_start(engine, known.engine)
        if engine.started_ms not in (None, known.engine.started_ms):
            return engine
        return msgspec.structs.replace(
            engine, engine_id=known.engine.engine_id, started_ms=known.engine.started_ms
        )

    def _as_other_start(self, engine: Engine, known: Engine) -> Engine:
        """Return an engine whose version differs from the known one under an id of its own.

        A start has one version, so the engine has started again, whatever start time it states.
        """
        if engine.engine_id != known.engine_id:
            return engine
        return msgspec.structs.replace(
            engine, engine_id=make_versioned_id(engine.engine_id, engine.version)
        )

    def put(self, engine: Engine) -> bool:
        """Insert or update an engine; return whether anything changed.

        A new incarnation replaces the previous one and all state estimated for it.
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
        """Let an engine whose entry was removed expire at ``until``; return whether it is kept.

        The engine may be alive and have missed its heartbeats in an outage of the key-value
        service.
        """
        known = self._engines.get(engine_id)
        if known is None or known.engine.draining or known.expires_at:
            return False
        known.expires_at = until
        return True

    def remove_expired(self, now: float) -> list[Engine]:
        """Remove the engines that have expired, and return them."""
        expired = [
            state.engine
            for state in self._engines.values()
            if state.expires_at and now >= state.expires_at
        ]
        for engine in expired:
            self.remove(engine.engine_id)
        return expired

    def next_expiry(self) -> float | None:
        """Return when the first unregistered engine expires."""
        return min(
            (state.expires_at for state in self._engines.values() if state.expires_at),
            default=None,
        )

    def remove(self, engine_id: str) -> bool:
        """Remove an engine; return whether it was known."""
        state = self._engines.pop(engine_id, None)
        if state is None:
            return False
        self.incarnations.remove(state.engine.instance)
        self._rebuild_pools()
        return True

    def apply_leader_report(self, engines: tuple[EngineTurns, ...], now: float) -> None:
        """Apply a report of the ledger's leader, which is newer than any node report of turns."""
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
        """Return the median long-term pace of a pool's engines, from the leader; 0 if unknown."""
        usual = self._usual_paces.get(pool)
        if usual is None:
            profiles = (state.reported_profile for state in self._by_pool.get(pool, []))
            usual = typical_pace(item.pace_seconds for item in profiles if item is not None)
            self._usual_paces[pool] = usual
        return usual

    def has_fresh_leader_report(self, now: float) -> bool:
        """Return whether the latest report of the leader has not expired."""
        return now - self._leader_report_at <= LEADER_REPORT_TTL_SECONDS

    def in_pool(self, pool: str, now: float) -> list[EngineState]:
        """Return the engines of a pool that accept new requests, in the order of their ids."""
        if self._remote_load_is_stale:
            self._sum_remote_load(now)
        if self._preferences_are_stale:
            self._update_preferences()
        return self._by_pool.get(pool, [])

    def slots_in_pool(self, pool: str) -> int:
        """Return the total slots of a pool's engines that accept new requests."""
        return self._slots_by_pool.get(pool, 0)

    def pools_with_versions(self) -> Iterable[str]:
        """Return the pools that have engines."""
        return self._versions_by_pool

    def versions_in_pool(self, pool: str) -> frozenset[str]:
        """Return the software versions of all engines of a pool, draining ones too."""
        return self._versions_by_pool.get(pool, frozenset())

    def all(self) -> Iterable[EngineState]:
        """Return all engines."""
        return self._engines.values()

    def any_busy(self, now: float) -> bool:
        """Return whether an engine is busy.

        Engines in a fresh report of the leader are left out: node reports do not count for them.
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
        """Return this node's load of each engine."""
        running = [state for state in self._engines.values() if state.running]
        loads = [EngineLoad(state.engine.engine_id, state.running) for state in running]
        for load in tuple(loads):
            legacy_name = self.incarnations.legacy_name(load.engine_id, now)
            if legacy_name:
                loads.append(EngineLoad(legacy_name, load.running))
        return tuple(loads)

    def apply_node_report(self, report: LoadReport, now: float) -> None:
        """Store another node's load report, unless a later one was received."""
        known = self._reports.get(report.node)
        is_older = known is not None and known[1].sequence >= report.sequence
        if known is not None and is_older and now - known[0] <= self.node_report_ttl:
            return
        self._reports[report.node] = (now, report)
        self._remote_load_is_stale = True
        if isinstance(report.isolated, UnsetType):
            self._isolated_elsewhere.pop(report.node, None)
        else:
            self._isolated_elsewhere[report.node] = (now, report.isolated)

    def isolated_elsewhere(self, now: float) -> frozenset[str]:
        """Return the names of engines to which other nodes have sent isolated requests."""
        if not self._isolated_elsewhere:
            return frozenset()
        rows = self._isolated_elsewhere.values()
        fresh = (names for at, names in rows if now - at <= self.node_report_ttl)
        return frozenset(name for names in fresh for name in names)

    def fresh_reports(self, now: float) -> list[LoadReport]:
        """Return the latest report of each node, without expired ones."""
        return [item for at, item in self._reports.values() if now - at <= self.node_report_ttl]

    def waiting_elsewhere(self, pool: str, now: float) -> WaitingElsewhere:
        """Return how many requests wait for a pool at other nodes."""
        requests, oldest = 0, now
        for at, report in self._reports.values():
            if now - at <= self.node_report_ttl:
                requests += report.waiting.get(pool, 0)
                oldest = min(oldest, at)
        return WaitingElsewhere(requests, now - oldest)

    def drop_stale_reports(self, now: float) -> None:
        """Remove expired node reports."""
        stale = [node for node, (at, _) in self._reports.items() if now - at > self.node_report_ttl]
        for node in stale:
            del self._reports[node]
            self._remote_load_is_stale = True

    def _sum_remote_load(self, now: float) -> None:
        """Sum the other nodes' loads, except for engines that the leader reports."""
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
        """Select the preferred engines of each pool."""
        self._preferences_are_stale = False
        if not self._nodes:
            return
        for states in self._by_pool.values():
            engines = [self._member(state.engine) for state in states]
            preferred = preferred_engines(self._own_member, self._nodes, engines)
            for state in states:
                state.is_preferred = state.engine.instance in preferred

    def _member(self, engine: Engine) -> ZoneMember:
        return ZoneMember(engine.instance, engine.zone, self.topology.region_of(engine.zone))

    def _rebuild_pools(self) -> None:
        self._by_pool = {}
        versions: dict[str, set[str]] = {}
        self._preferences_are_stale = True
        self._usual_paces.clear()
        for engine_id in sorted(self._engines):
            state = self._engines[engine_id]
            versions.setdefault(state.engine.pool, set()).add(state.engine.version)
            if not state.engine.draining:
                self._by_pool.setdefault(state.engine.pool, []).append(state)
        found = {pool: frozenset(names) for pool, names in versions.items()}
        self.version_changes += found != self._versions_by_pool
        self._versions_by_pool = found
        self._slots_by_pool = {
            pool: sum(state.engine.slots for state in states)
            for pool, states in self._by_pool.items()
        }
