"""A replica of the ledger: its Raft group, state machine and log file.

Messages and results that depend on a change of term, vote or log are held back until that change is
synced to disk. Changes of one event share a sync. While its disk hangs, a replica sends nothing,
and the others elect a leader.
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
from yokeline.consensus.messages import EntryKind, LogEntry, RaftMessage, TimeoutNow
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
"""Minimum size of the log file for compaction. Each replica adds a random share of up to half, so
that replicas do not all compact at once."""
COMPACT_GROWTH_FACTOR = 2.0
"""Factor by which a compacted file grows before it is compacted again; a state larger than the
minimum size would otherwise be rewritten at every sync. A leader hands over before it compacts; if
it cannot, it compacts once the file exceeds its limit by this factor."""
MAX_APPLIED_PER_TICK = 200
"""Committed operations applied in one event-loop iteration, so that heartbeats are not delayed
after a restart."""
MAX_APPEND_BYTES = 128 * 1024
"""Bytes of entries in flight to one follower; heartbeats queue behind them, and must arrive within
the election timeout. With four followers on a link of 47 Mbit/s, a heartbeat waits 90 ms behind
them."""

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

COMMIT_SAVE_ENTRIES = 64
"""Committed entries after which the commit index is written along with other records. A replica
that restarts applies the entries up to it without a leader, so that few are left to apply when one
is elected. Written with each entry, it would double the size of small ones."""

BOOTSTRAP_INDEX = 1
"""Log index of the initial snapshot, with which all founders start."""
BOOTSTRAP_TERM = 1
"""Term of the initial snapshot; no leader is elected in this term."""

IMMEDIATELY = float("-inf")
"""A deadline that is always due."""

ResultsCallback = Callable[[tuple[OperationResult, ...] | None], list[Effect]]
"""Called with the results of proposed operations, or with None if they may not be committed."""


class _DeferredEffects(msgspec.Struct):
    """Effects that wait for the write with this ticket to be synced."""

    ticket: int
    effects: list[RaftEffect]


class _PendingProposal(msgspec.Struct):
    """Operations proposed in a term, whose entry is not committed yet."""

    term: int
    callback: ResultsCallback


class LedgerReplica:
    """A replica and its log file; the host delivers messages and completed tickets.

    Attributes:
        addresses: Addresses of the other replicas.
        first_start: The replica was created at the first start of the deployment, and may bootstrap
            the group. Stored on disk, so that a restart before the bootstrap keeps it.
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
        """Start from a recovered log; an empty log makes a new replica.

        ``link_mbps`` is the capacity of the machine's link in megabits a second; 0 if unknown.
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
        self._saved_commit = self.group.commit_index
        self._to_apply.extend(
            entry
            for entry in recovered.entries
            if self._applied < entry.index <= self._saved_commit
        )
        self._effects: list[Effect] = []
        self._now = now
        self._link = LinkUtilization(link_mbps)
        self._stripper = TextStripper()
        self._restorer = TextRestorer()
        self._lost: frozenset[ReplicaId] = frozenset()
        self._application_limit: int | None = None
        self._disk_refuses = False
        self._identity_ticket = 0
        self._saved_addresses = dict(self.addresses)
        if recovered.replica is None:
            self._write([IdentityRecord(replica, self.first_start)], [])
            self._identity_ticket = self._ticket

    # ------------------------------------------------------------ status

    @property
    def leads(self) -> bool:
        """Whether this replica leads its group."""
        return self.group.role is RaftRole.LEADER

    @property
    def is_member(self) -> bool:
        """Whether this replica is in the latest configuration that it knows."""
        return self.replica in self.group.members

    @property
    def identity_saved(self) -> bool:
        """Whether the replica's id is on disk, so that a restart keeps it."""
        return self._synced_ticket >= self._identity_ticket

    @property
    def is_empty(self) -> bool:
        """Whether this replica holds no entries and belongs to no group."""
        return not self.group.members and self.group.last_index == 0

    @property
    def needs_compaction(self) -> bool:
        """Whether the log file has grown enough to be compacted."""
        return self._file_bytes >= self._compact_bytes and self._applied > 0

    @property
    def has_applied_all(self) -> bool:
        """Whether all entries known to be committed have been applied, and there are some."""
        return not self._to_apply and self._applied > 0

    @property
    def disk_refuses(self) -> bool:
        """Whether the disk refuses writes, so that this replica neither leads nor answers."""
        return self._disk_refuses

    @property
    def entries_restored(self) -> int:
        """Entries restored with texts received from nodes."""
        return self._restorer.restored

    @property
    def messages_missing_texts(self) -> int:
        """Messages of a leader that were dropped because a text was missing."""
        return self._restorer.incomplete

    def leader_hint(self) -> LeaderHint | None:
        """Return the leader and its address, if both are known."""
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
        if self._may_apply or self._effects:
            return IMMEDIATELY
        restore_deadline = self._restorer.next_deadline()
        due = self.group.next_deadline()
        return due if restore_deadline is None else min(due, restore_deadline)

    @property
    def _may_apply(self) -> bool:
        """Whether a committed entry may be applied now."""
        if not self._to_apply:
            return False
        limit = self._application_limit
        return limit is None or self._to_apply[0].index <= limit

    @property
    def _lasting_commit(self) -> int:
        """Commit index that a restart may rely on."""
        limit = self._application_limit
        committed = self.group.commit_index
        return committed if limit is None else min(committed, limit)

    # ------------------------------------------------------------ events

    def bootstrap(self, founders: tuple[ReplicaId, ...], now: float) -> list[Effect]:
        """Bootstrap the group with ``founders``, which include this replica.

        All founders start with the same snapshot, and none can lead before. A late founder receives
        the snapshot, with the members in it, from the leader. The replica keeps its term and vote.
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
        """Set the replicas that are known to have lost their disks."""
        self._lost = lost
        self.group.set_lost(lost)

    def limit_application(self, index: int | None) -> list[Effect]:
        """Apply committed entries up to an index only; None for all of them.

        Operations have no results, and their effects are not seen, before they are applied.
        """
        self._application_limit = index
        self._apply_some()
        return self._take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Run due timers, and apply more committed entries."""
        self._now = now
        self._apply_some()
        effects = self._step_restored(now)
        return [*effects, *self._persist(self.group.tick(now))]

    def step(self, sender: ReplicaId, envelope: ReplicaMessage, now: float) -> list[Effect]:
        """Handle a message of another replica."""
        self._now = now
        if self._disk_refuses and isinstance(envelope.message, TimeoutNow):
            return []
        self.learn_address(sender, envelope.sender_address)
        self._restorer.take(sender, envelope, now)
        return self._step_restored(now)

    def take_text(self, copy: TextCopy, now: float) -> list[Effect]:
        """Store a text that the leader omits from its messages."""
        self._restorer.texts.put(copy.turn_id, copy.text)
        return self._step_restored(now)

    def note_missing_text(self, follower: ReplicaId, now: float) -> None:
        """Send complete entries to a follower for a while, because it lacked a text."""
        self._stripper.note_missing(follower, now)

    def copies_to(self, now: float) -> tuple[LeaderHint, ...]:
        """Return the followers to which nodes send texts; none at low utilization of the link."""
        if not self.leads or not self._link.is_high(now):
            return ()
        followers = (member for member in self.group.members if member != self.replica)
        known = ((member, self.addresses.get(member)) for member in followers)
        return tuple(LeaderHint(member, address) for member, address in known if address)

    def _step_restored(self, now: float) -> list[Effect]:
        """Step the messages that are complete, in order of arrival."""
        complete, dropped_senders = self._restorer.ready(now)
        effects: list[Effect] = []
        for sender in dropped_senders:
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
        """Set the address of a replica."""
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
        """Propose operations; ``callback`` is called once with their results or None.

        ``copied`` are the turns among them whose texts their node sends to the followers.
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
        """Add a member, if this replica leads and no other change is pending."""
        return self._persist(list(self.group.add_member(member, now).effects))

    def remove_member(self, member: ReplicaId, now: float) -> list[Effect]:
        """Remove a member, if this replica leads and no other change is pending."""
        return self._persist(list(self.group.remove_member(member, now).effects))

    def hand_over(self, member: ReplicaId, now: float) -> list[Effect]:
        """Transfer leadership to a member."""
        return self._persist(self.group.transfer_leadership(member, now))

    def refused(self, now: float) -> list[Effect]:
        """Hand leadership over, because the disk refuses writes; send nothing until it takes them.

        Votes, answers and entries that this replica sends would all wait for a write. Leadership is
        given up without one: what a follower holds was written here before, and the order to stand
        for election may come at any time.
        """
        self._now = now
        if self._disk_refuses:
            return []
        if self.leads and len(self.group.members) > 1:
            self._carry_out(self.group.resign(now))
        self._disk_refuses = True
        return self._take_effects()

    def disk_accepts(self) -> None:
        """Take part again; a write to any file of the disk was synced after the refusal."""
        self._disk_refuses = False

    def synced(self, ticket: int) -> list[Effect]:
        """Carry out the effects that waited for a write, now synced."""
        self.disk_accepts()
        self._synced_ticket = max(self._synced_ticket, ticket)
        while self._deferred and self._deferred[0].ticket <= self._synced_ticket:
            self._carry_out(self._deferred.popleft().effects)
        self._compact_if_large()
        return self._take_effects()

    # ------------------------------------------------------------ disk

    def _persist(self, effects: list[RaftEffect]) -> list[Effect]:
        """Write changed state, and defer the effects until the write is synced."""
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
        if records and self._lasting_commit >= self._saved_commit + COMMIT_SAVE_ENTRIES:
            self._saved_commit = self._lasting_commit
            records.append(HardStateRecord(self.group.hard_state, self._saved_commit))
        self._write(records, effects)
        return self._take_effects()

    def _write(self, records: list[DiskRecord], effects: list[RaftEffect]) -> None:
        if records:
            data = b"".join(encode_record(record) for record in records)
            self._ticket += 1
            self._file_bytes += len(data)
            self._effects.append(SyncFile(ticket=self._ticket, name=LOG_FILE, data=data))
        if self._disk_refuses:
            # Messages are repeated by their protocol; kept, they would add up meanwhile.
            effects = [effect for effect in effects if not isinstance(effect, Send)]
        if records or self._deferred:
            # Also without effects: later ones must not overtake a write that was refused.
            if effects or (records and self._disk_refuses):
                self._deferred.append(_DeferredEffects(self._ticket, effects))
            return
        self._carry_out(effects)

    def _compact_if_large(self) -> None:
        """Replace the log file by a snapshot and the entries after it.

        A leader would be silent meanwhile, so the host first transfers leadership. If that fails
        for long, the leader compacts to save disk space.
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
        self._saved_commit = max(snapshot.last_index, self._lasting_commit)
        records.append(HardStateRecord(self.group.hard_state, self._saved_commit))
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
        was_idle = not self._may_apply
        self._to_apply.extend(entries)
        if was_idle:
            self._apply_some()

    def _apply_some(self) -> None:
        operations = 0
        while self._may_apply and operations < MAX_APPLIED_PER_TICK:
            operations += self._apply_entry(self._to_apply.popleft())

    def _apply_entry(self, entry: LogEntry) -> int:
        """Apply an entry; return the number of its operations, at least 1."""
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

    # ------------------------------------------------------------ recovery

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
            commit_index=recovered.commit_index,
        )

    def _recovered_state(self, recovered: RecoveredLog) -> LedgerState:
        if recovered.snapshot is None:
            return LedgerState()
        state = decode_state(recovered.snapshot.data)
        return state.unwrap() if isinstance(state, Success) else LedgerState()
