"""What a leader knows of one follower, and what it has in flight to it."""

from __future__ import annotations

import enum
import math

import msgspec

from yokeline.consensus.settings import RaftSettings
from yokeline.consensus.snapshot_transfer import SnapshotSender
from yokeline.identifiers import ReplicaId

PATIENT_SENDS = 8
"""Unanswered sends at the normal pace; after them the pace is halved time and again."""

MAX_BACKOFF_DOUBLINGS = 16
"""Bound of the exponent, far above where the idle heartbeat caps the interval."""


class ProgressState(enum.Enum):
    """How entries are sent to a follower (as in etcd's Raft)."""

    PROBE = "probe"
    """The matching point is looked for: one message at a time."""
    REPLICATE = "replicate"
    """Entries are pipelined."""
    SNAPSHOT = "snapshot"
    """A snapshot is under way, one chunk at a time."""


class Flight(msgspec.Struct, frozen=True, array_like=True):
    """Entries sent and not answered yet."""

    last_index: int
    size: int


class Progress:
    """Progress of one follower."""

    __slots__ = (
        "_commit_round",
        "_commit_sent",
        "_flights",
        "_flying_bytes",
        "answered_round",
        "commit_known",
        "contact_at",
        "departs_at",
        "first_round",
        "follower",
        "match_index",
        "next_index",
        "next_send_at",
        "probing",
        "sent_round",
        "silent_sends",
        "snapshot",
        "state",
        "waiting_since",
    )

    def __init__(
        self, follower: ReplicaId, next_index: int, now: float, *, first_round: int
    ) -> None:
        """Start by probing at the end of the leader's log.

        Args:
            follower: The follower.
            next_index: Index of the first entry to send.
            now: Current time; the first message is due.
            first_round: Answers to earlier rounds are none of this membership: a replica
                that was removed and added again may have lost its log in between.
        """
        self.follower = follower
        self.first_round = first_round
        self.state = ProgressState.PROBE
        self.match_index = 0
        self.next_index = next_index
        self.probing = False
        self.snapshot: SnapshotSender | None = None
        self.sent_round = 0
        self.answered_round = 0
        self.contact_at = -math.inf
        self.waiting_since: float | None = None
        self.next_send_at = now
        self.silent_sends = 0
        self.commit_known = 0
        self.departs_at: float | None = None
        self._commit_sent = 0
        self._commit_round = 0
        self._flights: list[Flight] = []
        self._flying_bytes = 0

    def transition_to_probe(self, next_index: int) -> None:
        """Look for the matching point from ``next_index`` on."""
        self.state = ProgressState.PROBE
        self.next_index = next_index
        self.probing = False
        self.snapshot = None
        self._clear_flights()

    def transition_to_replicate(self) -> None:
        """Pipeline entries after the matching point."""
        self.state = ProgressState.REPLICATE
        self.next_index = self.match_index + 1
        self.probing = False
        self.snapshot = None
        self._clear_flights()

    def transition_to_snapshot(self, sender: SnapshotSender) -> None:
        """Send a snapshot, since the log no longer holds what the follower needs."""
        self.state = ProgressState.SNAPSHOT
        self.probing = False
        self.snapshot = sender
        self._clear_flights()

    def window(self, limit_bytes: int) -> int:
        """Return how many bytes of entries may be sent now."""
        return limit_bytes - self._flying_bytes

    @property
    def is_flying(self) -> bool:
        """Whether entries are in flight."""
        return bool(self._flights)

    def sent_entries(self, last_index: int, size: int) -> None:
        """Note entries sent by pipelining."""
        self.next_index = last_index + 1
        self._flights.append(Flight(last_index, size))
        self._flying_bytes += size

    def matched(self, index: int) -> None:
        """Note that the follower holds everything up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        landed = 0
        while landed < len(self._flights) and self._flights[landed].last_index <= index:
            self._flying_bytes -= self._flights[landed].size
            landed += 1
        del self._flights[:landed]

    def sent(self, round_number: int, commit_index: int, now: float) -> None:
        """Note any message sent to the follower."""
        self.sent_round = round_number
        if self.waiting_since is None:
            self.waiting_since = now
        if commit_index > self._commit_sent:
            self._commit_sent = commit_index
            self._commit_round = round_number

    def answered(self, round_number: int, sent_at: float | None, now: float) -> None:
        """Note an answer to a message of a round of this term.

        Args:
            round_number: The round that the follower echoed.
            sent_at: When that round began, if that is still known.
            now: Time of the answer.
        """
        self.silent_sends = 0
        self.answered_round = max(self.answered_round, round_number)
        self.waiting_since = None if self.answered_round >= self.sent_round else now
        if sent_at is not None:
            self.contact_at = max(self.contact_at, sent_at)

    def confirm_commit(self) -> None:
        """Note that an accepted append told the follower the last sent commit index."""
        if self.answered_round >= self._commit_round:
            self.commit_known = min(self._commit_sent, self.match_index)

    def is_settled(self, last_index: int, commit_index: int) -> bool:
        """Return whether the follower holds and knows everything, and has answered."""
        return (
            self.state is ProgressState.REPLICATE
            and self.match_index == last_index
            and self.commit_known >= commit_index
            and self.answered_round >= self.sent_round
        )

    def interval(self, settings: RaftSettings, *, settled: bool) -> float:
        """Return the seconds until the next message if nothing happens before."""
        if settled:
            return settings.idle_heartbeat_seconds
        doublings = min(max(0, self.silent_sends - PATIENT_SENDS), MAX_BACKOFF_DOUBLINGS)
        interval = settings.heartbeat_seconds * 2.0**doublings
        return min(interval, settings.idle_heartbeat_seconds)

    def _clear_flights(self) -> None:
        self._flights = []
        self._flying_bytes = 0
