"""Routes, pools and engines: what the configuration and the engines say of themselves.

Times are seconds, sizes bytes, unless a name says otherwise.
"""

from __future__ import annotations

import enum

import msgspec

from yokeline.effects import Address
from yokeline.forwarding.tenants import Credential, TenantDirectory


class RouteKind(enum.Enum):
    """What may be repeated, and how an answer arrives."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class PoolWeight(msgspec.Struct, frozen=True):
    """A pool's share of a route's requests."""

    pool: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Which pools serve the requests of a host and path prefix, and within what limits.

    Attributes:
        pools: The pools with their weights; one for most routes.
        timeout: Longest time for which a request is held.
        target_latency: Time within which an answer is of full worth.
        priority: Rank; 0 is served first.
        max_attempts: Most engines that may run one request.
        retain: Turns are kept, so that a later one names its previous turn only.
        retention: How long a retained turn and a program's budget are kept.
        sticky: Requests of one subject are served faster by the engine that saw it last.
        resumable: A stream may be continued at another engine.
        public: Requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    pools: tuple[PoolWeight, ...]
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int = 1
    retain: bool = False
    retention: float = 60.0
    sticky: bool = False
    resumable: bool = False
    public: bool = False

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class ModelTraits(msgspec.Struct, frozen=True, kw_only=True):
    """What the engines of a pool of model engines have in common.

    Attributes:
        slots: Requests that an engine works on at once.
        memory_tokens: Tokens of context that an engine holds.
        tokens_per_event: Generated tokens in each event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """A set of interchangeable engines (of a model, or of an app)."""

    name: str
    max_connections: int
    model: ModelTraits | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take or rest."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration, whole.

    Attributes:
        tenants: Who holds which key; None where the deployment has no tenants.
    """

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: CallerLimits = CallerLimits()
    tenants: TenantDirectory | None = None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, if there is one."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best


_INCARNATION_SEPARATOR = "@"


def make_incarnation_id(instance: str, started_ms: int | None) -> str:
    """Return the name of one start of an engine; no two starts share one.

    A mark within ``instance`` is doubled, so that no instance is called like another one's start.
    """
    escaped = instance.replace(_INCARNATION_SEPARATOR, 2 * _INCARNATION_SEPARATOR)
    return escaped if started_ms is None else f"{escaped}{_INCARNATION_SEPARATOR}{started_ms}"


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """One start of an engine process.

    Attributes:
        engine_id: Names this start. What is believed of an engine is kept under this name, since
            an engine that starts again holds nothing of before.
        instance: The name by which it is addressed, the same for each of its starts; as
            ``engine_id`` if not given.
        started_ms: When it started (Unix milliseconds); None if it does not say.
        draining: It is leaving and takes no new work.
    """

    engine_id: str
    pool: str
    address: Address
    zone: str
    slots: int
    instance: str = ""
    started_ms: int | None = None
    draining: bool = False

    def __post_init__(self) -> None:
        """Address it by its only name if no other one is given."""
        if not self.instance:
            msgspec.structs.force_setattr(self, "instance", self.engine_id)


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt: its identity, shared between requests, and its size in tokens."""

    part_id: str
    tokens: int


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request as far as scheduling is concerned.

    Attributes:
        request_id: Names this try of the caller.
        deadline: Seconds that the caller will wait.
        program: The agent program it belongs to; empty for none.
        session: The line of turns within the program.
        finish: Seconds until the program should be over; None if not said.
        budget: Tokens that the program may generate in all; None for no budget.
        prompt_tokens: Tokens of the prompt.
        most_tokens: Most tokens that this turn generates.
        hinted_tokens: The caller's guess of what this turn generates; None if not said.
        parts: The parts of the prompt, in order.
        last_event_id: The caller resumes a stream after this event; empty for a new one.
        previous_turn: The turn that this one continues; empty for none.
        affinity_key: The subject, for sticky routes.
        credential: The digest of the caller's key; None without one.
    """

    request_id: str
    deadline: float
    program: str = ""
    session: str = ""
    program_time_left: float | None = None
    budget: int | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    hinted_tokens: int | None = None
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ""
    previous_turn: str = ""
    affinity_key: str = ""
    credential: Credential | None = None


def continues_program(route: Route, call: Call) -> bool:
    """Return whether a request shows by itself that its program has had a turn before.

    It names that turn, or it is a call, which comes from within a program.
    """
    is_call = route.kind is not RouteKind.STREAMING
    return bool(call.previous_turn) or (bool(call.program) and is_call)
