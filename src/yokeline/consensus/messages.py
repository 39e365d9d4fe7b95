"""Raft messages between the replicas of one group (Ongaro, "Consensus", 2014)."""

from __future__ import annotations

import enum

import msgspec

from yokeline.identifiers import ReplicaId


class EntryKind(enum.Enum):
    """What a log entry holds."""

    COMMAND = "c"
    MEMBERSHIP = "m"
    """Payload: the new member ids (one added or removed)."""
    EMPTY = "e"
    """A new leader's first entry."""


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    command: bytes = b""
    members: tuple[ReplicaId, ...] = ()


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """Ask for a vote, or with ``pre_vote`` whether one would be given."""

    term: int
    candidate: ReplicaId
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False
    """Sent at a leadership hand-over: the receiver ignores its leader's lease."""


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="vote_reply"):
    """Answer to :class:`RequestVote`."""

    term: int
    voter: ReplicaId
    granted: bool
    pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """Replicate entries; empty ones confirm leadership.

    ``round`` is echoed, so that a leader knows which of its rounds a quorum has answered
    (for leases and linearizable reads).
    """

    term: int
    leader: ReplicaId
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="append_reply"):
    """Answer to :class:`AppendEntries`.

    ``match_index`` is the last index known equal when ``success``; otherwise a hint from
    where to try again.
    """

    term: int
    follower: ReplicaId
    success: bool
    match_index: int
    round: int


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """One chunk of a snapshot; ``done`` marks the last."""

    term: int
    leader: ReplicaId
    last_index: int
    last_term: int
    members: tuple[ReplicaId, ...]
    offset: int
    data: bytes
    done: bool
    round: int


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag="snapshot_reply"):
    """Answer to :class:`InstallSnapshot`: the next offset wanted, or done."""

    term: int
    follower: ReplicaId
    last_index: int
    next_offset: int
    done: bool
    round: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="timeout_now"):
    """A leader that hands over tells the receiver to stand for election at once."""

    term: int
    leader: ReplicaId


RaftMessage = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | TimeoutNow
)
