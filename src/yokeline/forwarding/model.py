"""Routes, pools, engines and calls, as the configuration, the registry and callers describe them.

Times are in seconds and sizes in bytes unless a name says otherwise.
"""

from __future__ import annotations

import enum

import msgspec

from yokeline.effects import Address
from yokeline.forwarding.tenants import Credential, TenantDirectory


class RouteKind(enum.Enum):
    """Kind of a route's requests: whether retryable, and whether responses are streamed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class PoolWeight(msgspec.Struct, frozen=True):
    """A pool's share of a route's requests."""

    pool: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """The pools that serve the requests of a host and path prefix, and their limits.

    Attributes:
        pools: Pools with their weights; a single one for most routes.
        timeout: Maximum time until the final answer.
        target_latency: Time within which an answer has its full value.
        priority: Priority of the requests; 0 is served first.
        max_attempts: Maximum number of engines that may run one request.
        retain: Whether turns are kept, so that a later turn sends only the id of its previous turn.
        retention: Time for which a kept turn and a program's budget are stored.
        sticky: Whether requests with one affinity key are served faster by the engine that served
            the key last.
        resumable: Whether a stream can be resumed at another engine.
        public: Whether requests need no key.
        allowed_regions: Regions that may serve, cache and store its requests; empty for all.
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
    allowed_regions: tuple[str, ...] = ()

    @property
    def is_retryable(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def is_resumable_stream(self) -> bool:
        """Whether responses are streams that another engine can continue."""
        return self.kind is RouteKind.STREAMING and self.resumable


class ModelTraits(msgspec.Struct, frozen=True, kw_only=True):
    """Common properties of a pool's model engines.

    Attributes:
        slots: Requests that an engine serves concurrently.
        memory_tokens: Tokens of context that an engine can hold.
        tokens_per_event: Generated tokens per stream event.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """A set of interchangeable engines of a model or an app.

    Attributes:
        cold_seconds: Time for which an engine is cold after a start.
        cold_rate: Requests per second over all nodes that a cold engine sustains; 0 for no bound.
    """

    name: str
    max_connections: int
    model: ModelTraits | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration.

    Attributes:
        tenants: The tenants and their keys; None if the deployment has no tenants.
    """

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: CallerLimits = CallerLimits()
    tenants: TenantDirectory | None = None

    @property
    def pools_of_resumable_streams(self) -> frozenset[str]:
        """Names of the pools that serve streams which can be resumed."""
        return frozenset(
            weight.pool
            for route in self.routes
            if route.is_resumable_stream
            for weight in route.pools
        )

    def longest_resumption(self, pool: str) -> float:
        """Return the longest time for which a stream of a pool can be resumed (seconds)."""
        return max(
            (
                route.timeout
                for route in self.routes
                if route.is_resumable_stream and any(part.pool == pool for part in route.pools)
            ),
            default=0.0,
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix of ``path``, if any."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best


_INCARNATION_SEPARATOR = "@"
_VERSION_MARK = "version="


def make_incarnation_id(instance: str, started_ms: int | None) -> str:
    """Return the id of one incarnation of an engine, unique among all instances and start times.

    Separators within ``instance`` are doubled, so that no instance is named like an incarnation of
    another one.
    """
    escaped = instance.replace(_INCARNATION_SEPARATOR, 2 * _INCARNATION_SEPARATOR)
    return escaped if started_ms is None else f"{escaped}{_INCARNATION_SEPARATOR}{started_ms}"


def make_versioned_id(incarnation_id: str, version: str) -> str:
    """Return the id of an incarnation that shares its instance and start time with another one."""
    return f"{incarnation_id}{_INCARNATION_SEPARATOR}{_VERSION_MARK}{version}"


def is_start_of(engine_id: str, instance: str, started_ms: int | None) -> bool | None:
    """Return whether an incarnation of an instance started at a time; None if that cannot be told.

    An engine that states no start has a name of its own for each start.
    """
    known_id = engine_id.partition(f"{_INCARNATION_SEPARATOR}{_VERSION_MARK}")[0]
    unnamed_id = make_incarnation_id(instance, None)
    if known_id == make_incarnation_id(instance, started_ms):
        return True
    return None if started_ms is None or known_id == unnamed_id else False


def start_of(engine_id: str, instance: str) -> int | None:
    """Return when an incarnation of an instance started (Unix ms); None if its id does not tell."""
    known_id = engine_id.partition(f"{_INCARNATION_SEPARATOR}{_VERSION_MARK}")[0]
    prefix = f"{make_incarnation_id(instance, None)}{_INCARNATION_SEPARATOR}"
    started = known_id.removeprefix(prefix) if known_id.startswith(prefix) else ""
    return int(started) if started.isdecimal() else None


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of an engine process.

    Attributes:
        engine_id: Id of this incarnation. State estimated for an engine is stored under this id,
            since a restarted engine has none of it.
        instance: Name of the engine, the same for each incarnation, by which requests address it;
            ``engine_id`` if not given.
        started_ms: Start time (Unix milliseconds); None if the entry has none.
        draining: Whether the engine is shutting down and accepts no new requests.
        cold_seconds_left: Time for which the engine stays cold, from the writing of its entry.
        version: Version of the engine's software, not of the weights it serves; empty if unknown.
    """

    engine_id: str
    pool: str
    address: Address
    zone: str
    slots: int
    instance: str = ""
    started_ms: int | None = None
    draining: bool = False
    cold_seconds_left: float = 0.0
    version: str = ""

    def __post_init__(self) -> None:
        """Use ``engine_id`` as the instance if none is given."""
        if not self.instance:
            msgspec.structs.force_setattr(self, "instance", self.engine_id)


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt: an id shared between requests, and a size in tokens."""

    part_id: str
    tokens: int


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a caller's request that scheduling depends on.

    Attributes:
        request_id: Id of this attempt of the caller.
        deadline: Time for which the caller waits (seconds).
        program: The agent program that the request belongs to; empty for none.
        session: Session of the turn within the program.
        program_time_left: Time until the program should be finished (seconds); None if not given.
        budget: Tokens that the program may generate in total; None for no budget.
        prompt_tokens: Size of the prompt in tokens.
        max_tokens: Maximum number of tokens that this turn generates.
        hinted_tokens: The caller's estimate of the tokens that this turn generates; None if not
            given.
        prompt_parts: Parts of the prompt, in order.
        last_event_id: The caller resumes a stream after this event; empty for a new stream.
        resumes: Request id of the attempt that began the resumed stream; empty if not given.
        previous_turn: The turn that this one continues; empty for none.
        affinity_key: Key for engine affinity on sticky routes.
        credential: Digest of the caller's key; None without a key.
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
    resumes: str = ""
    previous_turn: str = ""
    affinity_key: str = ""
    credential: Credential | None = None


def continues_program(route: Route, call: Call) -> bool:
    """Return whether a request shows that its program has started.

    A turn names its previous turn; a call of a program is sent from within the program.
    """
    is_call = route.kind is not RouteKind.STREAMING
    return bool(call.previous_turn) or (bool(call.program) and is_call)
