"""Values that the parts of the Raft core share: role, hard state, snapshot."""

from __future__ import annotations

import enum

import msgspec

from yokeline.identifiers import ReplicaId


class RaftRole(enum.Enum):
    """Role of a replica in its group."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    """Asks whether it would win an election, without a new term."""
    CANDIDATE = "candidate"
    LEADER = "leader"


class HardState(msgspec.Struct, frozen=True):
    """What a replica that restarts under its old id must remember."""

    term: int = 0
    voted_for: ReplicaId | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """State of the state machine after the entry at ``last_index``.

    Attributes:
        members: The configuration in force at ``last_index``.
        data: The state machine's own encoding.
    """

    last_index: int
    last_term: int
    members: tuple[ReplicaId, ...]
    data: bytes
