"""One term of leadership: proposals, commitment, reads, lease, membership, hand-over."""

from __future__ import annotations

import math

from yokeline.consensus.effects import ReadFailed, ReadReady
from yokeline.consensus.messages import (
    AppendReply,
    EntryKind,
    LogEntry,
    SnapshotReply,
    TimeoutNow,
)
from yokeline.consensus.reads import ReadQueue
from yokeline.consensus.replication import Replicator
from yokeline.consensus.state import ReplicaState
from yokeline.identifiers import ReplicaId


class Transfer:
    """A hand-over of leadership under way."""

    __slots__ = ("deadline", "is_sent", "target")

    def __init__(self, target: ReplicaId, deadline: float) -> None:
        """Plan to hand over to ``target`` as soon as it holds the whole log."""
        self.target = target
        self.deadline = deadline
        self.is_sent = False


class Leadership:
    """What a replica does and knows while it leads a term; dropped when it steps down."""

    __slots__ = (
        "_has_resigned",
        "_reads",
        "_replicator",
        "_state",
        "_term_start",
        "_transfer",
    )

    def __init__(self, state: ReplicaState, now: float) -> None:
        """Begin the term with an empty entry, which commits what came before it."""
        self._state = state
        self._reads = ReadQueue()
        self._transfer: Transfer | None = None
        self._has_resigned = False
        self._term_start = state.log.last_index + 1
        self._replicator = Replicator(state, now)
        self._append(EntryKind.EMPTY, now)

    @property
    def has_resigned(self) -> bool:
        """Whether this replica must step down now."""
        return self._has_resigned

    @property
    def takes_proposals(self) -> bool:
        """Whether proposals are taken; not during a hand-over."""
        return self._transfer is None

    @property
    def may_change_members(self) -> bool:
        """Whether a membership change may be appended.

        One change at a time, and only after an entry of the own term is committed, since
        quorums of two concurrent changes need not overlap (Ongaro 2014, 4.1 and its erratum).
        """
        return (
            self.takes_proposals and self._own_term_committed and not self._state.membership_pending
        )

    def may_change_to(self, members: tuple[ReplicaId, ...], now: float) -> bool:
        """Return whether ``members`` may become the configuration: a majority must live."""
        return self.may_change_members and self._replicator.has_live_quorum(members, now)

    @property
    def _own_term_committed(self) -> bool:
        return self._state.commit_index >= self._term_start

    def silence(self, now: float) -> dict[ReplicaId, float]:
        """Return for each follower how long a message to it has gone unanswered (seconds)."""
        return self._replicator.silence(now)

    def has_caught_up(self, replica: ReplicaId) -> bool:
        """Return whether a follower holds every committed entry."""
        return self._replicator.has_caught_up(replica)

    # ------------------------------------------------------------ requests

    def propose(self, command: bytes, now: float) -> LogEntry:
        """Append a command to the log and replicate it."""
        return self._append(EntryKind.COMMAND, now, command=command)

    def change_members(self, members: tuple[ReplicaId, ...], now: float) -> LogEntry:
        """Append a configuration, which takes effect at once, and replicate it."""
        return self._append(EntryKind.MEMBERSHIP, now, members=members)

    def read(self, token: str, now: float) -> None:
        """Serve a read after a round that begins now or later."""
        self._reads.add(token)
        self._start_reads(now)
        self._settle(now)

    def transfer_to(self, target: ReplicaId, now: float) -> None:
        """Hand leadership over to a member once it holds the whole log."""
        if self._transfer is not None:
            return
        deadline = now + self._state.settings.election_timeout_seconds
        self._transfer = Transfer(target, deadline)
        self._replicator.nudge(target, now)
        self._continue_transfer()

    def resign(self, now: float) -> None:
        """Step down at once, and tell the follower that holds the most to stand for election."""
        successor = self._replicator.best_successor(now)
        self._has_resigned = True
        if successor is not None:
            self._send_timeout_now(successor)

    def lease_valid(self, now: float) -> bool:
        """Return whether surely no other replica can lead at ``now``.

        Followers refuse votes for the election timeout after a message of their leader, so
        the lease runs from the send time of messages that a quorum has answered. It ends for
        good when a hand-over is sent, since that lifts the refusal.
        """
        if self._transfer is not None and self._transfer.is_sent:
            return False
        lease_end = self._replicator.quorum_contact(now) + self._state.settings.lease_seconds
        return now < lease_end

    # ------------------------------------------------------------ events

    def on_append_reply(self, message: AppendReply, now: float) -> None:
        """Take a follower's answer of this term in."""
        self._replicator.on_append_reply(message, now)
        self._settle(now)

    def on_snapshot_reply(self, message: SnapshotReply, now: float) -> None:
        """Take the answer to a snapshot chunk of this term in."""
        self._replicator.on_snapshot_reply(message, now)
        self._settle(now)

    def on_doubt(self, replica: ReplicaId, now: float) -> None:
        """React to a vote request that was refused: its sender should hear from us."""
        if replica in self._state.members:
            self._replicator.nudge(replica, now)
        else:
            self._replicator.tell_removed(replica, now)

    def node_alive(self, replica: ReplicaId, now: float) -> None:
        """Note a sign of life of a follower's node."""
        self._replicator.node_alive(replica, now)

    def tick(self, now: float) -> None:
        """Send what is due; resign if the quorum is lost or a hand-over went unanswered."""
        if now >= self._replicator.quorum_lost_at():
            self._has_resigned = True
            return
        self._expire_transfer(now)
        if not self._has_resigned:
            self._replicator.tick(now)

    def next_deadline(self) -> float:
        """Return when :meth:`tick` is due."""
        transfer_deadline = math.inf if self._transfer is None else self._transfer.deadline
        return min(
            self._replicator.next_deadline(),
            self._replicator.quorum_lost_at(),
            transfer_deadline,
        )

    def fail_reads(self) -> None:
        """Fail the reads that wait, because leadership ends."""
        for token in self._reads.drain():
            self._state.emit(ReadFailed(token))

    # ------------------------------------------------------------ inner steps

    def _append(
        self,
        kind: EntryKind,
        now: float,
        *,
        command: bytes = b"",
        members: tuple[ReplicaId, ...] = (),
    ) -> LogEntry:
        entry = LogEntry(
            index=self._state.log.last_index + 1,
            term=self._state.term,
            kind=kind,
            command=command,
            members=members,
        )
        self._state.log.append(entry)
        if kind is EntryKind.MEMBERSHIP:
            self._state.report_members()
            self._replicator.update_members(now)
        self._replicator.replicate_all(now)
        self._settle(now)
        return entry

    def _settle(self, now: float) -> None:
        """Draw the conclusions from new progress: commit, reads, hand-over, removal."""
        self._advance_commit(now)
        self._complete_reads(now)
        self._continue_transfer()
        self._leave_if_removed(now)

    def _advance_commit(self, now: float) -> None:
        """Commit what a quorum holds, but only up to an entry of the own term."""
        index = self._replicator.quorum_match()
        if index <= self._state.commit_index:
            return
        if self._state.log.term_at(index) != self._state.term:
            return
        self._state.advance_commit(index)
        self._replicator.commit_advanced(now)
        self._start_reads(now)

    def _start_reads(self, now: float) -> None:
        if not self._own_term_committed or not self._reads.wants_round:
            return
        self._reads.start(self._replicator.current_round + 1)
        self._replicator.heartbeat_all(now)

    def _complete_reads(self, now: float) -> None:
        for token in self._reads.complete(self._replicator.quorum_round()):
            self._state.emit(ReadReady(token, self._state.commit_index))
        self._start_reads(now)

    def _continue_transfer(self) -> None:
        transfer = self._transfer
        if transfer is None or transfer.is_sent:
            return
        progress = self._replicator.progress_of(transfer.target)
        if progress is None or progress.match_index < self._state.log.last_index:
            return
        transfer.is_sent = True
        self._send_timeout_now(transfer.target)

    def _expire_transfer(self, now: float) -> None:
        """Give up a hand-over whose time is over.

        Once the order to stand for election was sent, it may still arrive, so the lease
        cannot be had back in this term: step down instead.
        """
        if self._transfer is None or now < self._transfer.deadline:
            return
        if self._transfer.is_sent:
            self._has_resigned = True
        self._transfer = None

    def _leave_if_removed(self, now: float) -> None:
        """Step down once the change that removed this replica is committed."""
        if self._state.is_member or self._state.membership_pending or self._has_resigned:
            return
        self._has_resigned = True
        self._replicator.heartbeat_all(now)
        successor = self._replicator.best_successor(now)
        if successor is not None:
            self._send_timeout_now(successor)

    def _send_timeout_now(self, target: ReplicaId) -> None:
        message = TimeoutNow(term=self._state.term, leader=self._state.replica)
        self._state.send(target, message)
