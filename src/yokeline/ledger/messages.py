"""Messages between forwarding nodes and storage nodes, and among storage nodes."""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from yokeline.consensus.messages import RaftMessage
from yokeline.effects import Address
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.operations import KeptTurn, Operation, OperationResult

# ---------------------------------------------------------------- turns under way


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one node that an engine has under way."""

    engine_id: str
    running: int


class TurnServed(msgspec.Struct, frozen=True, array_like=True):
    """How an engine served a turn that left it, or an app a call.

    Attributes:
        failed: The engine broke off, fell silent or answered with a failure of its own.
        slowness: Time between its events, as a multiple of what is usual at that load; 0 if
            too few came to tell.
        is_call: It was a call of an app.
        pace: Time between its events as it would be if it ran alone, in :data:`PACE_UNIT_SECONDS`;
            0 if that cannot be told.
    """

    engine_id: str
    failed: bool
    slowness: float
    is_call: bool = False
    pace: int = 0


class NodeTurns(msgspec.Struct, frozen=True, array_like=True):
    """All turns that one node has at engines, and what it saw of engines since its last report.

    Attributes:
        sequence: Rises with each report of one process.
    """

    sequence: int
    loads: tuple[EngineLoad, ...]
    served: tuple[TurnServed, ...] = ()


PERCENT = 100.0
PACE_UNIT_SECONDS = 1e-5
"""Unit of paces in messages; far finer than engines differ."""
NOT_COUNTED = -1
"""In place of the turns under way at an app, whose calls the leader does not count."""


class EngineTurns(msgspec.Struct, frozen=True, array_like=True):
    """What the ledger's leader knows of an engine; whole percents, since each answer has all.

    Attributes:
        running: Turns of all nodes under way there; :data:`NOT_COUNTED` at an app.
        failed_percent: Share of the latest turns that failed there, faded with time.
        slowness_percent: Time between events as a share of what is usual at its load, for nodes
            that know no paces.
        pace: Lasting time between the events of a turn that runs alone, in
            :data:`PACE_UNIT_SECONDS`; 0 if not known.
        samples: How many samples that pace counts as.
        spell_percent: Present time as a share of the lasting one.
    """

    engine_id: str
    running: int
    failed_percent: int
    slowness_percent: int
    pace: int = 0
    samples: int = 0
    spell_percent: int = 100


# ---------------------------------------------------------------- shares of tenants


class TenantLoad(msgspec.Struct, frozen=True, array_like=True):
    """What a tenant has of one pool's engines, and what it asks for, at one node.

    Attributes:
        tenant: Empty for requests without one.
        weight: Its part of the places relative to others; above zero.
        running: Turns at engines.
        waiting: First turns of programs that wait for an engine.
    """

    tenant: str
    weight: float
    running: int
    waiting: int


class PoolLoad(msgspec.Struct, frozen=True, array_like=True):
    """What the tenants of one node have of a pool's engines.

    Attributes:
        places: Requests that all engines of the pool work on at once, as the node knows them.
    """

    pool: str
    places: int
    tenants: tuple[TenantLoad, ...]


class PoolShares(msgspec.Struct, frozen=True, array_like=True):
    """How the places of a pool with too few of them are shared.

    Attributes:
        level: Places for a weight of one.
        beyond: Tenants that hold more than their share while others lack theirs.
    """

    pool: str
    level: float
    beyond: tuple[str, ...]


# ---------------------------------------------------------------- messages


class PassedTurns(msgspec.Struct, frozen=True, array_like=True):
    """The report of a node that does not reach the ledger, as another one passes it on.

    Attributes:
        process: Whose report it is.
        tenant_loads: What its tenants have; None if that is not due.
    """

    process: ReplicaId
    turns: NodeTurns
    tenant_loads: tuple[PoolLoad, ...] | None = None


class LedgerRequest(msgspec.Struct, frozen=True, kw_only=True, tag="request"):
    """Operations for the ledger's leader; ``number`` is the asker's own.

    Attributes:
        turns: The asker's turns at engines, if they changed; nothing that lasts. A request
            without operations gets no answer.
        is_copied: The asker has sent the texts to the followers that it was told of.
        wants_engines: The asker has requests that wait for an engine with room, and is to be told
            what is known of engines though it asks for nothing else. Not sent otherwise.
        passed_turns: The turns of a node whose operation the asker passes on.
        tenant_loads: What the asker's tenants have, with ``turns``; not sent without tenants.
    """

    number: int
    asker: Address
    operations: tuple[Operation, ...]
    turns: NodeTurns | None = None
    is_copied: bool = False
    wants_engines: bool | UnsetType = UNSET
    passed_turns: PassedTurns | UnsetType = UNSET
    tenant_loads: tuple[PoolLoad, ...] | UnsetType = UNSET


class PassedOnRequest(msgspec.Struct, frozen=True, kw_only=True, tag="passed_on"):
    """An operation of a forwarding node that gets no answer from the ledger itself.

    The receiver is another forwarding node, which asks the ledger and sends its answer to
    ``asker``; it never passes the operation on once more.

    Attributes:
        turns: All turns that the asker has at engines: the leader hears of them no other way.
        tenant_loads: What its tenants have, if that is due.
    """

    number: int
    asker: Address
    operation: Operation
    turns: NodeTurns | UnsetType = UNSET
    tenant_loads: tuple[PoolLoad, ...] | UnsetType = UNSET


class LeaderHint(msgspec.Struct, frozen=True, array_like=True):
    """Where the leader is."""

    replica: ReplicaId
    address: Address


class LeaderQuery(msgspec.Struct, frozen=True, kw_only=True, tag="who_leads"):
    """A forwarding node asks a storage node who leads the ledger."""

    asker: Address


class LeaderAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="leader"):
    """What a storage node knows of the leader.

    Attributes:
        term: The replica's current term, which says whose knowledge is later.
        leader: None if it knows none.
    """

    term: int
    leader: LeaderHint | None = None


class LedgerReply(msgspec.Struct, frozen=True, kw_only=True, tag="reply"):
    """Answer to a request: one result for each operation, or who leads instead.

    Attributes:
        results: Empty if the receiver does not lead, and then nothing was done.
        term: The replica's term, which says whose knowledge of the leader is later.
        passed_on: It comes from another forwarding node, so it says nothing of the way there.
        engines: The turns under way, with the answer to a reservation or if they were asked for;
            empty if not known.
        copies_to: Followers to which texts are to be sent as well; none while the leader's link
            bears them. With the answer to a reservation.
        shares: Of the pools that have too few places, with the answer to a reservation; not sent
            without tenants.
    """

    number: int
    results: tuple[OperationResult, ...] = ()
    leader: LeaderHint | None = None
    term: int = 0
    passed_on: bool = False
    engines: tuple[EngineTurns, ...] = ()
    copies_to: tuple[LeaderHint, ...] = ()
    shares: tuple[PoolShares, ...] | UnsetType = UNSET


class HistoryAsk(msgspec.Struct, frozen=True, kw_only=True, tag="history_ask"):
    """A forwarding node asks a replica that need not lead for the texts of kept turns.

    Attributes:
        last: The latest turn of the chain that it lacks.
        known: A turn of the same chain that it has; what came before is left out.
    """

    number: int
    asker: Address
    last: str
    known: str = ""


class HistoryReply(msgspec.Struct, frozen=True, kw_only=True, tag="history"):
    """The turns asked for, the oldest first.

    Attributes:
        turns: None if the replica does not have the last one.
        is_member: The replica belongs to the ledger's group, so it gets new turns.
    """

    number: int
    turns: tuple[KeptTurn, ...] = ()
    is_member: bool = True


class TextCopy(msgspec.Struct, frozen=True, kw_only=True, tag="text_copy"):
    """The text of a turn that its node asks the leader to keep, for a follower."""

    turn_id: str
    text: bytes


class TextSpan(msgspec.Struct, frozen=True, array_like=True):
    """Where the text of a turn stands in the command of a log entry."""

    offset: int
    size: int
    turn_id: str


class StrippedTexts(msgspec.Struct, frozen=True, array_like=True):
    """The texts that were left out of a log entry's command, in order.

    Attributes:
        digest: Of the whole command.
    """

    index: int
    term: int
    digest: bytes
    cuts: tuple[TextSpan, ...]


class MissingTexts(msgspec.Struct, frozen=True, kw_only=True, tag="texts_lacking"):
    """A follower tells its leader that it lacked a text and dropped a message."""


class ReplicaMessage(msgspec.Struct, frozen=True, kw_only=True, tag="raft"):
    """A Raft message, with where its sender listens.

    Attributes:
        cuts: Of entries whose texts the receiver gets from elsewhere.
    """

    sender_address: Address
    message: RaftMessage
    cuts: tuple[StrippedTexts, ...] = ()


class Join(msgspec.Struct, frozen=True, kw_only=True, tag="join"):
    """A storage node that is no member asks to become one.

    A replica id belongs to one disk. So a request under a new id from a known node says that
    the disk of the earlier replica is lost, and that it will never vote or answer again.
    """

    node: NodeName
    replica: ReplicaId
    address: Address


class RegistryAsk(msgspec.Struct, frozen=True, kw_only=True, tag="registry_ask"):
    """A node asks one that has read later changes of the key-value service.

    Attributes:
        after: The asker has read everything up to this revision; 0 for nothing.
    """

    asker: Address
    after: int = 0


class RegistryItem(msgspec.Struct, frozen=True, array_like=True):
    """An item as the key-value service gave it; without a value it is gone."""

    key: str
    value: bytes | None
    revision: int


class RegistryNews(msgspec.Struct, frozen=True, kw_only=True, tag="registry_news"):
    """What a node has read, complete up to a revision.

    Attributes:
        since: The items are the changes after this revision, in order; 0 for all items.
    """

    revision: int
    items: tuple[RegistryItem, ...]
    since: int = 0


class ConfigurationAsk(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_ask"):
    """A node asks another one to prove which configuration is the newest.

    Attributes:
        known: Revision of the configuration's item that the asker has; 0 for none.
    """

    number: int
    asker: Address
    known: int = 0


class ConfigurationProof(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_proof"):
    """Which configuration was the newest one, as of ``age`` before this answer was sent.

    Attributes:
        revision: Of the configuration's item.
        age: Seconds.
        item: The item itself, if the asker's is older.
    """

    number: int
    revision: int
    age: float
    item: RegistryItem | None = None


LedgerMessage = (
    LedgerRequest
    | PassedOnRequest
    | LedgerReply
    | LeaderQuery
    | LeaderAnswer
    | HistoryAsk
    | HistoryReply
    | TextCopy
    | MissingTexts
    | ReplicaMessage
    | Join
    | RegistryAsk
    | RegistryNews
    | ConfigurationAsk
    | ConfigurationProof
)


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, tag="load"):
    """What a forwarding node has under way (a datagram to the others).

    Attributes:
        sequence: Rises with each report of one process.
        waiting: Requests that wait at the node, by pool.
        revision: Of the latest change that the node has read from the key-value service.
        process: The node's process, which answers questions at ``address``.
        reaches_ledger: The ledger answers the node, or the node has had nothing to ask.
        watches: The node watches the key-value service, and was answered lately.
    """

    node: NodeName
    sequence: int
    loads: tuple[EngineLoad, ...]
    waiting: dict[str, int] = {}
    revision: int = 0
    process: ReplicaId = ReplicaId("")
    address: Address | None = None
    reaches_ledger: bool = True
    watches: bool = False


class LoadDigest(msgspec.Struct, frozen=True, kw_only=True, tag="digest"):
    """Reports of several nodes, passed on by a relay (a datagram).

    Attributes:
        zone: Of the relay; a relay of another zone passes them on within its own.
    """

    sender: NodeName
    zone: str
    reports: tuple[LoadReport, ...]


LoadMessage = LoadReport | LoadDigest


class LedgerFrame(msgspec.Struct, frozen=True, array_like=True):
    """What travels in one frame between two processes; see ``messages.codec.PeerFrame``."""

    sender: ReplicaId
    recipient: ReplicaId
    message: LedgerMessage


class LoadFrame(msgspec.Struct, frozen=True, array_like=True):
    """What one datagram holds."""

    message: LoadMessage
