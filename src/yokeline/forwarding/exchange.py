"""What a node knows of one caller's request while it is under way."""

from __future__ import annotations

import enum
from collections.abc import Collection

import msgspec

from yokeline.effects import HttpArrived, HttpResponse
from yokeline.forwarding.attempts import Attempts
from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.model import Call, Route, RouteKind
from yokeline.forwarding.tenants import ScopedNames, Tenant
from yokeline.identifiers import ExchangeId, RequestId
from yokeline.ledger.operations import CachedContext, Operation, RateLimit
from yokeline.scheduling.room_waits import RoomWait
from yokeline.timers import Timer


class Phase(enum.Enum):
    """Where a request stands."""

    RESERVING = "reserving"
    """The ledger is asked for budget and history."""
    WAITING = "waiting"
    """For an engine with room."""
    SENT = "sent"
    """At an engine, without an answer."""
    STREAMING = "streaming"
    """The head of the answer is out; events follow."""
    KEEPING = "keeping"
    """The stream is whole; the ledger is asked to keep the turn."""
    ENDED = "ended"


class HistorySource(enum.Enum):
    """How a node comes by the texts of the turns before one."""

    CACHED = "cached"
    """They are here, or there are none."""
    FETCHING = "fetching"
    """A replica near by is asked."""
    REPLICA = "replica"
    """That replica had them."""
    LEADER = "leader"
    """The leader sends them with the reservation."""


class Exchange(msgspec.Struct, kw_only=True, eq=False):
    """One request of a caller.

    Attributes:
        due: When it must have its final answer.
        names: Under which its state is kept.
        tenant: Whose it is; None on a public route without a key, and without tenants.
        shows_credential: The caller's key is no key of ours, and goes to the engine.
        limit: What its tenant is given, if it counts against that.
        limit_waits: Times that it has waited for that.
        was_held_back: It has waited since its tenant held more than its share.
        is_revoked: Its key was taken away; it is not sent to an engine any more.
        pool: The pool that serves it.
        body: What an engine receives: the history of its chain, then the caller's body.
        reserved: The ledger counts its most until it is settled.
        is_whole: Its stream has ended whole.
        context: Where its line of turns was last read, as the ledger knows.
        sends: Requests to engines so far.
        runs: Of those, how many may have run.
        rejections: How many said that they did not.
        refused_by: Of those, the engines that seemed to have free places.
        tried: Engines that failed or rejected it.
        attempts: The engines that count against the limit of its route.
        engine: Where it is now.
        head: The answer's head, held back until the first event.
        last_event_id: Of the last event passed on.
        events: Events passed on.
        text: Data of the events, for a turn that is kept.
        kept_event_id: Of the last event whose data is in ``text``.
        room_wait: Its wait for an engine with room; None before that was decided.
        history: Where the texts of its chain came from.
        asked_for_texts: The leader was asked for them after the reservation was granted.
        granted_at: When the ledger granted its reservation; 0 if it needs none.
        sent_at: When it was last sent to an engine.
        item_at: When the engine's last event came.
        beside: Requests that the engine had under way when it was sent there.
        predicted: Seconds from the send to the end, as the choice expected.
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
    rejected_by: list[EngineState] = msgspec.field(default_factory=list)
    excluded_engine_ids: set[str] = msgspec.field(default_factory=set)
    engine: EngineState | None = None
    uncached_tokens: int = 0
    engine_request_id: RequestId | None = None
    response_head: HttpResponse | None = None
    last_event_id: str = ""
    relayed_events: int = 0
    kept_text: list[bytes] = msgspec.field(default_factory=list)
    kept_event_id: str = ""
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
    timers: list[Timer] = msgspec.field(default_factory=list)

    @property
    def priority(self) -> int:
        """Rank of the request (0 first): its tenant's, or else its route's."""
        own = self.tenant.priority if self.tenant is not None else None
        return self.route.priority if own is None else own

    @property
    def tenant_name(self) -> str:
        """The tenant's name; empty without one."""
        return self.tenant.name if self.tenant is not None else ""

    @property
    def is_first_turn(self) -> bool:
        """Whether it is the first turn of a program, of which nothing has been passed on."""
        if self.route.kind is not RouteKind.STREAMING:
            return False
        return bool(self.call.program) and not self.program_started and not self.relayed_events

    @property
    def is_unstarted_first_turn(self) -> bool:
        """Whether it begins a program, and no engine may have run it yet."""
        return self.is_first_turn and not self.possible_runs

    def is_unstarted_first_turn_of(self, tenants: Collection[str]) -> bool:
        """Return whether it waits to begin a program of one of some tenants."""
        return self.is_unstarted_first_turn and self.tenant_name in tenants

    @property
    def program_started(self) -> bool:
        """Whether it belongs to a program that has had a turn before."""
        return self.spent_tokens > 0 or bool(self.call.previous_turn)
