"""One replica of the ledger: the Raft group, its state machine, and what is on the disk.

Nothing that follows from a change of term, vote or log leaves this replica before the change
is on the disk: effects wait, in order, behind the write that they follow from. Writes of one
moment share a sync. While a disk hangs the replica is silent, and the others elect a leader.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import msgspec
from returns.result import Success

from yokeline.consensus.effects import (
    Committed,
    HardStateChanged,
    MembersChanged,
    RaftEffect,
    Restored,
    RoleChanged,
    Send,
)
from yokeline.consensus.group import RaftGroup
from yokeline.consensus.messages import EntryKind, LogEntry, RaftMessage
from yokeline.consensus.settings import RaftSettings
from yokeline.consensus.types import HardState, RaftRole, Snapshot
from yokeline.effects import Address, Effect, LogRecord, SendPeer, SyncFile
from yokeline.identifiers import ReplicaId
from yokeline.ledger.codec import decode_command, decode_state, encode_command, encode_state
from yokeline.ledger.disk_records import (
    AddressesRecord,
    DiskRecord,
    EntriesRecord,
    HardStateRecord,
    IdentityRecord,
    RecoveredLog,
    SnapshotRecord,
    encode_record,
)
from yokeline.ledger.link_utilization import LinkUtilization
from yokeline.ledger.messages import LeaderHint, MissingTexts, ReplicaMessage, TextCopy
from yokeline.ledger.operations import KeptTurn, Operation, OperationResult
from yokeline.ledger.state import LedgerCommand, LedgerState
from yokeline.ledger.text_copies import TextRestorer, TextStripper

LOG_FILE = "ledger.log"
MIN_COMPACT_BYTES = 48 * 1024 * 1024
"""Least size of the log file after which it is replaced by a snapshot and what follows. Each
replica adds up to half of it by lot, so that they do not all stand still at one moment."""
COMPACT_GROWTH_FACTOR = 2.0
"""A file is replaced again once it has grown by this factor: what it holds may be larger than
the least size, and would else be written anew at every sync."""
MAX_APPLIED_PER_TICK = 200
"""Operations applied in one turn of the loop; after a start there are thousands, and a leader
that applies them all in one go sends no heartbeat meanwhile."""
MAX_APPEND_BYTES = 128 * 1024
"""Most bytes of entries in flight to one follower: with four followers on a link of 47 Mbit/s a
heartbeat waits 90 ms behind them, well below the election timeout."""

RAFT_SETTINGS = RaftSettings(
    heartbeat_seconds=0.06,
    idle_heartbeat_seconds=0.1,
    election_timeout_seconds=0.3,
    append_bytes=MAX_APPEND_BYTES,
    snapshot_chunk_bytes=512 * 1024,
    retained_entries=512,
    uses_lease=False,
    prompt_start_seconds=3.0,
    prompt_retry_seconds=0.04,
)

BOOTSTRAP_INDEX = 1
"""Index of the snapshot that all founders begin with."""
BOOTSTRAP_TERM = 1
"""Its term, in which nobody is elected: the first leader's is higher."""

IMMEDIATELY = float("-inf")
"""A time that has always come."""

ResultsCallback = Callable[[tuple[OperationResult, ...] | None], list[Effect]]
"""Told the results of proposed operations; None if they may not have been taken."""


class _DeferredEffects(msgspec.Struct):
    """Effects that wait until the write with this ticket is on the disk."""

    ticket: int
    effects: list[RaftEffect]


class _PendingProposal(msgspec.Struct):
    """Operations proposed in a term, waiting for their entry to be committed."""

    term: int
    callback: ResultsCallback


class LedgerReplica:
    """A replica with its disk; the host routes messages and tickets to it.

    Attributes:
        addresses: Where the other replicas listen.
        first_start: This replica is of the first start of the whole system. The disk remembers
            it, so that a process that ends before the group has begun may still begin it.
    """

    def __init__(
        self,
        *,
        replica: ReplicaId,
        address: Address,
        recovered: RecoveredLog,
        source: random.Random,
        now: float,
        first_start: bool = False,
        link_mbps: float = 0.0,
        settings: RaftSettings = RAFT_SETTINGS,
        compact_bytes: int = MIN_COMPACT_BYTES,
    ) -> None:
        """Start from what was recovered; an empty log makes a newcomer.

        ``link_mbps`` is what the machine's link bears, in megabits a second; 0 if not known.
        """
        self.replica = replica
        self.first_start = first_start or recovered.first_start
        self.addresses = dict(recovered.addresses)
        self._address = address
        self._source = source
        self._settings = settings
        self._ticket = 0
        self._synced_ticket = 0
        self._deferred: deque[_DeferredEffects] = deque()
        self._file_bytes = recovered.valid_bytes
        self._min_compact_bytes = int(compact_bytes * (1.0 + 0.5 * source.random()))
        self._compact_bytes = self._min_compact_bytes
        self._to_apply: deque[LogEntry] = deque()
        self._pending: dict[int, _PendingProposal] = {}
        self._state = self._recovered_state(recovered)
        self._applied = recovered.snapshot.last_index if recovered.snapshot else 0
        self.group = self._new_group(recovered, now)
        self._effects: list[Effect] = []
        self._now = now
        self._link = LinkUtilization(link_mbps)
        self._stripper = TextStripper()
        self._restorer = TextRestorer()
        self._lost: frozenset[ReplicaId] = frozenset()
        self._identity_ticket = 0
        self._saved_addresses = dict(self.addresses)
        if recovered.replica is None:
            self._write([IdentityRecord(replica, self.first_start)], [])
            self._identity_ticket = self._ticket

    # ------------------------------------------------------------ what is known

    @property
    def leads(self) -> bool:
        """Whether this replica leads its group."""
        return self.group.role is RaftRole.LEADER

    @property
    def is_member(self) -> bool:
        """Whether this replica is in the configuration that it knows."""
        return self.replica in self.group.members

    @property
    def identity_saved(self) -> bool:
        """Whether the replica's id is on the disk, so that a restart keeps it."""
        return self._synced_ticket >= self._identity_ticket

    @property
    def is_empty(self) -> bool:
        """Whether this replica holds nothing and belongs to no group yet."""
        return not self.group.members and self.group.last_index == 0

    @property
    def needs_compaction(self) -> bool:
        """Whether the log file has grown enough to be replaced by a snapshot."""
        return self._file_bytes >= self._compact_bytes and self._applied > 0

    @property
    def entries_restored(self) -> int:
        """Entries that this follower has put together with texts from nodes."""
        return self._restorer.restored

    @property
    def messages_missing_texts(self) -> int:
        """Messages of a leader that this follower dropped, since a text did not come."""
        return self._restorer.incomplete

    def leader_hint(self) -> LeaderHint | None:
        """Return the leader and where it listens, if it is known."""
        leader = self.group.leader
        if leader is None:
            return None
        address = self._address if leader == self.replica else self.addresses.get(leader)
        return LeaderHint(leader, address) if address is not None else None

    def state(self) -> LedgerState:
        """Return the state machine (read only)."""
        return self._state

    def next_deadline(self) -> float:
        """Return when :meth:`tick` is due."""
        if self._to_apply or self._effects:
            return IMMEDIATELY
        held = self._restorer.next_deadline()
        due = self.group.next_deadline()
        return due if held is None else min(due, held)

    # ------------------------------------------------------------ events

    def bootstrap(self, founders: tuple[ReplicaId, ...], now: float) -> list[Effect]:
        """Begin the group with ``founders``, of which this replica is one.

        All founders begin with the same snapshot, before any of them can lead, so that one that
        is late gets it from a leader with the members in it. What this replica has voted
        before stays.
        """
        snapshot = Snapshot(BOOTSTRAP_INDEX, BOOTSTRAP_TERM, founders, encode_state(self._state))
        hard_state = self.group.hard_state
        if hard_state.term < BOOTSTRAP_TERM:
            hard_state = HardState(BOOTSTRAP_TERM)
        recovered = RecoveredLog(snapshot=snapshot, hard_state=hard_state)
        self.group = self._new_group(recovered, now)
        self.group.set_lost(self._lost)
        self._applied = BOOTSTRAP_INDEX
        self._write([SnapshotRecord(snapshot), HardStateRecord(hard_state)], [])
        return self._persist(self.group.tick(now))

    def set_lost(self, lost: frozenset[ReplicaId]) -> None:
        """Name the replicas that are known to have lost their disks."""
        self._lost = lost
        self.group.set_lost(lost)

    def tick(self, now: float) -> list[Effect]:
        """Do what is due, and apply more of what is committed."""
        self._now = now
        self._apply_some()
        effects = self._step_restored(now)
        return [*effects, *self._persist(self.group.tick(now))]

    def step(self, sender: ReplicaId, envelope: ReplicaMessage, now: float) -> list[Effect]:
        """Take a message of another replica in."""
        self._now = now
        self.learn_address(sender, envelope.sender_address)
        self._restorer.take(sender, envelope, now)
        return self._step_restored(now)

    def take_text(self, copy: TextCopy, now: float) -> list[Effect]:
        """Take a text in that a message of the leader leaves out."""
        self._restorer.texts.put(copy.turn_id, copy.text)
        return self._step_restored(now)

    def note_missing_text(self, follower: ReplicaId, now: float) -> None:
        """Note that a follower needs whole entries for a while."""
        self._stripper.note_missing(follower, now)

    def copies_to(self, now: float) -> tuple[LeaderHint, ...]:
        """Return the followers to which nodes are to send texts; none while the link bears them."""
        if not self.leads or not self._link.is_high(now):
            return ()
        followers = (member for member in self.group.members if member != self.replica)
        known = ((member, self.addresses.get(member)) for member in followers)
        return tuple(LeaderHint(member, address) for member, address in known if address)

    def _step_restored(self, now: float) -> list[Effect]:
        """Step the messages that are whole, in their order."""
        complete, missing_at = self._restorer.ready(now)
        effects: list[Effect] = []
        for sender in missing_at:
            effects.extend(self._report_missing_text(sender))
        for sender, envelope in complete:
            effects.extend(self._persist(self.group.step(sender, envelope.message, now)))
        return effects

    def _report_missing_text(self, sender: ReplicaId) -> list[Effect]:
        address = self.addresses.get(sender)
        if address is None:
            return []
        self._log("ledger_texts_lacking", leader=sender)
        report = SendPeer(to=sender, address=address, message=MissingTexts())
        return [*self._take_effects(), report]

    def learn_address(self, replica: ReplicaId, address: Address) -> None:
        """Note where a replica listens."""
        self.addresses[replica] = address

    def propose(
        self,
        operations: tuple[Operation, ...],
        callback: ResultsCallback,
        now: float,
        wall: float,
        copied: tuple[KeptTurn, ...] = (),
        leader_time: float = 0.0,
    ) -> list[Effect]:
        """Propose operations; ``ready`` is called once with their results or None.

        ``copied`` are turns among them whose texts the followers get from their node.
        """
        self._now = now
        command = encode_command(
            LedgerCommand(time=wall, operations=operations, passed=leader_time)
        )
        proposal = self.group.propose(command, now)
        if not proposal.accepted:
            return [*self._persist(list(proposal.effects)), *callback(None)]
        self._pending[proposal.index] = _PendingProposal(proposal.term, callback)
        self._link.note(len(command) * (len(self.group.members) - 1), now)
        self._stripper.note(proposal.index, proposal.term, command, copied)
        return self._persist(list(proposal.effects))

    def add_member(self, member: ReplicaId, now: float) -> list[Effect]:
        """Add a member, if this replica leads and may."""
        return self._persist(list(self.group.add_member(member, now).effects))

    def remove_member(self, member: ReplicaId, now: float) -> list[Effect]:
        """Remove a member, if this replica leads and may."""
        return self._persist(list(self.group.remove_member(member, now).effects))

    def transfer_leadership(self, member: ReplicaId, now: float) -> list[Effect]:
        """Hand leadership over."""
        return self._persist(self.group.transfer_leadership(member, now))

    def synced(self, ticket: int) -> list[Effect]:
        """Carry out what waited for a write, now that it is on the disk."""
        self._synced_ticket = max(self._synced_ticket, ticket)
        while self._deferred and self._deferred[0].ticket <= self._synced_ticket:
            self._carry_out(self._deferred.popleft().effects)
        self._compact_if_large()
        return self._take_effects()

    # ------------------------------------------------------------ disk

    def _persist(self, effects: list[RaftEffect]) -> list[Effect]:
        """Write what changed, and let the effects follow once it is on the disk."""
        records: list[DiskRecord] = []
        for effect in effects:
            if isinstance(effect, HardStateChanged):
                records.append(HardStateRecord(effect.hard_state))
            elif isinstance(effect, Restored):
                records.append(SnapshotRecord(effect.snapshot))
        unsaved = self.group.take_unsaved_entries()
        if unsaved:
            records.append(EntriesRecord(unsaved))
        if self.addresses != self._saved_addresses:
            self._saved_addresses = dict(self.addresses)
            records.append(AddressesRecord(self._saved_addresses))
        self._write(records, effects)
        return self._take_effects()

    def _write(self, records: list[DiskRecord], effects: list[RaftEffect]) -> None:
        if records:
            data = b"".join(encode_record(record) for record in records)
            self._ticket += 1
            self._file_bytes += len(data)
            self._effects.append(SyncFile(ticket=self._ticket, name=LOG_FILE, data=data))
        if records or self._deferred:
            if effects:
                self._deferred.append(_DeferredEffects(self._ticket, effects))
            return
        self._carry_out(effects)

    def _compact_if_large(self) -> None:
        """Replace the file by a snapshot and what follows it.

        A leader does not: it would be silent meanwhile. The host lets another replica lead;
        if none can for long, the disk goes before the silence.
        """
        if not self.needs_compaction:
            return
        may_wait = self._file_bytes < COMPACT_GROWTH_FACTOR * self._compact_bytes
        if self.leads and len(self.group.members) > 1 and may_wait:
            return
        self.group.compact(self._applied, encode_state(self._state))
        snapshot = self.group.snapshot
        if snapshot is None:
            return
        records: list[DiskRecord] = [IdentityRecord(self.replica)]
        records.append(AddressesRecord(dict(self.addresses)))
        records.append(SnapshotRecord(snapshot))
        entries = self.group.entries_after(snapshot.last_index)
        if entries:
            records.append(EntriesRecord(entries))
        records.append(HardStateRecord(self.group.hard_state))
        data = b"".join(encode_record(record) for record in records)
        self._ticket += 1
        self._file_bytes = len(data)
        self._compact_bytes = max(self._min_compact_bytes, int(COMPACT_GROWTH_FACTOR * len(data)))
        self._effects.append(SyncFile(ticket=self._ticket, name=LOG_FILE, data=data, replace=True))
        self._log("ledger_compacted", index=snapshot.last_index, bytes=len(data))

    # ------------------------------------------------------------ effects

    def _carry_out(self, effects: list[RaftEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect.to, effect.message)
            elif isinstance(effect, Committed):
                self._apply(effect.entries)
            elif isinstance(effect, Restored):
                self._restore(effect)
            elif isinstance(effect, RoleChanged):
                self._handle_role_change(effect)
            elif isinstance(effect, MembersChanged):
                self._log("members_changed", members=" ".join(effect.members))

    def _send(self, to: ReplicaId, message: RaftMessage) -> None:
        address = self.addresses.get(to)
        if address is not None:
            envelope = ReplicaMessage(sender_address=self._address, message=message)
            stripped = self._stripper.strip(to, envelope, self._now)
            self._effects.append(SendPeer(to=to, address=address, message=stripped))

    def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        was_idle = not self._to_apply
        self._to_apply.extend(entries)
        if was_idle:
            self._apply_some()

    def _apply_some(self) -> None:
        operations = 0
        while self._to_apply and operations < MAX_APPLIED_PER_TICK:
            operations += self._apply_entry(self._to_apply.popleft())

    def _apply_entry(self, entry: LogEntry) -> int:
        """Apply an entry; return the number of its operations, at least one."""
        self._applied = entry.index
        results: tuple[OperationResult, ...] = ()
        if entry.kind is EntryKind.COMMAND:
            results = self._apply_command(entry.command)
        pending = self._pending.pop(entry.index, None)
        if pending is not None:
            is_committed = pending.term == entry.term
            self._effects.extend(pending.callback(results if is_committed else None))
        return max(1, len(results))

    def _apply_command(self, data: bytes) -> tuple[OperationResult, ...]:
        command = decode_command(data)
        if not isinstance(command, Success):
            self._log("command_not_understood", level="error", reason=str(command.failure()))
            return ()
        return self._state.transition_apply(command.unwrap())

    def _restore(self, effect: Restored) -> None:
        self._to_apply.clear()
        state = decode_state(effect.snapshot.data)
        if isinstance(state, Success):
            self._state = state.unwrap()
        self._applied = effect.snapshot.last_index
        self._log("ledger_restored", index=self._applied, bytes=len(effect.snapshot.data))

    def _handle_role_change(self, effect: RoleChanged) -> None:
        self._log(
            "ledger_role_changed",
            role=effect.role.value,
            term=effect.term,
            leader=effect.leader,
            last_index=self.group.last_index,
        )
        if effect.role is RaftRole.LEADER:
            return
        self._stripper.clear()
        pending = list(self._pending.values())
        self._pending.clear()
        for item in pending:
            self._effects.extend(item.callback(None))

    def _log(self, event: str, level: str = "info", **fields: str | int | float | None) -> None:
        self._effects.append(LogRecord(event=event, fields=dict(fields), level=level))

    def _take_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects

    # ------------------------------------------------------------ start

    def _new_group(self, recovered: RecoveredLog, now: float) -> RaftGroup:
        has_run = recovered.hard_state is not None
        return RaftGroup(
            replica=self.replica,
            members=recovered.founders if recovered.snapshot is None else (),
            settings=self._settings,
            source=self._source,
            now=now,
            snapshot=recovered.snapshot,
            entries=recovered.entries,
            hard_state=recovered.hard_state if has_run else None,
        )

    def _recovered_state(self, recovered: RecoveredLog) -> LedgerState:
        if recovered.snapshot is None:
            return LedgerState()
        state = decode_state(recovered.snapshot.data)
        return state.unwrap() if isinstance(state, Success) else LedgerState()
