"""Builds a leader's messages to its followers, and plans when the next one is due."""

from __future__ import annotations

from yokeline.consensus.log import entry_bytes
from yokeline.consensus.messages import AppendEntries, InstallSnapshot, LogEntry
from yokeline.consensus.progress import Progress, ProgressState
from yokeline.consensus.rounds import RoundClock
from yokeline.consensus.snapshot_transfer import SnapshotSender
from yokeline.consensus.state import ReplicaState

ROUND_MARKS_PER_HEARTBEAT = 8
"""Send times remembered per heartbeat interval."""


class FollowerSender:
    """Sends entries, heartbeats and snapshot chunks of one leader in one term."""

    __slots__ = ("_state", "rounds")

    def __init__(self, state: ReplicaState) -> None:
        """Start at round 0."""
        settings = state.settings
        self._state = state
        self.rounds = RoundClock(
            granularity=settings.heartbeat_seconds / ROUND_MARKS_PER_HEARTBEAT,
            horizon=settings.election_timeout_seconds,
        )

    def replicate(self, progress: Progress, now: float) -> None:
        """Send what the follower lacks, as far as its state and window allow."""
        if progress.state is ProgressState.REPLICATE:
            self._fill_window(progress, now)
        elif progress.state is ProgressState.PROBE and not progress.probing:
            self._probe(progress, now)

    def heartbeat(self, progress: Progress, now: float) -> None:
        """Send one message in any case, without entries if some are under way."""
        if progress.state is ProgressState.SNAPSHOT:
            self.send_chunk(progress, now, with_data=False)
        elif progress.state is ProgressState.PROBE and not progress.probing:
            self._probe(progress, now)
        else:
            self._send_append(progress, (), now)

    def send_chunk(self, progress: Progress, now: float, *, with_data: bool) -> None:
        """Send the next chunk, or an empty one that only asks for the offset wanted."""
        sender = progress.snapshot
        if sender is None:
            return
        chunk = sender.chunk() if with_data else b""
        message = InstallSnapshot(
            term=self._state.term,
            leader=self._state.replica,
            last_index=sender.snapshot.last_index,
            last_term=sender.snapshot.last_term,
            members=sender.snapshot.members,
            offset=sender.offset,
            data=chunk,
            done=with_data and sender.is_last(chunk),
            round=self.rounds.next_number(now),
        )
        self._state.send(progress.follower, message)
        self._note_sent(progress, 0, now)

    def schedule(self, progress: Progress, now: float) -> None:
        """Plan the next message, now that one was sent or an answer came."""
        state = self._state
        settled = progress.is_settled(state.log.last_index, state.commit_index)
        progress.next_send_at = now + progress.interval(state.settings, settled=settled)

    def _probe(self, progress: Progress, now: float) -> None:
        if progress.next_index < self._state.log.first_index:
            self._start_snapshot(progress, now)
            return
        entries = self._state.log.batch(progress.next_index, self._state.settings.append_bytes)
        self._send_append(progress, entries, now)
        progress.probing = True

    def _fill_window(self, progress: Progress, now: float) -> None:
        log = self._state.log
        if progress.next_index < log.first_index:
            self._start_snapshot(progress, now)
            return
        while progress.next_index <= log.last_index:
            window = progress.window(self._state.settings.append_bytes)
            entries = log.batch(progress.next_index, window)
            size = sum(entry_bytes(entry) for entry in entries)
            if size > window and progress.is_flying:
                return
            self._send_append(progress, entries, now)
            progress.sent_entries(entries[-1].index, size)

    def _send_append(self, progress: Progress, entries: tuple[LogEntry, ...], now: float) -> None:
        previous_index = progress.next_index - 1
        previous_term = self._state.log.term_at(previous_index)
        if previous_term is None:
            self._start_snapshot(progress, now)
            return
        message = AppendEntries(
            term=self._state.term,
            leader=self._state.replica,
            previous_index=previous_index,
            previous_term=previous_term,
            commit_index=self._state.commit_index,
            round=self.rounds.next_number(now),
            entries=entries,
        )
        self._state.send(progress.follower, message)
        self._note_sent(progress, self._state.commit_index, now)

    def _start_snapshot(self, progress: Progress, now: float) -> None:
        snapshot = self._state.snapshot
        if snapshot is None:
            return
        sender = SnapshotSender(snapshot, self._state.settings.snapshot_chunk_bytes)
        progress.transition_to_snapshot(sender)
        self.send_chunk(progress, now, with_data=True)

    def _note_sent(self, progress: Progress, commit_index: int, now: float) -> None:
        progress.sent(self.rounds.current, commit_index, now)
        self.schedule(progress, now)
