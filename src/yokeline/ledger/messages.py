"""Messages between forwarding nodes and storage nodes, and among storage nodes."""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from yokeline.consensus.messages import RaftMessage
from yokeline.effects import Address
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.operations import (
    EngineLoss,
    EntrustedAttempt,
    KeptTurn,
    Operation,
    OperationResult,
)

# ---------------------------------------------------------------- turns at engines


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one node that are running at an engine."""

    engine_id: str
    running: int


class TurnServed(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a turn at an engine, or of a call to an app.

    Attributes:
        failed: The engine aborted, timed out or returned an error of its own.
        slowness: Ratio of the time between two stream events of the turn to the usual time at that
            load; above 1 is slower than usual, 0 if there were too few events.
        is_call: The request was a call to an app.
        pace: Time between two stream events of the turn, normalized to an engine that runs one
            turn, in units of :data:`PACE_UNIT_SECONDS`; larger is slower, 0 if unknown.
    """

    engine_id: str
    failed: bool
    slowness: float
    is_call: bool = False
    pace: int = 0


class NodeTurns(msgspec.Struct, frozen=True, array_like=True):
    """All turns of one node at engines, and their outcomes since its last report.

    Attributes:
        sequence: Increases with each report of a process.
    """

    sequence: int
    loads: tuple[EngineLoad, ...]
    served: tuple[TurnServed, ...] = ()


PERCENT = 100.0
PACE_UNIT_SECONDS = 1e-5
"""Unit of ``pace`` in messages; far finer than the differences between engines."""
NOT_COUNTED = -1
"""Replaces the number of running turns at an app, whose calls the leader does not count."""


class EngineTurns(msgspec.Struct, frozen=True, array_like=True):
    """The leader's data on an engine, in whole percents to keep replies small.

    Attributes:
        running: Turns of all nodes running there; :data:`NOT_COUNTED` at an app.
        failed_percent: Share of recent turns that failed there, decaying with time.
        slowness_percent: Average ``slowness`` of recent turns, in percent; 100 is the usual time.
            For nodes that do not report ``pace``.
        pace: Median time between two stream events of a turn that runs alone, in units of
            :data:`PACE_UNIT_SECONDS`; larger is slower, 0 if unknown.
        samples: Weight of ``pace`` as a number of samples; decays without new turns.
        spell_percent: Temporary slowdown: current time between two stream events in percent of
            ``pace``; 100 for none, more is slower.
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
    """A tenant's turns at the engines of one pool, and its demand, at one node.

    Attributes:
        tenant: Empty for requests without one.
        weight: Its share of the slots relative to other tenants; above zero.
        running: Turns at engines.
        waiting: First turns of programs that wait for an engine.
    """

    tenant: str
    weight: float
    running: int
    waiting: int


class PoolLoad(msgspec.Struct, frozen=True, array_like=True):
    """Loads of one node's tenants at the engines of a pool.

    Attributes:
        places: Slots: requests that the pool's engines, as far as the node knows them, can serve
            concurrently.
    """

    pool: str
    places: int
    tenants: tuple[TenantLoad, ...]


class PoolShares(msgspec.Struct, frozen=True, array_like=True):
    """Shares of a pool that has fewer slots than its tenants demand.

    Attributes:
        level: Slots per unit of weight that each tenant may use (max-min fair share); unrelated to
            the level of a token bucket.
        beyond: Tenants that exceed their share while others lack theirs.
    """

    pool: str
    level: float
    beyond: tuple[str, ...]


# ---------------------------------------------------------------- messages


class PassedTurns(msgspec.Struct, frozen=True, array_like=True):
    """The report of a node that cannot reach the ledger, relayed by another node.

    Attributes:
        process: The process that made the report.
        tenant_loads: Loads of its tenants; None if none are due.
    """

    process: ReplicaId
    turns: NodeTurns
    tenant_loads: tuple[PoolLoad, ...] | None = None


class LedgerRequest(msgspec.Struct, frozen=True, kw_only=True, tag="request"):
    """Operations for the ledger's leader; ``number`` identifies the request at its sender.

    A request without operations gets no answer, unless it asks for engine data.

    Attributes:
        asker: The sender's address, to which the answer is sent.
        turns: The sender's turns at engines, if they have changed; not replicated.
        is_copied: The sender has sent the texts to the followers named by the leader.
        wants_engines: Requests of the sender wait for an engine, so it asks for engine data. Unset
            otherwise.
        passed_turns: The relayed report of the node whose operation the sender relays; unset if
            the sender relays none.
        tenant_loads: Loads of the sender's tenants, together with ``turns``; unset without tenants.
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
    """An operation to be relayed to the ledger, from a node that cannot reach it.

    The receiver is another forwarding node; it submits the operation and sends the answer to
    ``asker``. It does not relay the operation to a third node.

    Attributes:
        asker: Address of the sender, to which the answer is sent.
        turns: All turns of the sender at engines, which the leader receives in no other way.
        tenant_loads: Loads of the sender's tenants, if due.
    """

    number: int
    asker: Address
    operation: Operation
    turns: NodeTurns | UnsetType = UNSET
    tenant_loads: tuple[PoolLoad, ...] | UnsetType = UNSET


class LeaderHint(msgspec.Struct, frozen=True, array_like=True):
    """A storage replica, the leader or a follower, and its address."""

    replica: ReplicaId
    address: Address


class LeaderQuery(msgspec.Struct, frozen=True, kw_only=True, tag="who_leads"):
    """A query of a forwarding node to a storage node for the ledger's leader."""

    asker: Address


class LeaderAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="leader"):
    """Answer to a query for the leader.

    Attributes:
        term: The replica's current term; answers with a later term are more recent.
        leader: None if unknown.
    """

    term: int
    leader: LeaderHint | None = None


class LedgerReply(msgspec.Struct, frozen=True, kw_only=True, tag="reply"):
    """Answer to a request: one result for each operation, or the leader instead.

    Attributes:
        results: Empty if the receiver does not lead; nothing was applied then.
        term: The replica's term; leaders of a later term are more recent.
        passed_on: The answer was relayed by another forwarding node, so it does not show that
            the ledger is reachable directly.
        engines: Data on engines, with the answer to a reservation or on request; empty if unknown.
        copies_to: Replica ids and addresses of the followers to which nodes send texts, with
            the answer to a reservation; empty while the leader's link has spare capacity.
        shares: Shares of pools with too few slots, with the answer to a reservation; unset without
            tenants.
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
    """A request of a forwarding node to a replica for the texts of retained turns.

    Attributes:
        last: The latest turn of the chain that the sender lacks.
        known: An earlier turn of the chain that the sender has; the answer starts after it.
    """

    number: int
    asker: Address
    last: str
    known: str = ""


class HistoryReply(msgspec.Struct, frozen=True, kw_only=True, tag="history"):
    """The requested turns, the oldest first.

    Attributes:
        turns: Empty if the replica does not hold the last turn.
        is_member: The replica belongs to the ledger's group, so it receives new turns.
    """

    number: int
    turns: tuple[KeptTurn, ...] = ()
    is_member: bool = True


class TextCopy(msgspec.Struct, frozen=True, kw_only=True, tag="text_copy"):
    """The text of a turn to retain, sent to a follower by the turn's node."""

    turn_id: str
    text: bytes


class RegionalText(msgspec.Struct, frozen=True, array_like=True):
    """The text of a retained turn that may be stored in some regions only.

    Attributes:
        turn_id: Request id of the turn.
        previous: Request id of the turn that it continues; empty for none.
        root: Request id of the first turn of its chain, which decides the nodes that store it.
        text: Input of the turn followed by its output.
        regions: Regions whose storage nodes may store it.
    """

    turn_id: str
    previous: str
    root: str
    text: bytes
    regions: tuple[str, ...]


class StoreText(msgspec.Struct, frozen=True, kw_only=True, tag="store_text"):
    """A request to a storage node to store a text; answered once it is synced to disk.

    Attributes:
        seconds_left: Seconds after which the text may be deleted.
    """

    number: int
    asker: Address
    text: RegionalText
    seconds_left: float


class TextStored(msgspec.Struct, frozen=True, kw_only=True, tag="text_stored"):
    """Answer to :class:`StoreText`.

    Attributes:
        is_stored: False if the node does not store the text: it is in another region, is full or
            retires.
    """

    number: int
    is_stored: bool


class TextAsk(msgspec.Struct, frozen=True, kw_only=True, tag="text_ask"):
    """A request of a forwarding node to a storage node for regional texts."""

    number: int
    asker: Address
    turn_ids: tuple[str, ...]


class TextReply(msgspec.Struct, frozen=True, kw_only=True, tag="texts"):
    """The requested texts that the storage node has."""

    number: int
    texts: tuple[RegionalText, ...] = ()


class TextOffer(msgspec.Struct, frozen=True, kw_only=True, tag="text_offer"):
    """A question of a storage node to another one: which of these texts do you lack?

    Attributes:
        seconds_left: Seconds for which each text is to be kept.
    """

    number: int
    asker: Address
    turn_ids: tuple[str, ...]
    seconds_left: tuple[float, ...]


class TextOfferReply(msgspec.Struct, frozen=True, kw_only=True, tag="text_offer_reply"):
    """Answer to :class:`TextOffer`: texts that the node does not have, or deletes earlier."""

    number: int
    lacking: tuple[str, ...] = ()


class TextSpan(msgspec.Struct, frozen=True, array_like=True):
    """Position of a turn's text in the command of a log entry."""

    offset: int
    size: int
    turn_id: str


class StrippedTexts(msgspec.Struct, frozen=True, array_like=True):
    """The texts that were stripped from a log entry's command, in order.

    Attributes:
        digest: Checksum of the complete command.
        cuts: Positions of the texts in the complete command.
    """

    index: int
    term: int
    digest: bytes
    cuts: tuple[TextSpan, ...]


class MissingTexts(msgspec.Struct, frozen=True, kw_only=True, tag="texts_lacking"):
    """A follower's report that it dropped a message because a text was missing."""


class ReplicaMessage(msgspec.Struct, frozen=True, kw_only=True, tag="raft"):
    """A Raft message and its sender's address.

    Attributes:
        cuts: The entries from which texts were stripped, with the positions of the texts. The
            receiver gets the texts from the forwarding nodes.
    """

    sender_address: Address
    message: RaftMessage
    cuts: tuple[StrippedTexts, ...] = ()


class Join(msgspec.Struct, frozen=True, kw_only=True, tag="join"):
    """A request of a storage node to become a member of the group.

    A replica id belongs to one disk. A request of a known node under a new id therefore means that
    the disk of the previous replica is lost, and that it will never vote or answer again.
    """

    node: NodeName
    replica: ReplicaId
    address: Address


class RegistryAsk(msgspec.Struct, frozen=True, kw_only=True, tag="registry_ask"):
    """A request for later changes of the key-value service that another node has read.

    Attributes:
        after: The sender has read all changes up to this revision; 0 for none.
    """

    asker: Address
    after: int = 0


class RegistryItem(msgspec.Struct, frozen=True, array_like=True):
    """An item of the key-value service; deleted if it has no value."""

    key: str
    value: bytes | None
    revision: int


class RegistryNews(msgspec.Struct, frozen=True, kw_only=True, tag="registry_news"):
    """Changes of the key-value service that a node has read, complete up to a revision.

    Attributes:
        since: The items are the changes after this revision, in order; 0 for all items.
    """

    revision: int
    items: tuple[RegistryItem, ...]
    since: int = 0


class ConfigurationAsk(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_ask"):
    """A request for proof of the newest configuration.

    Attributes:
        known: Revision of the configuration item that the sender has; 0 for none.
    """

    number: int
    asker: Address
    known: int = 0


class ConfigurationProof(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_proof"):
    """Proof of the configuration that was the newest ``age`` before the answer was sent.

    Attributes:
        revision: Revision of the configuration item.
        age: Seconds.
        item: The item itself, if the sender's is older.
    """

    number: int
    revision: int
    age: float
    item: RegistryItem | None = None


class LossesQuery(msgspec.Struct, frozen=True, kw_only=True, tag="losses_query"):
    """A request for all losses of requests that another forwarding node knows.

    Attributes:
        number: Repeated in the reply.
        asker: Where the sender receives the reply.
    """

    number: int
    asker: Address


class LossesReply(msgspec.Struct, frozen=True, kw_only=True, tag="losses_reply"):
    """All losses of requests that a forwarding node knows, those of other nodes included.

    Attributes:
        is_informed: The sender knows what other nodes had lost when it last heard them.
    """

    number: int
    losses: tuple[EngineLoss, ...] = ()
    is_informed: bool = False


class AttemptsEntrusted(msgspec.Struct, frozen=True, kw_only=True, tag="attempts_entrusted"):
    """The silent attempts of a forwarding node, in place of those that it told before."""

    attempts: tuple[EntrustedAttempt, ...] = ()


# ---------------------------------------------------------------- streams of turns to keep


class StreamEvent(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An event of a stream that was relayed to its caller.

    Attributes:
        data: Data of the event, with a line feed at the end.
    """

    event_id: str
    data: bytes


class StreamCopy(msgspec.Struct, frozen=True, kw_only=True, tag="stream_copy"):
    """The events that an attempt to answer a stream has relayed so far, for another node to hold.

    Attributes:
        number: Identifies the copy at its sender.
        stream: Name of the stream, the same for all attempts of its caller.
        attempt: Name of the caller's attempt.
        resumed_after: Event after which the attempt resumed the stream; empty for its beginning.
        seconds: Time for which the caller may resume the stream.
        events: All events of the stream up to now, those of earlier attempts included.
    """

    number: int
    stream: str
    attempt: str
    resumed_after: str
    seconds: float
    events: tuple[StreamEvent, ...]


class StreamCopyEvents(msgspec.Struct, frozen=True, kw_only=True, tag="stream_copy_events"):
    """Further events of a copy that the sender has sent before.

    Attributes:
        after: Id of the event before these.
        seconds: Time for which the copy is still needed, since its turn is kept; unset before that.
    """

    number: int
    after: str
    events: tuple[StreamEvent, ...] = ()
    seconds: float | UnsetType = UNSET


class CopiedAttempt(msgspec.Struct, frozen=True, array_like=True):
    """What a node holds of one attempt to answer a stream.

    Attributes:
        age: Seconds since the attempt's first event.
        idle: Seconds since its last event.
    """

    attempt: str
    resumed_after: str
    age: float
    idle: float
    events: tuple[StreamEvent, ...]


class StreamAsk(msgspec.Struct, frozen=True, kw_only=True, tag="stream_ask"):
    """A request of a forwarding node for the events of a stream that its caller resumes.

    Attributes:
        number: Repeated in the reply.
        event_id: The last event that the caller has.
    """

    number: int
    asker: Address
    stream: str
    event_id: str


class StreamReply(msgspec.Struct, frozen=True, kw_only=True, tag="stream_reply"):
    """The attempts of a stream that a node holds, with their events up to the named one."""

    number: int
    attempts: tuple[CopiedAttempt, ...] = ()


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
    | StoreText
    | TextStored
    | TextAsk
    | TextReply
    | TextOffer
    | TextOfferReply
    | LossesQuery
    | LossesReply
    | AttemptsEntrusted
    | StreamCopy
    | StreamCopyEvents
    | StreamAsk
    | StreamReply
)


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, tag="load"):
    """Load of a forwarding node, sent to the others as a datagram.

    Attributes:
        sequence: Increases with each report of a process.
        waiting: Requests that wait at the node, by pool.
        revision: Latest change of the key-value service that the node has read.
        process: The node's process, which answers requests at ``address``.
        reaches_ledger: The ledger answers the node, or the node has sent no operation.
        watches: The node watches the key-value service, and has recently been answered.
        losses: Engines that were lately lost under requests of the node; unset for none.
        isolated: Names of engines to which the node has sent an isolated request; unset for none.
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
    losses: tuple[EngineLoss, ...] | UnsetType = UNSET
    isolated: tuple[str, ...] | UnsetType = UNSET


class LoadDigest(msgspec.Struct, frozen=True, kw_only=True, tag="digest"):
    """Reports of several nodes, forwarded by a relay as a datagram.

    Attributes:
        zone: Zone of the relay; a relay of another zone forwards the reports within its own.
    """

    sender: NodeName
    zone: str
    reports: tuple[LoadReport, ...]


LoadMessage = LoadReport | LoadDigest


class LedgerFrame(msgspec.Struct, frozen=True, array_like=True):
    """Payload of one frame between two processes; see ``messages.codec.PeerFrame``."""

    sender: ReplicaId
    recipient: ReplicaId
    message: LedgerMessage


class LoadFrame(msgspec.Struct, frozen=True, array_like=True):
    """Payload of one datagram."""

    message: LoadMessage
