"""What a node tells operators about itself (``gateway.interfaces.AdminReader``)."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from yokeline.gateway.interfaces import RecoveryDone
from yokeline.gateway.requests import RecoverBody
from yokeline.identifiers import ShardId
from yokeline.membership.detector import Membership
from yokeline.membership.view import MemberState
from yokeline.messages.types import ShardLeader
from yokeline.scheduling.directory import EngineDirectory, EngineRecord
from yokeline.server.copy_rows import CopyRow, copy_rows
from yokeline.server.recovery import RecoveryOrder, ShardRecovery
from yokeline.shards.host import ShardHost
from yokeline.shards.status import ShardState, ShardStatus
from yokeline.store.client import KeyValueClient
from yokeline.store.configuration import ConfigurationSync

ELSEWHERE = "elsewhere"


class NodeRow(msgspec.Struct, frozen=True, kw_only=True):
    """A node as the answering node sees it."""

    name: str
    replica: str
    zone: str
    region: str
    state: str
    peer_address: str
    http_address: str
    incarnation: int


class ShardRow(msgspec.Struct, frozen=True, kw_only=True):
    """A shard as the answering node sees it; details where it holds a replica.

    Attributes:
        state: State of the local replica; where there is none, ``elsewhere``, or
            ``majority_lost`` once this node knows that no quorum is left.
    """

    shard: int
    state: str
    leader: str | None
    term: int
    members: tuple[str, ...]
    dead: tuple[str, ...] = ()
    applied_index: int | None = None
    log_entries: int | None = None
    runs: int | None = None


class EngineRow(msgspec.Struct, frozen=True, kw_only=True):
    """A model engine as the answering node sees it.

    Attributes:
        sent_from_here: Calls of this node that are under way there.
        report_age_seconds: Age of the load report; None before the first.
    """

    name: str
    pool: str
    address: str
    labels: dict[str, str]
    models: tuple[str, ...]
    state: str
    running: int | None
    waiting: int | None
    cache_tokens_used: int | None
    sent_from_here: int
    report_age_seconds: float | None


class NodeAdmin:
    """Reads the components of a node for its admin API.

    Attributes:
        transport_counters: Returns the counters of the transports that the node is bound to,
            by metric name; set by whoever binds the node.
    """

    def __init__(
        self,
        membership: Membership,
        host: ShardHost,
        directory: EngineDirectory,
        configuration: ConfigurationSync,
        store: KeyValueClient,
        shard_count: int,
        clock: Callable[[], float],
        drain: Callable[[], None],
        recovery: ShardRecovery,
        wall: Callable[[], float],
    ) -> None:
        """Create the reader; ``clock`` and ``wall`` give the time of the current event."""
        self._membership = membership
        self._host = host
        self._directory = directory
        self._configuration = configuration
        self._store = store
        self._shard_count = shard_count
        self._clock = clock
        self._drain = drain
        self._recovery = recovery
        self._wall = wall
        self.transport_counters: Callable[[], Mapping[str, float]] = dict

    def nodes(self) -> tuple[NodeRow, ...]:
        """Return the members of the deployment, dead ones too."""
        return tuple(
            NodeRow(
                name=member.name,
                replica=member.replica,
                zone=member.zone,
                region=member.region,
                state=member.state.value,
                peer_address=str(member.address),
                http_address=str(member.http_address),
                incarnation=member.incarnation,
            )
            for member in self._membership.members()
        )

    def shards(self) -> tuple[ShardRow, ...]:
        """Return all shards, with details of those that have a replica here."""
        here = {status.shard: status for status in self._host.status()}
        return tuple(
            self._shard_row(ShardId(number), here.get(ShardId(number)))
            for number in range(self._shard_count)
        )

    def _shard_row(self, shard: ShardId, status: ShardStatus | None) -> ShardRow:
        if status is not None:
            return ShardRow(
                shard=shard,
                state=status.state.value,
                leader=status.leader,
                term=status.term,
                members=status.members,
                dead=status.dead,
                applied_index=status.applied_index,
                log_entries=status.log_entries,
                runs=status.runs,
            )
        leader = self._host.leader_of(shard)
        lost = self._recovery.is_lost(shard)
        members = self._host.members_of(shard)
        return ShardRow(
            shard=shard,
            state=ShardState.MAJORITY_LOST.value if lost else ELSEWHERE,
            leader=None if leader is None or lost else leader.leader,
            term=0 if leader is None else leader.term,
            members=members,
            dead=tuple(member for member in members if lost and self._host.is_dead(member)),
        )

    def copies(self) -> tuple[CopyRow, ...]:
        """Return the copies of shards that this node holds for a recovery."""
        shards = [ShardId(number) for number in range(self._shard_count)]
        name = self._membership.own.name
        return copy_rows(self._recovery, self._host.copies, shards, name, self._wall())

    def recover(self, shard: ShardId, body: RecoverBody, done: RecoveryDone) -> None:
        """Start a shard that lost its majority from a copy; ``done`` is called once."""
        order = RecoveryOrder(
            last_term=body.last_term,
            last_index=body.last_index,
            seen_term=body.seen_term,
            doubt_seconds=body.doubt_seconds,
        )
        self._recovery.recover(shard, order, done)

    def engines(self) -> tuple[EngineRow, ...]:
        """Return the engines that the configuration and the machine list name."""
        return tuple(self._engine_row(record) for record in self._directory.views())

    def _engine_row(self, record: EngineRecord) -> EngineRow:
        report = record.report
        age = None
        if report is not None:
            age = self._clock() - record.reported_at + report.age_seconds
        return EngineRow(
            name=record.name,
            pool=record.pool.name,
            address=str(record.address),
            labels=record.labels,
            models=record.pool.models,
            state=record.state(),
            running=None if report is None else report.running,
            waiting=None if report is None else report.waiting,
            cache_tokens_used=None if report is None else report.cache_tokens_used,
            sent_from_here=self._directory.sent_to(record.name),
            report_age_seconds=age,
        )

    def live_nodes(self) -> int:
        """Return how many nodes are alive, this one included."""
        states = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.JOINING)
        return max(1, sum(1 for member in self._membership.alive() if member.state in states))

    def gauges(self) -> dict[str, float]:
        """Return the current values of this node's gauges."""
        statuses = self._host.status()
        return {
            "yokeline_nodes_alive": float(self.live_nodes()),
            "yokeline_shards_led": float(len(self._host.led_shards())),
            "yokeline_shard_replicas": float(len(statuses)),
            "yokeline_shards_majority_lost": float(
                sum(1 for row in self.shards() if row.state == ShardState.MAJORITY_LOST.value)
            ),
            "yokeline_runs_held": float(sum(status.runs for status in statuses)),
            "yokeline_configuration_revision": float(self._configuration.revision()),
            "yokeline_store_available": float(self._store.available),
            "yokeline_engines_usable": float(
                sum(1 for record in self._directory.views() if record.usable(""))
            ),
        }

    def unready_reasons(self) -> list[str]:
        """Return why this node should get no requests; empty if it is ready."""
        reasons = []
        if not self._configuration.ready():
            reasons.append("the configuration in force is not known yet")
        unknown = sum(
            1
            for number in range(self._shard_count)
            if not self._leader_alive(self._host.leader_of(ShardId(number)))
        )
        if unknown:
            reasons.append(f"{unknown} of {self._shard_count} shards have no known live leader")
        if self._membership.own.state is MemberState.LEAVING:
            reasons.append("the node is in a planned stop")
        return reasons

    def _leader_alive(self, news: ShardLeader | None) -> bool:
        return news is not None and not self._membership.is_dead(news.leader)

    def drain(self) -> None:
        """Begin a planned stop of this node."""
        self._drain()
