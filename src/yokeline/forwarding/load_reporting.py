"""Exchange of load reports between forwarding nodes.

A few nodes report to each other directly. In a larger fleet, each node reports to the relay of its
zone, which sends the collected reports in digests to the nodes of its zone and to the relays of the
other zones. Any node that receives reports relays them, so relays need no election: each node
reports to the first node of its zone from which it has heard recently.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable

import msgspec
from msgspec import UNSET

from yokeline.effects import Effect, SendDatagram
from yokeline.forwarding.engines import NODE_REPORT_TTL_SECONDS, EngineTable
from yokeline.forwarding.stream_beginnings import StreamPeer
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.client import PeerNode
from yokeline.ledger.messages import LoadDigest, LoadReport
from yokeline.ledger.operations import EngineLoss
from yokeline.registry.nodes import NodeRecord
from yokeline.scheduling.engine_subsets import ZoneMember
from yokeline.scheduling.topology import Distance

MAX_DIRECT_NODES = 16
"""Number of other nodes from which on relays are used."""
REPORT_INTERVAL_SECONDS = 0.1
"""Least interval between reports of a changed load while an engine is busy. With outdated reports
all nodes choose the engine that was last seen with the least load. Turns need no shorter interval,
since the ledger's leader reports them."""
RELAYED_REPORT_INTERVAL_SECONDS = 0.08
"""The same interval for relayed reports."""
IDLE_REPORT_INTERVAL_SECONDS = 0.3
"""Interval between reports while no engine is busy or the load has not changed. Any engine has
capacity then, whatever the other nodes do."""
DIGEST_INTERVAL_SECONDS = 0.08
"""Time for which a relay collects reports for a digest."""
OTHER_REGION_DIGEST_INTERVALS = 4
"""Most digest intervals between two digests to another region. Few requests leave their
region, and bytes between regions are charged for."""
LOSS_INTERVAL_SECONDS = 0.02
"""Least time between two reports while engines are lost under requests, and time for which a relay
collects such reports: callers are back within a tenth of a second."""
MAX_REPORTS_PER_DIGEST = 24
"""Maximum number of reports per datagram."""
RELAY_TIMEOUT_SECONDS = 0.8
"""Time without a message after which a relay is replaced by the next node of its zone."""
MAX_NODES_AT_BASE_INTERVAL = 64
"""Fleet size up to which the intervals hold; in a larger fleet they grow in proportion, so that the
messages that a node receives do not."""
MAX_INTERVAL_FACTOR = 4.0
MIN_WATCHERS = 3
"""Least number of nodes that watch the key-value service, spread over the zones. The service
charges for each call, so the other nodes read from the watchers."""
WATCHER_DOUBLING_SECONDS = 1.0
"""Time without a served watcher after which twice as many nodes watch. The service may refuse some
nodes, and after an outage not all nodes may call it at once. With 35 in 100 machines refused and
one watcher in each of five zones, one outage in 190 has no served watcher at first, and one in
36,000 after this time."""
MAX_WATCHER_DOUBLINGS = 16.0
"""Number of doublings after which all nodes of the largest zone watch."""
MAX_RELAY_CANDIDATES = 2
"""Nodes of another zone that receive a digest while the zone's relay is unknown."""


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a node reports of itself besides its load.

    Attributes:
        waiting: Requests that wait at this node, by pool.
        revision: Latest registry revision that this node has read.
        reaches_ledger: Whether the ledger answers this node.
        watches: Whether this node watches the key-value service and was answered recently.
        losses: Returns the engines that were lately lost under requests of this node; called for
            each report.
        isolated: Names of engines to which this node has sent an isolated request.
        losses_version: Increases with each loss, and when an isolated request is sent or leaves.
    """

    waiting: dict[str, int]
    revision: int
    reaches_ledger: bool
    watches: bool = False
    losses: Callable[[], tuple[EngineLoss, ...]] = tuple
    isolated: tuple[str, ...] = ()
    losses_version: int = 0


class LoadReporter:
    """Sends one node's reports and relays those of others; a state machine without I/O."""

    def __init__(
        self, record: NodeRecord, process: ReplicaId, engines: EngineTable, now: float
    ) -> None:
        """Report for the node of ``record``, whose process is reached as ``process``."""
        self._record = record
        self._process = process
        self._engines = engines
        self._topology = engines.topology
        self._sequence = 0
        self._next_report = now
        self._next_load_check = now
        self._reported_changes = 0
        self._reported_revision = 0
        self._reported_losses = 0
        self._last_report = -math.inf
        self._peers: list[NodeRecord] = []
        self._zone_nodes: list[NodeRecord] = [record]
        self._other_zones: dict[str, list[NodeRecord]] = {}
        self._heard_at: dict[NodeName, float] = {}
        self._zone_changed_at = now
        self._collected: dict[NodeName, LoadReport] = {}
        self._collected_from_zones: dict[NodeName, LoadReport] = {}
        self._collected_for_regions: dict[NodeName, LoadReport] = {}
        self._digests_since_regions = 0
        self._last_region_digest_at = now
        self._next_digest: float | None = None
        self._interval_factor = 1.0

    # ------------------------------------------------------------ nodes

    def set_nodes(self, edges: list[NodeRecord], now: float) -> None:
        """Set the registered forwarding nodes."""
        own = self._record.name
        self._peers = [record for record in edges if record.name != own]
        zones: dict[str, list[NodeRecord]] = defaultdict(list)
        for record in sorted(edges, key=lambda record: record.name):
            zones[record.zone].append(record)
        zone_nodes = zones.pop(self._record.zone, [])
        if all(record.name != own for record in zone_nodes):
            zone_nodes = sorted([*zone_nodes, self._record], key=lambda record: record.name)
        if zone_nodes != self._zone_nodes:
            self._zone_changed_at = now
        self._zone_nodes = zone_nodes
        self._other_zones = dict(zones)
        self._interval_factor = min(
            MAX_INTERVAL_FACTOR, max(1.0, len(edges) / MAX_NODES_AT_BASE_INTERVAL)
        )
        self._engines.node_report_ttl = NODE_REPORT_TTL_SECONDS * self._interval_factor
        zone_members = sorted(
            (
                ZoneMember(item.name, item.zone, self._topology.region_of(item.zone))
                for item in edges
            ),
            key=lambda at: at.name,
        )
        self._engines.set_nodes(self._record.zone, zone_members)

    @property
    def uses_relays(self) -> bool:
        """Whether the fleet is too large for direct reports."""
        return len(self._peers) >= MAX_DIRECT_NODES

    def relay(self, now: float) -> NodeRecord:
        """Return the relay of this zone: the first node heard of recently, or this node."""
        for record in self._zone_nodes:
            if record.name == self._record.name or self._is_relay_candidate(record.name, now):
                return record
        return self._record

    def _is_relay_candidate(self, name: NodeName, now: float) -> bool:
        zone_is_new = now - self._zone_changed_at <= RELAY_TIMEOUT_SECONDS * self._interval_factor
        return zone_is_new or self._was_heard_lately(name, now)

    @property
    def interval_factor(self) -> float:
        """Factor by which the intervals grow with the size of the fleet."""
        return self._interval_factor

    def is_watcher(
        self, now: float, *, assume_alive: bool = False, seconds_without_watcher: float = 0.0
    ) -> bool:
        """Return whether this node is to watch the key-value service for the others.

        The first nodes of each zone that were heard of recently watch. A node that has just started
        has heard of no other one: with ``assume_alive`` all registered nodes count. The number of
        watchers doubles with ``seconds_without_watcher``, the time since a watcher was last heard
        of.
        """
        per_zone = math.ceil(MIN_WATCHERS / (len(self._other_zones) + 1))
        fresh = {report.node for report in self._engines.fresh_reports(now)}
        before = [
            record.name
            for record in self._zone_nodes
            if record.name < self._record.name and (assume_alive or record.name in fresh)
        ]
        doublings = min(MAX_WATCHER_DOUBLINGS, seconds_without_watcher / WATCHER_DOUBLING_SECONDS)
        return len(before) < per_zone * 2.0**doublings

    @property
    def has_peers(self) -> bool:
        """Whether other forwarding nodes are registered."""
        return bool(self._peers)

    def hears_others(self, now: float) -> bool:
        """Return whether a report of another node is fresh, if there are other nodes."""
        return not self._peers or bool(self._engines.fresh_reports(now))

    def has_other_watcher(self, now: float) -> bool:
        """Return whether another node reports that it watches the key-value service."""
        return any(report.watches for report in self._engines.fresh_reports(now))

    def is_first_watcher(self, now: float) -> bool:
        """Return whether no watching node has a name that sorts before this node's."""
        own = self._record.name
        reports = self._engines.fresh_reports(now)
        return not any(report.watches and report.node < own for report in reports)

    def peers_reaching_ledger(self, now: float) -> list[PeerNode]:
        """Return the nodes that the ledger answers, the nearest first."""
        reports = self._engines.fresh_reports(now)
        return self._sort_by_distance([report for report in reports if report.reaches_ledger])

    def peers_watching(self, now: float) -> list[PeerNode]:
        """Return the nodes that watch the key-value service, the nearest first."""
        reports = self._engines.fresh_reports(now)
        return self._sort_by_distance([report for report in reports if report.watches])

    def trustees(self, now: float) -> list[PeerNode]:
        """Return the nodes that keep attempts of this one: the next of its zone, and of another.

        The names of nodes decide, so that no node keeps those of many others.
        """
        zones = {record.name: record.zone for record in self._peers}
        own = self._record.name
        reports = sorted(
            (item for item in self._engines.fresh_reports(now) if item.address is not None),
            key=lambda item: (item.node < own, item.node),
        )
        by_zone: dict[bool, PeerNode] = {}
        for report in reports:
            is_near = zones.get(report.node) == self._record.zone
            if is_near not in by_zone and report.address is not None:
                by_zone[is_near] = PeerNode(report.process, report.address)
        return list(by_zone.values())

    def stream_peers(self, now: float) -> list[StreamPeer]:
        """Return the other nodes that were heard lately, as holders of streams' events."""
        zones = {record.name: record.zone for record in self._peers}
        return [
            StreamPeer(
                name=report.node,
                process=report.process,
                address=report.address,
                region=self._topology.region_of(zones[report.node]),
            )
            for report in self._engines.fresh_reports(now)
            if report.address is not None and report.node in zones
        ]

    def heard_processes(self, now: float) -> set[ReplicaId]:
        """Return the processes of other nodes whose reports are fresh."""
        return {report.process for report in self._engines.fresh_reports(now)}

    def _sort_by_distance(self, reports: list[LoadReport]) -> list[PeerNode]:
        zones = {record.name: record.zone for record in self._peers}
        reachable = [report for report in reports if report.address is not None]

        def order(report: LoadReport) -> tuple[bool, Distance, NodeName]:
            zone = zones.get(report.node, "")
            return zone != self._record.zone, self._topology.distance(zone), report.node

        reachable.sort(key=order)
        return [PeerNode(item.process, item.address) for item in reachable if item.address]

    # ------------------------------------------------------------ received reports

    def handle_report(self, report: LoadReport, now: float) -> None:
        """Handle a report sent by its own node."""
        self._heard_at[report.node] = now
        self._engines.apply_node_report(report, now)
        if self.uses_relays:
            self._collected[report.node] = report
            self._schedule_digest(now, has_losses=_is_urgent(report))

    def handle_digest(self, digest: LoadDigest, now: float) -> None:
        """Handle a digest of a relay."""
        self._heard_at[digest.sender] = now
        for report in digest.reports:
            if report.node != self._record.name:
                self._engines.apply_node_report(report, now)
        comes_from_elsewhere = digest.zone != self._record.zone
        if comes_from_elsewhere and self.relay(now).name == self._record.name:
            self._collected_from_zones.update((report.node, report) for report in digest.reports)
            has_losses = any(_is_urgent(report) for report in digest.reports)
            self._schedule_digest(now, has_losses=has_losses)

    def _schedule_digest(self, now: float, *, has_losses: bool = False) -> None:
        if self._next_digest is None:
            self._next_digest = now + DIGEST_INTERVAL_SECONDS * self._interval_factor
        if has_losses:
            self._next_digest = min(self._next_digest, now + LOSS_INTERVAL_SECONDS)

    # ------------------------------------------------------------ sent reports

    def next_deadline(self) -> float:
        """Return when :meth:`tick` is due."""
        if self._next_digest is None:
            return self._next_report
        return min(self._next_report, self._next_digest)

    def tick(self, state: NodeStatus, now: float) -> list[Effect]:
        """Send the report and the digest that are due."""
        effects = self._report(state, now)
        if self._next_digest is not None and now >= self._next_digest:
            effects.extend(self._send_collected(now))
        return effects

    def _report(self, state: NodeStatus, now: float) -> list[Effect]:
        if now >= self._next_load_check and self._reported_changes != self._engines.local_changes:
            interval = (
                RELAYED_REPORT_INTERVAL_SECONDS if self.uses_relays else REPORT_INTERVAL_SECONDS
            )
            self._next_load_check = now + interval * self._interval_factor
            if self._engines.any_busy(now):
                self._next_report = now
        if state.watches and state.revision != self._reported_revision:
            self._next_report = now
        if state.losses_version != self._reported_losses:
            self._next_report = min(self._next_report, self._last_report + LOSS_INTERVAL_SECONDS)
        if now < self._next_report:
            return []
        self._reported_revision = state.revision
        self._reported_losses = state.losses_version
        self._last_report = now
        self._engines.drop_stale_reports(now)
        self._reported_changes = self._engines.local_changes
        self._next_report = now + IDLE_REPORT_INTERVAL_SECONDS * self._interval_factor
        loads = self._engines.local_loads(now)
        self._sequence += 1
        report = LoadReport(
            node=self._record.name,
            sequence=self._sequence,
            loads=loads,
            waiting=state.waiting,
            revision=state.revision,
            reaches_ledger=state.reaches_ledger,
            watches=state.watches,
            process=self._process,
            address=self._record.address,
            losses=state.losses() or UNSET,
            isolated=state.isolated or UNSET,
        )
        return self._send_report(report, now)

    def _send_report(self, report: LoadReport, now: float) -> list[Effect]:
        if not self.uses_relays:
            return [SendDatagram(address=peer.address, message=report) for peer in self._peers]
        relay = self.relay(now)
        if relay.name != self._record.name:
            return [SendDatagram(address=relay.address, message=report)]
        self._collected[report.node] = report
        self._schedule_digest(now, has_losses=_is_urgent(report))
        return []

    def _send_collected(self, now: float) -> list[Effect]:
        """Send all collected reports within the zone, and the zone's own to other zones."""
        self._next_digest = None
        own_zone = list(self._collected.values())
        others = [
            item for name, item in self._collected_from_zones.items() if name not in self._collected
        ]
        self._collected = {}
        self._collected_from_zones = {}
        members = [record for record in self._zone_nodes if record.name != self._record.name]
        effects = self._send_digests(own_zone + others, members)
        for_regions = self._reports_for_regions(own_zone, now)
        for zone in sorted(self._other_zones):
            is_far = self._topology.distance(zone) is Distance.OTHER_REGION
            reports = for_regions if is_far else own_zone
            effects.extend(self._send_digests(reports, self._relays_of(zone, now)))
        return effects

    def _reports_for_regions(self, own_zone: list[LoadReport], now: float) -> list[LoadReport]:
        """Return the latest report of each node of this zone if other regions are due for them."""
        if not self._topology.has_regions:
            return []
        self._collected_for_regions.update((report.node, report) for report in own_zone)
        if not self._collected_for_regions:
            return []
        self._digests_since_regions += 1
        # A quiet zone has few digests; its nodes count as silent if their reports come too late.
        latest_seconds = RELAY_TIMEOUT_SECONDS - IDLE_REPORT_INTERVAL_SECONDS
        is_late = now - self._last_region_digest_at >= latest_seconds * self._interval_factor
        if self._digests_since_regions < OTHER_REGION_DIGEST_INTERVALS and not is_late:
            return []
        self._digests_since_regions = 0
        self._last_region_digest_at = now
        reports = list(self._collected_for_regions.values())
        self._collected_for_regions = {}
        return reports

    def _relays_of(self, zone: str, now: float) -> list[NodeRecord]:
        """Return the relay of another zone, or the candidates if it is unknown."""
        zone_nodes = self._other_zones[zone]
        heard = [item for item in zone_nodes if self._was_heard_lately(item.name, now)]
        return heard[:1] or zone_nodes[:MAX_RELAY_CANDIDATES]

    def _was_heard_lately(self, name: NodeName, now: float) -> bool:
        last = self._heard_at.get(name)
        return last is not None and now - last <= RELAY_TIMEOUT_SECONDS * self._interval_factor

    def _send_digests(self, reports: list[LoadReport], to: list[NodeRecord]) -> list[Effect]:
        effects: list[Effect] = []
        for start in range(0, len(reports), MAX_REPORTS_PER_DIGEST):
            digest = LoadDigest(
                sender=self._record.name,
                zone=self._record.zone,
                reports=tuple(reports[start : start + MAX_REPORTS_PER_DIGEST]),
            )
            effects.extend(SendDatagram(address=item.address, message=digest) for item in to)
        return effects


def _is_urgent(report: LoadReport) -> bool:
    """Return whether a report tells of requests that may end engines."""
    return bool(report.losses) or bool(report.isolated)
