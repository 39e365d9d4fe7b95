"""Service of a storage node: a ledger replica, requests to it, and membership of its group."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec
from returns.result import Success

from yokeline.consensus.messages import AppendEntries
from yokeline.effects import (
    Effect,
    Event,
    Exit,
    FileRefused,
    FileSynced,
    Interruption,
    LogRecord,
    PeerMessage,
    ReloadRequested,
    SendPeer,
    StopRequested,
)
from yokeline.identifiers import ExchangeId, NodeName, ReplicaId, node_name_of
from yokeline.ledger.bootstrap import Bootstrap
from yokeline.ledger.history_service import HistoryService
from yokeline.ledger.joining import JoinRequester
from yokeline.ledger.leadership import LeadershipTracker
from yokeline.ledger.members import (
    MIN_LOST_SILENCE_SECONDS,
    AddMember,
    GroupView,
    HandOver,
    JoinRequest,
    MembershipStep,
    next_step,
)
from yokeline.ledger.messages import (
    HistoryAsk,
    Join,
    LeaderAnswer,
    LeaderQuery,
    LedgerRequest,
    MissingTexts,
    ReplicaMessage,
    TextCopy,
)
from yokeline.ledger.regional_text_store import RegionalTextStore
from yokeline.ledger.regional_texts import TextNode
from yokeline.ledger.replica import LedgerReplica
from yokeline.ledger.request_batches import RequestBatches
from yokeline.ledger.survivor_claim import SurvivorClaim
from yokeline.ledger.survivor_copies import CopyReader, CopyWriter, replay
from yokeline.registry.client import RegistryClient
from yokeline.registry.formats import DeploymentFormats
from yokeline.registry.nodes import (
    NODE_PREFIX,
    NodeRecord,
    encode_node,
    node_key,
    read_node,
    read_nodes,
    storage_nodes,
)
from yokeline.start_phases import StartPhases

MEMBERSHIP_PERIOD_SECONDS = 0.1
SURVIVOR_TIMEOUT_SECONDS = 1.5
"""Silence of the other of two members after which this one tries to continue alone."""
TEXT_NODES_PERIOD_SECONDS = 0.5
HANDOVER_SECONDS = 0.5
"""Time for transferring leadership during a planned stop."""


class StorageNode:
    """A storage node, without I/O.

    Attributes:
        disk_refusals: Times at which the disk began to refuse writes.
    """

    def __init__(
        self,
        *,
        record: NodeRecord,
        replica: LedgerReplica,
        registry: RegistryClient,
        formats: DeploymentFormats,
        wall: Callable[[], float],
        phases: StartPhases,
        now: float,
        texts: RegionalTextStore | None = None,
        zone_regions: Mapping[str, str] | None = None,
        memory_bytes: float = 0.0,
    ) -> None:
        """Create the service.

        ``wall`` returns seconds since the epoch, ``memory_bytes`` is what the process may use; 0 if
        not known.
        """
        self.replica = replica
        self.texts = texts
        self._zone_regions = dict(zone_regions or {})
        if texts is not None and texts.is_needed:
            record = msgspec.structs.replace(record, holds_texts=True)
        self.phases = phases
        self._record = record
        self._registry = registry
        self._formats = formats
        self._joins: dict[NodeName, JoinRequest] = {}
        self._lost: frozenset[ReplicaId] = frozenset()
        self._superseded_replicas: set[ReplicaId] = set()
        self._leadership = LeadershipTracker()
        stamp = str(int(wall() * 1000))
        self._survivor_claim = SurvivorClaim(record.replica, registry, stamp)
        self._copies = CopyWriter(replica, registry)
        self._copy_reader = CopyReader(registry)
        self._presumed_lost: ReplicaId | None = None
        self._replaced: dict[ReplicaId, ReplicaId] = {}
        """Members that have lost their disks, and the replicas that took their places."""
        self._next_membership_update = now
        self._bootstrap = Bootstrap(record, replica, registry)
        self._join_requester = JoinRequester(record, replica, registry, now)
        self._reported_retirements: dict[NodeName, bool] = {}
        self._next_text_nodes = now
        self._stop_at: float | None = None
        self._effects: list[Effect] = []
        self.batches = RequestBatches(replica, wall, now, memory_bytes)
        self._histories = HistoryService(replica)
        self.disk_refusals = 0
        self._refused_since: float | None = None
        self._created_at = now
        self._pending_phases: dict[str, Callable[[], bool]] = {
            "disk": lambda: True,
            "registry": lambda: registry.complete,
            "leader": lambda: replica.group.leader is not None,
            "applied": lambda: replica.group.leader is not None and replica.has_applied_all,
        }

    # ------------------------------------------------------------ service

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event and return effects."""
        self.batches.note_time(now)
        effects = self._effects = []
        is_handled, _changed, log = self._registry.take(event, now)
        effects.extend(log)
        if not is_handled:
            effects.extend(self._handle_event(event, now))
        self._bootstrap.register()
        self._registry.follow(self._needs_no_watch(now))
        effects.extend(self._registry.tick(now))
        if now >= self.replica.next_deadline():
            effects.extend(self.replica.tick(now))
        effects.extend(self.batches.tick(now))
        effects.extend(self._histories.tick(now))
        effects.extend(self._tick_texts(now))
        effects.extend(self._tick_bootstrap(now))
        join_requests = self._join_requester.tick(now)
        if not self.replica.disk_refuses:
            effects.extend(join_requests)
        effects.extend(self._try_sole_survivor(now))
        effects.extend(self._end_presumption(now))
        effects.extend(self._copies.tick(now))
        effects.extend(self._copy_reader.tick(now))
        effects.extend(self._mark_replaced(now))
        effects.extend(self._update_membership(now))
        effects.extend(self._log_start_phases(now))
        if self._stop_at is not None and now >= self._stop_at:
            effects.append(LogRecord(event="stopped", fields={"node": self._record.name}))
            effects.append(Exit())
        return effects

    def interruption(self) -> Interruption:
        """Return what was done with the latest event, whose handling raised.

        Without it a write that was decided would be dropped, and the sync of a later one would
        count it as written.
        """
        return Interruption(effects=self._effects, is_handled=True)

    def has_open(self, exchange: ExchangeId) -> bool:
        """Return whether an exchange has no final answer yet; this node has no callers."""
        return True

    def _log_start_phases(self, now: float) -> list[LogRecord]:
        """Log how long each phase of the start took."""
        lines: list[LogRecord] = []
        for phase, is_reached in list(self._pending_phases.items()):
            if is_reached():
                del self._pending_phases[phase]
                at = self._created_at if phase == "disk" else now
                lines.extend(self.phases.reached(phase, at))
        return lines

    def next_deadline(self) -> float | None:
        """Return when a tick is due."""
        dues = [self.replica.next_deadline(), self._next_membership_update]
        for due in (self._registry.next_deadline(), self._histories.next_deadline()):
            if due is not None:
                dues.append(due)
        text_due = self.texts.next_deadline() if self.texts is not None else None
        if text_due is not None:
            dues.append(text_due)
        if self._stop_at is not None:
            dues.append(self._stop_at)
        return min(dues)

    # ------------------------------------------------------------ events

    def _handle_event(self, event: Event, now: float) -> list[Effect]:
        if self._copy_reader.owns(event):
            return self._copy_reader.handle(event, now)
        if isinstance(event, PeerMessage):
            return self._handle_message(event, now)
        if isinstance(event, FileSynced):
            effects = self._note_disk_accepts(now)
            if event.ticket < 0 and self.texts is not None:
                # The refused write may have been one of texts only, so that none of the replica
                # follows; it would stay silent and never write again.
                self.replica.disk_accepts()
                return [*effects, *self.texts.synced(event.ticket)]
            return [*effects, *self.replica.synced(event.ticket)]
        if isinstance(event, FileRefused):
            return self._handle_refusal(event, now)
        if isinstance(event, StopRequested):
            return self._begin_shutdown(now)
        if isinstance(event, ReloadRequested):
            return [LogRecord(event="reloaded", fields={"node": self._record.name})]
        return []

    def _handle_refusal(self, event: FileRefused, now: float) -> list[Effect]:
        """Hand leadership over and say that this node cannot write, once for each refusal."""
        if self._refused_since is not None:
            return []
        self._refused_since = now
        self.disk_refusals += 1
        fields: dict[str, str | int | float | bool | None] = {
            "reason": event.reason,
            "led": self.replica.leads,
            "member": self.replica.is_member,
        }
        log = LogRecord(event="ledger_disk_refuses", fields=fields, level="error")
        return [log, *self.replica.refused(now)]

    def _note_disk_accepts(self, now: float) -> list[LogRecord]:
        if self._refused_since is None:
            return []
        seconds = round(now - self._refused_since, 3)
        self._refused_since = None
        return [LogRecord(event="ledger_disk_accepts", fields={"seconds": seconds})]

    def _handle_message(self, event: PeerMessage, now: float) -> list[Effect]:
        message = event.message
        if isinstance(message, ReplicaMessage):
            return self.replica.step(event.sender, message, now)
        if isinstance(message, LedgerRequest):
            return self.batches.take(event.sender, message, now)
        if isinstance(message, TextCopy):
            return self.replica.take_text(message, now)
        if isinstance(message, MissingTexts):
            self.replica.note_missing_text(event.sender, now)
            return []
        if isinstance(message, HistoryAsk):
            return self._histories.handle_request(event.sender, message, now)
        if isinstance(message, LeaderQuery):
            return [self._leader_answer(event.sender, message)]
        if isinstance(message, LeaderAnswer):
            self._join_requester.take_leader_answer(message, now)
            return []
        if isinstance(message, Join):
            return [*self._answer_join(message), *self._note_join_request(message, now)]
        if self.texts is not None:
            return self.texts.handle(event.sender, message, now) or []
        return []

    def _answer_join(self, request: Join) -> list[Effect]:
        """Tell a node that asks to join which replica leads, if known."""
        leader = self.replica.leader_hint()
        if leader is None:
            return []
        answer = LeaderAnswer(term=self.replica.group.term, leader=leader)
        return [SendPeer(to=request.replica, address=request.address, message=answer)]

    def _leader_answer(self, sender: ReplicaId, query: LeaderQuery) -> SendPeer:
        answer = LeaderAnswer(term=self.replica.group.term, leader=self.replica.leader_hint())
        return SendPeer(to=sender, address=query.asker, message=answer)

    def _begin_shutdown(self, now: float) -> list[Effect]:
        """Transfer leadership, then stop."""
        if self._stop_at is not None:
            return []
        self._stop_at = now + HANDOVER_SECONDS
        effects: list[Effect] = [LogRecord(event="stopping", fields={"node": self._record.name})]
        others = [item for item in self.replica.group.members if item != self.replica.replica]
        if self.replica.leads and others:
            silence = self.replica.group.follower_silence(now)
            target = min(others, key=lambda item: silence.get(item, 0.0))
            effects.extend(self.replica.hand_over(target, now))
        return effects

    # ------------------------------------------------------------ bootstrap, joining, sole survivor

    def _tick_texts(self, now: float) -> list[Effect]:
        """Check the copies of regional texts, and register whether this node is needed for them."""
        texts = self.texts
        if texts is None or texts.next_deadline() is None and not self._record.holds_texts:
            return []
        if now >= self._next_text_nodes:
            self._next_text_nodes = now + TEXT_NODES_PERIOD_SECONDS
            texts.set_nodes(self._text_nodes())
        texts.defers_compaction = self.replica.leads
        effects = texts.tick(now)
        if texts.is_needed != self._record.holds_texts:
            self._record = msgspec.structs.replace(self._record, holds_texts=texts.is_needed)
            self._registry.write(node_key(self._record.name), encode_node(self._record), now)
        return effects

    def _text_nodes(self) -> list[TextNode]:
        """Return the storage nodes as places of regional texts."""
        retiring = self._retiring()
        return [
            TextNode(
                name=record.name,
                replica=record.replica,
                address=record.address,
                region=self._zone_regions.get(record.zone, ""),
                is_retiring=record.name in retiring,
            )
            for record in storage_nodes(self._registry.items(NODE_PREFIX).values())
        ]

    def _needs_no_watch(self, now: float) -> bool:
        """Return whether this node need not watch the key-value service.

        The leader watches it for the operator's orders, and nodes with regional texts for the nodes
        that are to have copies; other replicas watch it only while they know no leader, because
        each call to the service is billed.
        """
        if self.texts is not None and not self.texts.is_empty:
            return False
        if self._survivor_claim.needs_registry:
            return False
        return not self.replica.leads and self._join_requester.knows_leader(now)

    def _tick_bootstrap(self, now: float) -> list[Effect]:
        effects = self._bootstrap.tick(now)
        if effects:
            self._join_requester.leader_seen_at = now  # the group had no leader before
        return effects

    def _note_join_request(self, request: Join, now: float) -> list[Effect]:
        """Note a join request; a member's node with a new replica id has lost its disk."""
        if request.replica in self._superseded_replicas | self._lost | self._replaced.keys():
            return []
        known = self._joins.get(request.node)
        if known is not None and known.replica != request.replica:
            self._superseded_replicas.add(known.replica)
        self._joins[request.node] = JoinRequest(request.replica, request.address, now)
        self.replica.learn_address(request.replica, request.address)
        silence = self.replica.group.follower_silence(now)
        lost = {
            member
            for member in self.replica.group.members
            if node_name_of(member) == request.node
            and member != request.replica
            and (not self.replica.leads or silence.get(member, 0.0) > MIN_LOST_SILENCE_SECONDS)
        }
        self._replaced.update(dict.fromkeys(lost - self._lost, request.replica))
        return self._mark_replaced(now)

    def _mark_replaced(self, now: float) -> list[Effect]:
        """Exclude replaced replicas from majorities, once their copies have been replayed."""
        effects: list[Effect] = []
        for member, successor in list(self._replaced.items()):
            copies = self._copies_of(member, now)
            if copies is None:
                continue
            del self._replaced[member]
            effects.extend(replay(self.replica, member, copies, now))
            effects.extend(
                self._mark_lost({member}, successor=successor, reason="its disk is empty")
            )
        return effects

    def _copies_of(self, member: ReplicaId, now: float) -> list[AppendEntries] | None:
        """Return what a lost peer may have committed alone; None while it is being read.

        Also a leader reads it: it may have been frozen, while its follower continued alone.
        """
        group = self.replica.group
        if len(group.members) != 2 or member not in group.members or not self.replica.is_member:
            return []
        if self._presumed_lost == member:
            return []
        return self._copy_reader.find(group.configuration_index, member, now)

    def _mark_lost(self, lost: set[ReplicaId], *, successor: str, reason: str) -> list[Effect]:
        """Exclude replicas from majorities until they are removed."""
        if not lost - self._lost:
            return []
        self._lost = self._lost | lost
        self._set_lost()
        fields: dict[str, str | int | float | bool | None] = {
            "replicas": " ".join(sorted(lost)),
            "successor": successor,
            "reason": reason,
        }
        return [LogRecord(event="replica_lost", fields=fields, level="warning")]

    def _forget_removed(self) -> None:
        """Count removed replicas again if they are added again."""
        still_members = self._lost & frozenset(self.replica.group.members)
        if still_members != self._lost:
            self._lost = still_members
            self._set_lost()

    def _set_lost(self) -> None:
        """Exclude lost replicas, and the one that is presumed lost, from majorities."""
        presumed = {self._presumed_lost} if self._presumed_lost is not None else set()
        self.replica.set_lost(self._lost | presumed)

    def _try_sole_survivor(self, now: float) -> list[Effect]:
        """Let one of two members continue without the other, which may be lost for good.

        In a group of two, every committed entry is on both members, so either may continue alone,
        but not both. The key-value service decides (:mod:`survivor_claim`). The configuration must
        be committed, because a larger group could otherwise continue elsewhere.
        """
        group = self.replica.group
        if len(group.members) != 2 or not self.replica.is_member or group.membership_pending:
            return []
        if self.replica.disk_refuses or not self._registry.complete:
            return []
        other = next(item for item in group.members if item != self.replica.replica)
        if other in self._lost or other == self._presumed_lost:
            return []
        if now - self._join_requester.leader_seen_at < SURVIVOR_TIMEOUT_SECONDS:
            # A replica that has just started has seen no leader, whatever the time says.
            if group.leader is None or (self.replica.leads and not group.has_caught_up(other)):
                return []
            return [*self._survivor_claim.release(group.configuration_index, now)]
        was_blocked = bool(self._survivor_claim.blocked_by)
        if not self._survivor_claim.may_continue(group.configuration_index, now):
            is_blocked = bool(self._survivor_claim.blocked_by)
            return [] if was_blocked or not is_blocked else [self._blocked_record(other)]
        return [self._presume_lost(other)]

    def _presume_lost(self, other: ReplicaId) -> LogRecord:
        """Continue without the other member, with copies of what is committed alone."""
        self._presumed_lost = other
        self._set_lost()
        self._copies.begin(self.replica.group.configuration_index)
        fields: dict[str, str | int | float | bool | None] = {
            "replicas": other,
            "successor": "",
            "reason": "the key-value service chose this replica as the survivor",
        }
        return LogRecord(event="replica_lost", fields=fields, level="warning")

    def _end_presumption(self, now: float) -> list[Effect]:
        """Count the other member again once it holds what was committed alone, or is removed."""
        other = self._presumed_lost
        if other is None:
            return []
        group = self.replica.group
        is_settled = other not in group.members or other in self._lost
        if self.replica.leads and not group.membership_pending:
            is_settled = is_settled or group.has_caught_up(other)
        elif group.leader not in (None, self.replica.replica):
            is_settled = True
        if not is_settled:
            return []
        self._presumed_lost = None
        self._set_lost()
        fields: dict[str, str | int | float | bool | None] = {
            "replica": other,
            "copied_bytes": self._copies.copied_bytes,
        }
        return [LogRecord(event="survivor_ended", fields=fields), *self._copies.end(now)]

    def _blocked_record(self, other: ReplicaId) -> LogRecord:
        """Say why this member cannot lead, although it holds all entries."""
        fields: dict[str, str | int | float | bool | None] = {
            "reason": "the key-value service chose the other member as the survivor",
            "survivor": self._survivor_claim.blocked_by,
            "other": other,
            "term": self.replica.group.term,
            "configuration": self.replica.group.configuration_index,
        }
        return LogRecord(event="ledger_cannot_lead", fields=fields, level="error")

    @property
    def is_blocked(self) -> bool:
        """Whether this node may not lead since the other member was chosen as the survivor."""
        is_group_of_two = len(self.replica.group.members) == 2
        return is_group_of_two and not self.replica.leads and bool(self._survivor_claim.blocked_by)

    # ------------------------------------------------------------ members

    def _update_membership(self, now: float) -> list[Effect]:
        """Apply the next membership change, if this replica leads."""
        if now < self._next_membership_update:
            return []
        self._next_membership_update = now + MEMBERSHIP_PERIOD_SECONDS
        group = self.replica.group
        is_leader = self.replica.leads
        self._leadership.observe(
            is_leader=is_leader, term=group.term, members=group.members, now=now
        )
        if not group.membership_pending:
            self._forget_removed()
        if not is_leader or not group.may_change_members():
            return []
        if self.replica.needs_compaction:
            return self._hand_over_to_compact(now)
        retiring = self._retiring()
        effects = self._report_retirement(retiring, now)
        view = GroupView(
            own=self.replica.replica,
            members=group.members,
            joins=self._joins,
            silence=group.follower_silence(now),
            retiring=frozenset(retiring),
            lost=self._removable(),
            caught_up=frozenset(item for item in group.members if group.has_caught_up(item)),
            leads_since=self._leadership.since,
            has_read_orders=self._registry.complete
            and self._registry.heard_at() >= self._leadership.since,
            former=self._leadership.former_members,
            zones=self._zones(),
        )
        step = next_step(view, now)
        if step is not None:
            effects.append(_membership_record(step, view))
            effects.extend(self._apply_step(step, now))
        return effects

    def _removable(self) -> frozenset[ReplicaId]:
        """Return the members to remove first.

        The member that is presumed lost stays until a successor holds all entries: without it in
        the configuration, it could not lead if this replica lost its disk.
        """
        other, group = self._presumed_lost, self.replica.group
        if other is None:
            return self._lost
        has_successor = any(
            group.has_caught_up(item)
            for item in group.members
            if item not in (other, self.replica.replica)
        )
        return self._lost | {other} if has_successor or self._copies.is_exhausted else self._lost

    def _zones(self) -> dict[NodeName, str]:
        """Return the zones of the members and of the nodes that ask to join."""
        names = {node_name_of(member) for member in self.replica.group.members}
        items = (self._registry.item(node_key(name)) for name in names | set(self._joins))
        records = read_nodes(item for item in items if item is not None)
        return {record.name: record.zone for record in records}

    def _hand_over_to_compact(self, now: float) -> list[Effect]:
        """Transfer leadership, so that this replica can compact its log."""
        group = self.replica.group
        successor = next(
            (
                member
                for member in group.members
                if member != self.replica.replica
                and member not in self._lost
                and group.has_caught_up(member)
            ),
            None,
        )
        if successor is None:
            return []
        fields: dict[str, str | int | float | bool | None] = {
            "successor": successor,
            "reason": "log compaction",
        }
        log = LogRecord(event="leadership_handed_over", fields=fields)
        return [log, *self.replica.hand_over(successor, now)]

    def _apply_step(self, step: MembershipStep, now: float) -> list[Effect]:
        if isinstance(step, AddMember):
            return self.replica.add_member(step.replica, now)
        if isinstance(step, HandOver):
            return self.replica.hand_over(step.replica, now)
        return self.replica.remove_member(step.replica, now)

    def _retiring(self) -> set[NodeName]:
        nodes: set[NodeName] = set()
        for key, item in self._registry.items(self._formats.retire_prefix).items():
            order = self._formats.read_retire_order(key, item.value or b"")
            if isinstance(order, Success):
                nodes.add(NodeName(order.unwrap().node))
        return nodes

    def _holds_texts(self, node: NodeName) -> bool:
        """Return whether a node registers regional texts that need it."""
        item = self._registry.item(node_key(node))
        read = read_node(item) if item is not None else None
        return isinstance(read, Success) and read.unwrap().holds_texts

    def _report_retirement(self, retiring: set[NodeName], now: float) -> list[Effect]:
        """Report the progress of each retirement, once for each change."""
        effects: list[Effect] = []
        members = {node_name_of(member) for member in self.replica.group.members}
        for node in sorted(retiring):
            completed = node not in members and not self._holds_texts(node)
            if self._reported_retirements.get(node) is completed:
                continue
            self._reported_retirements[node] = completed
            key, value = self._formats.retire_status(node, completed=completed)
            self._registry.write(key, value, now)
            fields: dict[str, str | int | float | bool | None] = {
                "node": node,
                "completed": completed,
                "term": self.replica.group.term,
            }
            effects.append(LogRecord(event="retire_step", fields=fields))
        return effects


def _membership_record(step: MembershipStep, view: GroupView) -> LogRecord:
    fields: dict[str, str | int | float | bool | None] = {
        "step": type(step).__name__,
        "replica": step.replica,
        "members": " ".join(view.members),
        "silence": round(view.silence.get(step.replica, 0.0), 3),
    }
    fields["reason"] = getattr(step, "reason", "")
    return LogRecord(event="membership_step", fields=fields)
