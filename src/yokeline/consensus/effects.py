"""What a Raft group asks its host to do, in order."""

from __future__ import annotations

import msgspec

from yokeline.consensus.messages import LogEntry, RaftMessage
from yokeline.consensus.types import HardState, RaftRole, Snapshot
from yokeline.identifiers import ReplicaId


class Send(msgspec.Struct, frozen=True):
    """Send a message to a replica, best effort."""

    to: ReplicaId
    message: RaftMessage


class Committed(msgspec.Struct, frozen=True):
    """Apply these entries, in order; every kind of entry is included, without gaps."""

    entries: tuple[LogEntry, ...]


class Restored(msgspec.Struct, frozen=True):
    """Replace the state machine by this snapshot; entries after it follow."""

    snapshot: Snapshot


class RoleChanged(msgspec.Struct, frozen=True):
    """Role, term or known leader of this replica changed."""

    role: RaftRole
    term: int
    leader: ReplicaId | None


class MembersChanged(msgspec.Struct, frozen=True):
    """Another configuration took effect (it may not be committed yet)."""

    members: tuple[ReplicaId, ...]


class ReadReady(msgspec.Struct, frozen=True):
    """A linearizable read may be served from the state machine at ``index`` or later.

    The entries up to ``index`` were handed over by earlier :class:`Committed` effects.
    """

    token: str
    index: int


class ReadFailed(msgspec.Struct, frozen=True):
    """This replica does not lead (any more), so the read was not served."""

    token: str


class HardStateChanged(msgspec.Struct, frozen=True):
    """Store the hard state before the messages that follow are sent.

    A host whose replicas never restart under the same id may ignore it.
    """

    hard_state: HardState


RaftEffect = (
    Send
    | Committed
    | Restored
    | RoleChanged
    | MembersChanged
    | ReadReady
    | ReadFailed
    | HardStateChanged
)


class Proposal(msgspec.Struct, frozen=True):
    """Outcome of a proposal.

    Attributes:
        accepted: The entry was appended to the leader's log. It is committed when an entry
            with this index *and* term is; another term at this index means it was lost.
        index: Index of the entry; 0 if not accepted.
        term: Term of the entry; this replica's term if not accepted.
        effects: Effects to carry out, also when not accepted.
    """

    accepted: bool
    index: int
    term: int
    effects: tuple[RaftEffect, ...] = ()
