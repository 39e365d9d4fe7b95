"""A leader's replication to its followers: what to send when, and what the answers prove."""

from __future__ import annotations

import math
from collections.abc import Callable

from yokeline.consensus.messages import AppendReply, SnapshotReply
from yokeline.consensus.progress import Progress, ProgressState
from yokeline.consensus.quorum import Number, quorum_size, quorum_value
from yokeline.consensus.sending import FollowerSender
from yokeline.consensus.snapshot_transfer import SnapshotSender
from yokeline.consensus.state import ReplicaState
from yokeline.identifiers import ReplicaId

QUORUM_LOSS_TIMEOUTS = 2.0
"""Election timeouts that a message may go unanswered until its receiver counts as lost."""

DEPARTURE_TIMEOUTS = 5.0
"""Election timeouts for which a removed replica is still told about its removal."""


class Replicator:
    """Replicates the log of one leader in one term."""

    __slots__ = ("_progress", "_sender", "_state")

    def __init__(self, state: ReplicaState, now: float) -> None:
        """Start with a probe due to every other member."""
        self._state = state
        self._sender = FollowerSender(state)
        self._progress: dict[ReplicaId, Progress] = {}
        self.update_members(now)

    @property
    def current_round(self) -> int:
        """The last round that a message was sent in."""
        return self._sender.rounds.current

    def progress_of(self, replica: ReplicaId) -> Progress | None:
        """Return the progress of a follower, or None if nothing is sent to it."""
        return self._progress.get(replica)

    # ------------------------------------------------------------ members

    def update_members(self, now: float) -> None:
        """Follow the configuration in force; removed members are told for a while."""
        members = self._state.members
        for member in members:
            if member != self._state.replica:
                self._keep(member, now)
        for progress in self._progress.values():
            if progress.follower not in members and progress.departs_at is None:
                progress.departs_at = now + self._departure_seconds()

    def tell_removed(self, replica: ReplicaId, now: float) -> None:
        """Replicate to a replica outside the group until it knows that it was removed."""
        if replica not in self._progress:
            progress = self._start(replica, now)
            progress.departs_at = now + self._departure_seconds()

    def nudge(self, replica: ReplicaId, now: float) -> None:
        """Let a follower that doubts its leader hear from us at the next tick."""
        progress = self._progress.get(replica)
        if progress is not None:
            progress.next_send_at = min(progress.next_send_at, now)

    def node_alive(self, replica: ReplicaId, now: float) -> None:
        """Return to the normal pace for a silent follower whose node lives."""
        progress = self._progress.get(replica)
        if progress is not None and progress.silent_sends:
            progress.silent_sends = 0
            soon = now + self._state.settings.heartbeat_seconds
            progress.next_send_at = min(progress.next_send_at, soon)

    def _keep(self, member: ReplicaId, now: float) -> None:
        """Replicate to a member; one that was removed and comes back starts anew."""
        progress = self._progress.get(member)
        if progress is None or progress.departs_at is not None:
            self._start(member, now)

    def _start(self, replica: ReplicaId, now: float) -> Progress:
        log = self._state.log
        progress = Progress(
            replica,
            max(log.last_index, log.first_index),
            now,
            first_round=self.current_round + 1,
        )
        self._progress[replica] = progress
        return progress

    def _departure_seconds(self) -> float:
        return DEPARTURE_TIMEOUTS * self._state.settings.election_timeout_seconds

    def _drop_departed(self, now: float) -> None:
        commit_index = self._state.commit_index
        removal_index = self._state.log.configuration.index
        for progress in list(self._progress.values()):
            if progress.departs_at is None:
                continue
            knows = removal_index <= commit_index and progress.commit_known >= removal_index
            if knows or now >= progress.departs_at:
                del self._progress[progress.follower]

    # ------------------------------------------------------------ sending

    def replicate_all(self, now: float) -> None:
        """Send new entries to every follower that may take more."""
        for progress in self._progress.values():
            self._sender.replicate(progress, now)

    def heartbeat_all(self, now: float) -> None:
        """Send a message to every follower now, for a round that reads wait for."""
        for progress in self._progress.values():
            self._sender.heartbeat(progress, now)

    def commit_advanced(self, now: float) -> None:
        """Let every follower hear of the new commit index within a heartbeat."""
        soon = now + self._state.settings.heartbeat_seconds
        for progress in self._progress.values():
            progress.next_send_at = min(progress.next_send_at, soon)

    def tick(self, now: float) -> None:
        """Send the messages that are due."""
        self._drop_departed(now)
        for progress in self._progress.values():
            if now >= progress.next_send_at:
                progress.silent_sends += 1
                self._sender.schedule(progress, now)
                self._sender.heartbeat(progress, now)

    def next_deadline(self) -> float:
        """Return when a message is due."""
        return min((item.next_send_at for item in self._progress.values()), default=math.inf)

    # ------------------------------------------------------------ answers

    def on_append_reply(self, message: AppendReply, now: float) -> None:
        """Take a follower's answer of this term in, and send what it lacks."""
        progress = self._answering(message)
        if progress is None:
            return
        progress.answered(message.round, self._sender.rounds.sent_at(message.round), now)
        if message.success:
            self._accepted(progress, message)
        else:
            self._rejected(progress, message)
        self._sender.replicate(progress, now)
        self._sender.schedule(progress, now)

    def on_snapshot_reply(self, message: SnapshotReply, now: float) -> None:
        """Take the answer to a chunk in, and send the next one or go on with the log."""
        progress = self._answering(message)
        if progress is None:
            return
        progress.answered(message.round, self._sender.rounds.sent_at(message.round), now)
        sender = progress.snapshot
        if message.done:
            progress.matched(message.last_index)
        if sender is not None and sender.snapshot.last_index == message.last_index:
            self._continue_snapshot(progress, sender, message, now)
        self._sender.schedule(progress, now)

    def _answering(self, message: AppendReply | SnapshotReply) -> Progress | None:
        """Return whose progress an answer is about; None for one of an earlier membership."""
        progress = self._progress.get(message.follower)
        if progress is None or message.round < progress.first_round:
            return None
        return progress

    def _continue_snapshot(
        self, progress: Progress, sender: SnapshotSender, message: SnapshotReply, now: float
    ) -> None:
        if message.done:
            progress.transition_to_replicate()
            self._sender.replicate(progress, now)
            return
        is_latest = message.round >= progress.sent_round
        if is_latest or message.next_offset > sender.offset:
            sender.offset = message.next_offset
            self._sender.send_chunk(progress, now, with_data=True)

    def _accepted(self, progress: Progress, message: AppendReply) -> None:
        progress.matched(message.match_index)
        progress.confirm_commit()
        sender = progress.snapshot
        still_needed = sender is not None and progress.match_index < sender.snapshot.last_index
        if progress.state is not ProgressState.REPLICATE and not still_needed:
            progress.transition_to_replicate()

    def _rejected(self, progress: Progress, message: AppendReply) -> None:
        """Probe further back, unless the answer is late or tells nothing new."""
        next_index = max(message.match_index, progress.match_index) + 1
        is_late = message.match_index + 1 >= progress.next_index
        is_probed = progress.state is ProgressState.PROBE and next_index >= progress.next_index
        if progress.state is ProgressState.SNAPSHOT or is_late or is_probed:
            return
        progress.transition_to_probe(next_index)

    # ------------------------------------------------------------ what a quorum proves

    def quorum_match(self) -> int:
        """Return the last index that a majority of the members holds."""
        return quorum_value(self._per_member(self._state.log.last_index, _match_index))

    def quorum_round(self) -> int:
        """Return the last round that a majority of the members has answered."""
        return quorum_value(self._per_member(self._sender.rounds.current + 1, _answered_round))

    def quorum_contact(self, now: float) -> float:
        """Return the send time of the last round that a majority has answered."""
        return quorum_value(self._per_member(now, _contact_at))

    def quorum_lost_at(self) -> float:
        """Return when a majority of the members counts as lost if no answer comes."""
        limit = QUORUM_LOSS_TIMEOUTS * self._state.settings.election_timeout_seconds
        return quorum_value(self._per_member(math.inf, _waiting_since)) + limit

    def has_live_quorum(self, members: tuple[ReplicaId, ...], now: float) -> bool:
        """Return whether a majority of ``members`` seems to live; newcomers count as alive."""
        timeout = self._state.settings.election_timeout_seconds
        silent = 0
        for member in members:
            progress = self._progress.get(member)
            if progress is not None and now - _waiting_since(progress) > timeout:
                silent += 1
        return len(members) - silent >= quorum_size(len(members))

    def silence(self, now: float) -> dict[ReplicaId, float]:
        """Return for each follower how long a message to it has gone unanswered (seconds)."""
        return {
            progress.follower: max(0.0, now - _waiting_since(progress))
            for progress in self._progress.values()
            if progress.departs_at is None
        }

    def has_caught_up(self, replica: ReplicaId) -> bool:
        """Return whether a follower holds every committed entry."""
        progress = self._progress.get(replica)
        return progress is not None and progress.match_index >= self._state.commit_index

    def best_successor(self, now: float) -> ReplicaId | None:
        """Return the member with the longest matching log, one that answers if there is one."""
        others = [item for item in self._progress.values() if item.departs_at is None]
        timeout = self._state.settings.election_timeout_seconds
        alive = [item for item in others if now - _waiting_since(item) <= timeout]
        return max(alive or others, key=_match_index).follower if others else None

    def _per_member(self, own: Number, value: Callable[[Progress], Number]) -> list[Number]:
        values: list[Number] = []
        for member in self._state.members:
            if member in self._state.lost:
                continue
            progress = self._progress.get(member)
            values.append(own if progress is None else value(progress))
        return values


def _match_index(progress: Progress) -> int:
    return progress.match_index


def _answered_round(progress: Progress) -> int:
    return progress.answered_round


def _contact_at(progress: Progress) -> float:
    return progress.contact_at


def _waiting_since(progress: Progress) -> float:
    return math.inf if progress.waiting_since is None else progress.waiting_since
