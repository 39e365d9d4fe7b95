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
    """Where a shard is led from, as its leader says; the highest term wins."""

    shard: ShardId
    term: int
    leader: ReplicaId
    members: tuple[ReplicaId, ...]


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag="heartbeat"):
    """One coalesced heartbeat for a pair of nodes.

    Attributes:
        sequence: Echoed by the receiver's :class:`HeartbeatReply`.
        leaders: Leadership news since the last heartbeat to this peer (bounded).
        configuration_revision: Highest configuration revision applied at the sender.
    """

    sequence: int
    leaders: tuple[ShardLeader, ...] = ()
    configuration_revision: int = 0


class HeartbeatReply(msgspec.Struct, frozen=True, kw_only=True, tag="heartbeat_reply"):
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
    """Ask for all objects with a revision above ``after``."""

    after: int


class ConfigurationDelta(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_delta"):
    """Objects in ascending order of revision, complete in ``(after, upto]``."""

    after: int
    upto: int
    objects: tuple[StoredObject, ...]


PeerMessageBody = (
    RaftBatch
    | Heartbeat
    | HeartbeatReply
    | ShardRequest
    | ShardReply
    | RunEvents
    | ConfigurationPull
    | ConfigurationDelta
)
