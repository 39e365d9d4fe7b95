"""Chooses the engine with the least estimated cost among those with capacity.

A cost is a time in seconds. Penalties and bonuses are added to the estimated service time.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from yokeline.forwarding.engines import ONE_REGION, EngineState
from yokeline.forwarding.model import Call, ModelTraits
from yokeline.forwarding.prefix_cache import PrefixCacheIndex
from yokeline.ledger.operations import CachedContext
from yokeline.scheduling.eligibility import EligibilityPolicy, EngineQuery, Ineligibility
from yokeline.scheduling.engine_model import EngineLatencyModel
from yokeline.scheduling.engine_subsets import rank
from yokeline.scheduling.topology import Distance, Topology

CROSS_ZONE_PENALTY_SECONDS = 0.016
"""Penalty for an engine in another zone: a round trip and the transfer of the prompt."""
OTHER_REGION_PENALTY_SECONDS = 0.02
"""Further penalty for an engine in another region, besides the measured round trip. Bytes between
regions are charged for, so a request leaves its region only if that saves more than this time."""
SUSPECT_PENALTY_TURNS = 2.0
"""Penalty for an engine that failed recently, in typical turns or calls."""
FAILURE_PENALTY_TURNS = 4.0
"""Penalty for an engine at which all requests fail, in typical turns or calls; scaled by the
failure rate. A failure loses the work done, and callers retry only a few times."""
NON_RETRYABLE_FAILURE_PENALTY_CALLS = 40.0
"""The failure penalty for a call that may not be retried, in typical calls: if the call fails, its
program fails, which has used the time of tens of such calls."""
UNREGISTERED_PENALTY_TURNS = 8.0
"""Penalty for an engine whose registry entry was removed without draining, in typical turns; scaled
by the share of the pool's engines that are still registered. If all entries are gone, the key-value
service was down and the penalty is zero."""
RANK_PENALTY_SHARE = 0.04
"""Penalty for the engine that this node ranks last, as a share of a typical turn or call. It breaks
ties differently at each node."""
NEW_CONNECTION_PENALTY_SECONDS = 0.008
"""Penalty for an engine without an idle connection: two round trips between zones, since TCP slow
start holds back most of a prompt until the first acknowledgement, and a millisecond at each end."""
NON_PREFERRED_CONNECTION_PENALTY_SECONDS = 0.008
"""Further penalty for a new connection to a non-preferred engine: the connection is unlikely to be
reused. The next request to a preferred engine then opens another connection."""
MODEL_OVERCOMMIT = 1.4
APP_OVERCOMMIT = 2.0
"""Maximum requests at an engine, as a multiple of its slots; further requests wait at the nodes."""
NEW_PROGRAM_OVERCOMMIT = 1.0
"""The same limit for first turns. Load above the slots is reserved for programs that have started,
since a program that starts at an overloaded engine finishes late and delays the others."""
AFFINITY_BONUS_SECONDS = 0.02
"""Bonus for the engine that served the affinity key last. Also the assumed duration of a call while
no call was observed."""

ISOLATION_PENALTY_SECONDS = 1.0
"""Penalty for each request at an engine that an isolated request would endanger, and for an engine
that has an isolated request; other requests go there if no other engine has capacity."""
SHARED_ISOLATION_PENALTY_SECONDS = 1000.0
"""Penalty for an engine that has another isolated request: if the engine ended, nothing would tell
which of the two ended it."""

NO_RESTRICTIONS = EligibilityPolicy()


class EngineChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The chosen engine and the estimates behind the choice.

    Attributes:
        state: The engine.
        cost: Estimated cost in seconds, including the delay of other requests at the engine.
        load: Requests that the engine had under way.
        cached_tokens: Prompt tokens that the engine has probably cached.
        predicted_seconds: Seconds from the send to the end of the answer; 0 if not predicted.
        left_out: Engines that were ineligible for the request, by cause.
    """

    state: EngineState
    cost: float
    load: int
    cached_tokens: int
    predicted_seconds: float = 0.0
    left_out: dict[Ineligibility, int] = {}


class ChoiceInputs(msgspec.Struct, frozen=True, kw_only=True):
    """What a choice depends on besides the engines.

    Attributes:
        call: The request.
        traits: Properties of model engines; None for apps.
        zone: Zone of this node.
        excluded: Ids of engines that must not be chosen.
        affinity_engine_id: The engine that served the affinity key last; empty for none.
        cached_context: Where the session's context was last processed, according to the ledger.
        is_new_program: Whether the request is the first turn of a program.
        model: Cost model of the pool's engines; None for apps.
        is_retryable: Whether the request can be sent again after a failure.
        topology: Zones and regions, seen from this node.
        eligibility: Restrictions on the engines.
        allowed_regions: Regions that may serve the request; None for all regions.
        allowed_versions: Software versions that may continue the request's stream; None for all.
        usable_versions: Software versions to which a new stream may be sent; None for all.
        avoided_instances: Names of engines with isolated requests.
        isolation_key: Set if the request is to endanger as few others as possible: names it, so
            that several such requests prefer different engines.
    """

    call: Call
    traits: ModelTraits | None
    zone: str
    excluded: frozenset[str] = frozenset()
    affinity_engine_id: str = ""
    cached_context: CachedContext | None = None
    is_new_program: bool = False
    model: EngineLatencyModel | None = None
    is_retryable: bool = True
    topology: Topology = ONE_REGION
    eligibility: EligibilityPolicy = NO_RESTRICTIONS
    allowed_regions: frozenset[str] | None = None
    allowed_versions: frozenset[str] | None = None
    usable_versions: frozenset[str] | None = None
    avoided_instances: frozenset[str] = frozenset()
    isolation_key: str = ""

    @property
    def is_bound_to_versions(self) -> bool:
        """Whether engines of some versions may not be chosen."""
        return self.allowed_versions is not None or self.usable_versions is not None


class PoolStatistics(msgspec.Struct, frozen=True):
    """Statistics over the engines of a pool.

    Attributes:
        median_call_seconds: Median duration of a call; 0 if not known.
        registered_share: Share of the engines that have an entry in the key-value service.
    """

    median_call_seconds: float
    registered_share: float


def choose_engine(
    engines: list[EngineState], prefix_cache: PrefixCacheIndex, inputs: ChoiceInputs, now: float
) -> EngineChoice | None:
    """Return the eligible engine with the least cost; None if none has capacity."""
    best: EngineChoice | None = None
    is_restricted = inputs.eligibility.is_active or inputs.is_bound_to_versions
    left_out: Counter[Ineligibility] = Counter()
    median_call_seconds = _median_call_seconds(engines) if inputs.model is None else 0.0
    registered_share = sum(not state.expires_at for state in engines) / max(1, len(engines))
    pool = PoolStatistics(median_call_seconds, registered_share)
    for state in engines:
        if state.engine.engine_id in inputs.excluded or now < state.full_until:
            continue
        if state.load >= max_load(state, inputs):
            continue
        if is_restricted:
            cause = ineligibility(state, prefix_cache, inputs, now)
            if cause is not None:
                left_out[cause] += 1
                continue
        choice = _estimate(state, prefix_cache, inputs, pool, now)
        if best is None or choice.cost < best.cost:
            best = choice
    if best is not None and left_out:
        return msgspec.structs.replace(best, left_out=dict(left_out))
    return best


def ineligibility(
    state: EngineState, prefix_cache: PrefixCacheIndex, inputs: ChoiceInputs, now: float
) -> Ineligibility | None:
    """Return why a request may not be sent to an engine now; None if it may."""
    versions = inputs.allowed_versions
    if versions is not None and state.engine.version not in versions:
        return Ineligibility.OTHER_VERSION
    query = EngineQuery(
        engine_id=state.engine.engine_id,
        zone=state.engine.zone,
        session=inputs.call.session,
        is_new_program=inputs.is_new_program,
        cached_tokens=_cached_tokens(state, prefix_cache, inputs),
        allowed_regions=inputs.allowed_regions,
    )
    cause = inputs.eligibility.check(query, now)
    usable = inputs.usable_versions
    if cause is None and usable is not None and state.engine.version not in usable:
        return Ineligibility.VERSION_UNRECORDED
    return cause


def max_load(state: EngineState, inputs: ChoiceInputs) -> int:
    """Return the number of requests at an engine from which on it does not receive this one."""
    overcommit = APP_OVERCOMMIT
    if inputs.traits is not None:
        overcommit = NEW_PROGRAM_OVERCOMMIT if inputs.is_new_program else MODEL_OVERCOMMIT
    return max(1, int(state.engine.slots * overcommit))


def _estimate(
    state: EngineState,
    prefix_cache: PrefixCacheIndex,
    inputs: ChoiceInputs,
    pool: PoolStatistics,
    now: float,
) -> EngineChoice:
    if inputs.model is not None:
        choice = _estimate_turn(state, prefix_cache, inputs, inputs.model, now)
        typical_seconds = inputs.model.typical_turn_seconds
    else:
        choice = _estimate_call(state, pool.median_call_seconds)
        typical_seconds = pool.median_call_seconds or AFFINITY_BONUS_SECONDS
    cost = choice.cost
    if state.engine.zone != inputs.zone:
        cost += CROSS_ZONE_PENALTY_SECONDS
    if inputs.affinity_engine_id == state.engine.engine_id:
        cost -= AFFINITY_BONUS_SECONDS
    failure_penalty = (
        FAILURE_PENALTY_TURNS if inputs.is_retryable else NON_RETRYABLE_FAILURE_PENALTY_CALLS
    )
    cost += state.failure_rate(now) * failure_penalty * typical_seconds
    if now < state.suspect_until:
        cost += SUSPECT_PENALTY_TURNS * typical_seconds
    cost += state.rank * RANK_PENALTY_SHARE * typical_seconds
    has_idle_connection = state.has_idle_connection(now)
    if not has_idle_connection:
        cost += _connection_cost(state)
    if inputs.topology.distance(state.engine.zone) is Distance.OTHER_REGION:
        round_trip = inputs.topology.round_trip(state.engine.zone, now)
        cost += OTHER_REGION_PENALTY_SECONDS + round_trip
        cost += 0.0 if has_idle_connection else round_trip
    cost += _isolation_cost(state, inputs)
    if state.expires_at:
        cost += pool.registered_share * UNREGISTERED_PENALTY_TURNS * typical_seconds
    return msgspec.structs.replace(choice, cost=cost)


def _isolation_cost(state: EngineState, inputs: ChoiceInputs) -> float:
    """Return the cost of the danger that isolated requests are to other requests."""
    is_avoided = state.engine.instance in inputs.avoided_instances
    if not inputs.isolation_key:
        return ISOLATION_PENALTY_SECONDS if is_avoided else 0.0
    preference = rank(inputs.isolation_key, state.engine.instance)
    cost = (state.load + preference) * ISOLATION_PENALTY_SECONDS
    return cost + SHARED_ISOLATION_PENALTY_SECONDS if is_avoided else cost


def _connection_cost(state: EngineState) -> float:
    """Return the cost of a new connection, apart from the distance to another region."""
    if state.is_preferred:
        return NEW_CONNECTION_PENALTY_SECONDS
    return NEW_CONNECTION_PENALTY_SECONDS + NON_PREFERRED_CONNECTION_PENALTY_SECONDS


def _estimate_turn(
    state: EngineState,
    prefix_cache: PrefixCacheIndex,
    inputs: ChoiceInputs,
    model: EngineLatencyModel,
    now: float,
) -> EngineChoice:
    """Estimate a turn's duration, its delay of concurrent turns, and its wait for a slot."""
    load = state.load
    slots = max(1, state.engine.slots)
    cached_tokens = _cached_tokens(state, prefix_cache, inputs)
    prediction = model.predict(
        state.engine.engine_id,
        uncached_tokens=max(0, inputs.call.prompt_tokens - cached_tokens),
        concurrent_turns=load,
        now=now,
        reported_profile=state.reported_profile,
        reported_slowness=state.reported_slowness,
        hinted_events=_hinted_events(inputs),
    )
    queue_seconds = max(0, load - slots + 1) * prediction.seconds / slots
    return EngineChoice(
        state=state,
        cost=prediction.cost + queue_seconds,
        load=load,
        cached_tokens=cached_tokens,
        predicted_seconds=prediction.seconds + queue_seconds,
    )


def _hinted_events(inputs: ChoiceInputs) -> float | None:
    hinted_tokens, traits = inputs.call.hinted_tokens, inputs.traits
    if hinted_tokens is None or traits is None:
        return None
    return hinted_tokens / max(1, traits.tokens_per_event)


def _estimate_call(state: EngineState, median_call_seconds: float) -> EngineChoice:
    """Estimate a call's cost from the load of an app and its latency relative to the pool."""
    load = state.load
    slots = max(1, state.engine.slots)
    call_seconds = state.call_seconds or AFFINITY_BONUS_SECONDS
    cost = load / slots * call_seconds
    cost += max(0, load - slots + 1) * call_seconds / slots
    if median_call_seconds and state.call_seconds > median_call_seconds:
        cost += state.call_seconds - median_call_seconds
    return EngineChoice(state=state, cost=cost, load=load, cached_tokens=0)


def _cached_tokens(state: EngineState, prefix_cache: PrefixCacheIndex, inputs: ChoiceInputs) -> int:
    """Return how many leading prompt tokens an engine has probably cached."""
    engine_id = state.engine.engine_id
    tokens = prefix_cache.cached_tokens(engine_id, inputs.call.prompt_parts)
    context = inputs.cached_context
    if context is not None and context.engine_id == engine_id:
        tokens = max(tokens, min(context.tokens, inputs.call.prompt_tokens))
    return tokens


def _median_call_seconds(engines: list[EngineState]) -> float:
    """Return the median call duration of a pool's engines; 0 if none is known."""
    paces = sorted(state.call_seconds for state in engines if state.call_seconds)
    return paces[len(paces) // 2] if paces else 0.0
