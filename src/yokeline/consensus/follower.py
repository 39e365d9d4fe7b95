"""A follower's answers to its leader: appended entries and snapshots."""

from __future__ import annotations

from yokeline.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
)
from yokeline.consensus.snapshot_transfer import SnapshotReceiver
from yokeline.consensus.state import ReplicaState


class FollowerLog:
    """Applies the messages of the current term's leader to the log."""

    __slots__ = ("_receiver", "_state")

    def __init__(self, state: ReplicaState) -> None:
        """Create it without a snapshot under way."""
        self._state = state
        self._receiver: SnapshotReceiver | None = None

    def append(self, message: AppendEntries) -> AppendReply:
        """Take entries of our term's leader in and return the reply."""
        if not self._is_consistent(message):
            hint = self._state.log.retry_hint(message.previous_index, self._state.commit_index)
            return self._append_reply(message, success=False, match_index=hint)
        matched = message.previous_index + len(message.entries)
        self._state.log.merge(message.entries)
        self._state.report_members()
        self._state.advance_commit(min(message.commit_index, matched))
        return self._append_reply(message, success=True, match_index=matched)

    def install(self, message: InstallSnapshot) -> SnapshotReply:
        """Take a snapshot chunk of our term's leader and return the reply."""
        if message.last_index <= self._state.commit_index:
            self._receiver = None
            return self._snapshot_reply(message, next_offset=0, done=True)
        if self._receiver is None or not self._receiver.expects(message):
            self._receiver = SnapshotReceiver(message)
        snapshot = self._receiver.receive(message)
        if snapshot is None:
            return self._snapshot_reply(message, next_offset=self._receiver.offset, done=False)
        self._receiver = None
        self._state.restore(snapshot)
        return self._snapshot_reply(message, next_offset=len(snapshot.data), done=True)

    def refuse_append(self, message: AppendEntries) -> AppendReply:
        """Return the reply that tells a leader of an earlier term that its time is over."""
        return self._append_reply(message, success=False, match_index=self._state.commit_index)

    def refuse_install(self, message: InstallSnapshot) -> SnapshotReply:
        """Return the reply that tells a leader of an earlier term that its time is over."""
        return self._snapshot_reply(message, next_offset=0, done=False)

    def _is_consistent(self, message: AppendEntries) -> bool:
        """Return whether the entries follow on our log and spare what is committed."""
        log = self._state.log
        is_compacted = message.previous_index < log.base_index
        if not is_compacted and log.term_at(message.previous_index) != message.previous_term:
            return False
        conflict = log.first_conflict(message.entries)
        return conflict is None or conflict > self._state.commit_index

    def _append_reply(
        self, message: AppendEntries, *, success: bool, match_index: int
    ) -> AppendReply:
        return AppendReply(
            term=self._state.term,
            follower=self._state.replica,
            success=success,
            match_index=match_index,
            round=message.round,
        )

    def _snapshot_reply(
        self, message: InstallSnapshot, *, next_offset: int, done: bool
    ) -> SnapshotReply:
        return SnapshotReply(
            term=self._state.term,
            follower=self._state.replica,
            last_index=message.last_index,
            next_offset=next_offset,
            done=done,
            round=message.round,
        )
