"""Messages between nodes (TCP). Membership datagrams are in ``membership.messages``.

Each is a tagged ``msgspec`` struct; ``messages.codec`` encodes the union with ``ormsgpack``
and checks it at decode.
"""

from __future__ import annotations

import msgspec

from yokeline.consensus.messages import RaftMessage
from yokeline.errors import YokelineError
from yokeline.identifiers import ReplicaId, RequestId, ShardId
from yokeline.labels.objects import StoredObject


class GroupMessage(msgspec.Struct, frozen=True, array_like=True):
    """A Raft message of one shard's group."""

    shard: ShardId
    message: RaftMessage


class RaftBatch(msgspec.Struct, frozen=True, tag="raft_batch"):
    """All Raft messages of one moment from one node to another."""

    messages: tuple[GroupMessage, ...]


class ShardLeader(msgspec.Struct, frozen=True, array_like=True):
    """Where a shard is led from, as its leader says; the highest term wins.

    Attributes:
        revision: Log index up to which the leader had applied when it said so; among news
            of one term the highest revision wins.
    """

    shard: ShardId
    term: int
    leader: ReplicaId
    members: tuple[ReplicaId, ...]
    revision: int = 0


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="heartbeat"):
    """One coalesced heartbeat for a pair of nodes.

    Attributes:
        sequence: Echoed by the receiver's :class:`HeartbeatReply`.
        leaders: Leadership news since the last heartbeat to this peer (bounded).
        configuration_revision: Highest configuration revision applied at the sender.
        wanted: Shards that the sender wants fresh news of.
    """

    sequence: int
    leaders: tuple[ShardLeader, ...] = ()
    configuration_revision: int = 0
    wanted: tuple[ShardId, ...] = ()


class HeartbeatReply(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="heartbeat_reply"
):
    """Answer to a :class:`Heartbeat`."""

    sequence: int
    configuration_revision: int = 0


class ShardRequest(msgspec.Struct, frozen=True, kw_only=True, tag="shard_request"):
    """A request to a shard's leader.

    Attributes:
        operation: JSON-free ormsgpack bytes of a ``shards.operations`` union member.
        deadline: Seconds left until the asker gives up.
    """

    request: RequestId
    shard: ShardId
    operation: bytes
    deadline: float


class ShardCancel(msgspec.Struct, frozen=True, kw_only=True, tag="shard_cancel"):
    """The asker has given a :class:`ShardRequest` up; no answer is wanted."""

    request: RequestId


class ShardReply(msgspec.Struct, frozen=True, kw_only=True, tag="shard_reply"):
    """The one final answer to a :class:`ShardRequest`.

    Attributes:
        not_leader: The receiver does not lead the shard; ``leader`` is its best hint, and
            nothing was done.
    """

    request: RequestId
    result: bytes = b""
    error: YokelineError | None = None
    not_leader: bool = False
    leader: ShardLeader | None = None


class RunEvents(msgspec.Struct, frozen=True, kw_only=True, tag="run_events"):
    """Events of a run pushed to a node that watches it (``runs.events`` union, encoded)."""

    request: RequestId
    events: tuple[bytes, ...]


class ConfigurationPull(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_pull"):
    """Ask for all objects with a revision above ``after``.

    Attributes:
        continues: ``after`` is how far a transfer of several parts from this peer has come.
        floor: For such a transfer: ``floor`` of its first part.
    """

    after: int
    continues: bool = False
    floor: int = 0


class RevisionGap(msgspec.Struct, frozen=True, array_like=True):
    """Revisions between ``low`` and ``high``, without both, whose deletions are not all known."""

    low: int
    high: int


class ConfigurationDelta(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_delta"):
    """Objects in ascending order of revision, complete in ``(after, upto]``.

    With ``after`` 0 it is the whole configuration: an object that is not in it is deleted.

    Attributes:
        latest: Revision that the sender has; where ``upto`` is lower, further parts follow
            on further pulls, and only all of them together are complete.
        floor: The sender may have forgotten deletions up to this revision.
        gaps: Where else the sender does not know all deletions.
    """

    after: int
    upto: int
    objects: tuple[StoredObject, ...]
    latest: int = 0
    floor: int = 0
    gaps: tuple[RevisionGap, ...] = ()


PeerMessageBody = (
    RaftBatch
    | Heartbeat
    | HeartbeatReply
    | ShardRequest
    | ShardCancel
    | ShardReply
    | RunEvents
    | ConfigurationPull
    | ConfigurationDelta
)
