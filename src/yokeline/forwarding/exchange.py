"""State of one caller's request while it is under way."""

from __future__ import annotations

import enum
from collections.abc import Collection

import msgspec

from yokeline.effects import Address, BodyFraming, HttpArrived, HttpResponse
from yokeline.forwarding.attempts import Attempts
from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.model import Call, Route, RouteKind
from yokeline.forwarding.stream_copies import RelayedStream, memory_of
from yokeline.forwarding.tenants import ScopedNames, Tenant
from yokeline.identifiers import ExchangeId, RequestId
from yokeline.ledger.messages import StreamEvent
from yokeline.ledger.operations import CachedContext, Operation, RateLimit
from yokeline.losses.loss_keys import LossKey
from yokeline.scheduling.room_waits import RoomWait
from yokeline.timers import Timer


class Phase(enum.Enum):
    """Phase of a request."""

    RESERVING = "reserving"
    """Waiting for the ledger to grant budget, history or the tenant's limit."""
    WAITING = "waiting"
    """Waiting for an engine with capacity."""
    SENT = "sent"
    """Sent to an engine that has not begun to respond."""
    STREAMING = "streaming"
    """The head of the response was sent to the caller; events follow."""
    KEEPING = "keeping"
    """The stream is complete; the ledger is asked to keep the turn."""
    ENDED = "ended"


class HistorySource(enum.Enum):
    """Where the texts of a turn's earlier turns come from."""

    CACHED = "cached"
    """This node has them, or there are none."""
    FETCHING = "fetching"
    """They were requested from a nearby replica."""
    REPLICA = "replica"
    """The replica sent them."""
    LEADER = "leader"
    """The leader sends them with the reservation."""


class StreamOrigin(enum.Enum):
    """What is known of the version that began a resumed stream."""

    UNRESOLVED = "unresolved"
    """Nothing yet, or the request resumes no stream."""
    ASKED = "asked"
    """The ledger is asked."""
    KNOWN = "known"
    """This node or the ledger knows that the caller's tenant began the stream, and where."""
    ASSUMED = "assumed"
    """Only one version serves; the stream itself is not known."""
    UNKNOWN = "unknown"
    """It cannot be known: the stream is not continued."""


class Exchange(msgspec.Struct, kw_only=True, eq=False):
    """One request of a caller and its response.

    Attributes:
        deadline: When the caller must have the final answer (monotonic seconds).
        names: Names under which the request's state is stored.
        tenant: The tenant that sent the request; None without tenants or a known key.
        forwards_credential: Whether the ``Authorization`` header is passed to the engine.
        limit: The tenant's rate limit; None if the request does not count against one.
        limit_waits: How often the request has waited for that limit.
        was_held_back: Whether it has waited because its tenant was beyond its fair share.
        is_revoked: Whether its key was revoked; it is not sent to an engine any more.
        allowed_regions: Regions that may serve the request; None for all regions.
        pool: The pool that serves it.
        body: Body for the engine: the history of the chain followed by the caller's body.
        has_reservation: Whether the ledger holds a reservation that is to be settled.
        is_complete: Whether the stream has ended completely.
        cached_context: Where the session's context was last processed, according to the ledger.
        spent_tokens: Tokens that the program has used so far, according to the ledger.
        ledger_operation: The operation that waits for the ledger's answer.
        sends: Number of sends to engines.
        possible_runs: Sends after which the engine may have run the request.
        rejections: Sends that engines rejected without running the request.
        rejecting_addresses: Addresses at which engines rejected it.
        rejected_by: Engines that rejected it although they seemed to have free slots.
        excluded_engine_ids: Engines that failed or rejected it.
        attempts: The engines that count against the limit of its route.
        engine: The engine that has the request now.
        uncached_tokens: Prompt tokens that the engine probably had to process.
        engine_request_id: Id of the request under way to the engine.
        response_head: Head of the response, held back until the first event.
        engine_framing: How the end of the latest engine's stream is marked; None before its head.
        allowed_versions: Software versions of engines that may continue the stream; None for a
            stream without an event, and empty if it is not known which version began it.
        has_mixed_versions: Whether its stream may be resumed, and its pool had engines of several
            versions when it arrived.
        is_version_uncertain: Whether the engine that has the request may have restarted with
            another version before it got it.
        stream_origin: Whether the version that began a resumed stream is known.
        stream_lookups: How often the ledger was asked for it and had no record.
        last_event_id: Id of the last event sent to the caller.
        relayed_events: Number of events sent to the caller.
        tokens_per_event: Generated tokens per event, by its pool at the latest send.
        has_unfinished_event: Whether an engine broke off inside an event, and none came since.
        kept_events: Events that the caller has, those of earlier attempts included, for a turn that
            is to be kept.
        relayed: The stream, for other attempts of its caller; None before the first event, and on
            routes whose turns are not kept or whose streams are not resumable.
        has_beginning: Whether ``kept_events`` holds what the caller had of the resumed stream.
        given_tokens: Tokens that the caller had of it.
        kept_mark: What the ledger keeps in place of the turn's text; empty for the text itself.
        history_root: First turn of its chain; empty without earlier turns.
        room_wait: Its wait for an engine with capacity; None before the wait was decided.
        history_source: Where the texts of its chain come from.
        asked_leader_for_history: Whether the leader was asked for the texts after the grant.
        granted_at: When the ledger granted its reservation; 0 without one.
        sent_at: When it was last sent to an engine.
        last_event_at: When the engine's last event arrived.
        load_when_sent: Requests that the engine had under way at the send.
        predicted_seconds: Predicted time from the send to the end.
        loss_key: What its losses are recorded under; None before they are recorded or looked for.
        loss_id: Id under which its present attempt was told to other nodes; empty if it was not.
        prior_losses: Generations of losses that were known when it was last permitted.
        knows_losses: Whether the ledger was asked for losses of earlier attempts.
        is_isolated: Whether it is sent only to engines without another request that has lost as
            many engines.
    """

    exchange_id: ExchangeId
    incoming: HttpArrived
    call: Call
    route: Route
    attempts: Attempts
    deadline: float
    arrived_at: float
    names: ScopedNames
    tenant: Tenant | None = None
    forwards_credential: bool = True
    limit: RateLimit | None = None
    limit_waits: int = 0
    was_held_back: bool = False
    is_revoked: bool = False
    allowed_regions: frozenset[str] | None = None
    pool: str = ""
    body: bytes = b""
    phase: Phase = Phase.WAITING
    has_reservation: bool = False
    is_complete: bool = False
    cached_context: CachedContext | None = None
    spent_tokens: int = 0
    ledger_operation: Operation | None = None
    sends: int = 0
    possible_runs: int = 0
    rejections: int = 0
    rejecting_addresses: set[Address] = msgspec.field(default_factory=set)
    rejected_by: list[EngineState] = msgspec.field(default_factory=list)
    excluded_engine_ids: set[str] = msgspec.field(default_factory=set)
    engine: EngineState | None = None
    uncached_tokens: int = 0
    engine_request_id: RequestId | None = None
    response_head: HttpResponse | None = None
    engine_framing: BodyFraming | None = None
    allowed_versions: frozenset[str] | None = None
    has_mixed_versions: bool = False
    is_version_uncertain: bool = False
    stream_origin: StreamOrigin = StreamOrigin.UNRESOLVED
    stream_lookups: int = 0
    last_event_id: str = ""
    relayed_events: int = 0
    tokens_per_event: int = 1
    has_unfinished_event: bool = False
    kept_events: list[StreamEvent] = msgspec.field(default_factory=list)
    relayed: RelayedStream | None = None
    has_beginning: bool = False
    given_tokens: int = 0
    kept_mark: bytes = b""
    history_root: str = ""
    waiting_since: float = 0.0
    room_wait: RoomWait | None = None
    history_source: HistorySource = HistorySource.CACHED
    asked_leader_for_history: bool = False
    granted_at: float = 0.0
    sent_at: float = 0.0
    last_event_at: float = 0.0
    load_when_sent: int = 0
    predicted_seconds: float = 0.0
    first_event_at: float | None = None
    loss_key: LossKey | None = None
    loss_id: str = ""
    prior_losses: int = 0
    knows_losses: bool = False
    is_isolated: bool = False
    timers: list[Timer] = msgspec.field(default_factory=list)

    @property
    def text_bytes(self) -> int:
        """Memory of the body with its history, and of the output that is to be kept."""
        body = 0 if self.body is self.incoming.body else len(self.body)
        return body + memory_of(self.kept_events)

    @property
    def has_ended(self) -> bool:
        """Whether the caller has the final answer, or has left."""
        return self.phase is Phase.ENDED

    @property
    def priority(self) -> int:
        """Priority of the request (0 first): its tenant's if set, else its route's."""
        own = self.tenant.priority if self.tenant is not None else None
        return self.route.priority if own is None else own

    @property
    def tenant_name(self) -> str:
        """The tenant's name; empty without a tenant."""
        return self.tenant.name if self.tenant is not None else ""

    @property
    def continues_stream(self) -> bool:
        """Whether the caller says that it resumes a stream."""
        return self.route.is_resumable_stream and bool(self.call.last_event_id)

    @property
    def lacks_beginning(self) -> bool:
        """Whether the turn is to be kept, and events that its caller has are not known yet."""
        return self.route.retain and self.continues_stream and not self.has_beginning

    @property
    def continues_known_stream(self) -> bool:
        """Whether the request resumes a begun stream, for which only some engines are eligible.

        A caller's word alone must not exempt a first turn from its tenant's share.
        """
        return self.has_mixed_versions and self.stream_origin is StreamOrigin.KNOWN

    @property
    def lacks_event(self) -> bool:
        """Whether the stream is known to have an event that no engine has sent whole.

        A stream has at least one event, and an event that an engine began exists. A turn that is
        to be kept has the events of its caller's earlier attempts, too.
        """
        if self.route.retain:
            has_event = bool(self.kept_events)
        else:
            has_event = bool(self.relayed_events or self.call.last_event_id)
        return not has_event or self.has_unfinished_event

    @property
    def is_first_turn(self) -> bool:
        """Whether the request is the first turn of a program and no event of it was relayed."""
        if self.route.kind is not RouteKind.STREAMING or self.continues_known_stream:
            return False
        return bool(self.call.program) and not self.program_started and not self.relayed_events

    @property
    def is_unstarted_first_turn(self) -> bool:
        """Whether the request is a first turn that no engine can have run yet."""
        return self.is_first_turn and not self.possible_runs

    def is_unstarted_first_turn_of(self, tenants: Collection[str]) -> bool:
        """Return whether the request is an unstarted first turn of one of some tenants."""
        return self.is_unstarted_first_turn and self.tenant_name in tenants

    @property
    def program_started(self) -> bool:
        """Whether the request belongs to a program that has had a turn before."""
        return self.spent_tokens > 0 or bool(self.call.previous_turn)


def framing_label(exchange: Exchange) -> str:
    """Return how the end of the engine's stream is marked, for logs; empty before its head."""
    return exchange.engine_framing.value if exchange.engine_framing is not None else ""
