"""Life cycle of requests at a node: admission, reservation, dispatch, response, retry or refusal.

The module does no I/O: events and times go in, effects come out. It handles the events and calls
the modules for each step: ``reservations``, ``dispatcher``, ``engine_sender``, ``stream_relay``,
``retries``, ``settlements`` and ``responder``.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from returns.result import Success

from yokeline.effects import (
    Address,
    Effect,
    HttpArrived,
    HttpFailed,
    HttpResponse,
    HttpStreamEnded,
    HttpStreamItem,
)
from yokeline.forwarding.admission import (
    STALE_CONFIGURATION,
    UNKNOWN_KEY,
    Admitted,
    Denied,
    admit,
    is_still_admitted,
)
from yokeline.forwarding.attempts import Attempts
from yokeline.forwarding.configuration_lease import LeaseState
from yokeline.forwarding.dialect import Dialect
from yokeline.forwarding.dispatcher import Dispatcher
from yokeline.forwarding.engine_choice import NO_RESTRICTIONS
from yokeline.forwarding.engine_gauges import pace_gauges
from yokeline.forwarding.engine_sender import EngineSender
from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.exchange import Exchange, StreamOrigin
from yokeline.forwarding.exit_admission import STOPPING, ExitAdmission
from yokeline.forwarding.held_requests import HeldRequests
from yokeline.forwarding.http_helpers import host_of
from yokeline.forwarding.http_statuses import (
    BAD_REQUEST,
    GATEWAY_TIMEOUT,
    NOT_FOUND,
    SERVER_ERROR,
    SUCCESS,
    TOO_LARGE,
    UNAUTHORIZED,
    UNAVAILABLE,
)
from yokeline.forwarding.model import Call, Engine, Route, RouteKind, RoutingTable
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.outcome_recorder import OutcomeRecorder
from yokeline.forwarding.planned_stop import PlannedStop
from yokeline.forwarding.regional_turns import RegionalTurns
from yokeline.forwarding.request_ends import RequestEnds
from yokeline.forwarding.reservations import Reservations
from yokeline.forwarding.residency import (
    CANNOT_KEEP_IN_REGIONS,
    NO_ENGINE_IN_REGIONS,
    DataResidency,
)
from yokeline.forwarding.responder import Responder
from yokeline.forwarding.retries import RetryHandler
from yokeline.forwarding.settlements import Settlements
from yokeline.forwarding.stream_beginnings import StreamBeginnings
from yokeline.forwarding.stream_relay import StreamRelay
from yokeline.forwarding.stream_versions import StreamVersions
from yokeline.forwarding.tenant_limits import NO_TOLERANCE, LimitTolerance, TenantLimits, limit_of
from yokeline.forwarding.tenant_loads import TenantLoadReader
from yokeline.forwarding.traffic_split import TrafficSplit
from yokeline.forwarding.turn_cache import TurnCache
from yokeline.forwarding.turn_operations import needs_ledger, needs_reservation
from yokeline.histogram import Histogram
from yokeline.identifiers import ExchangeId, RequestId
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.history_fetches import HistoryFetches
from yokeline.ledger.regional_texts import RegionalTexts
from yokeline.losses.engine_losses import EngineLosses
from yokeline.losses.loss_synchronization import LossSynchronization
from yokeline.losses.quarantine import Quarantine
from yokeline.registry.watch import WATCH_SECONDS
from yokeline.scheduling.eligibility import EligibilityPolicy
from yokeline.scheduling.retry_delays import RefusedCaller, retry_delay_after_outage

NO_ADDRESS = Address("", 0)
RESTART_DETECTION_SECONDS = WATCH_SECONDS
"""Time for which a node may not know that an engine has restarted, and send to the new incarnation
under the id of the previous one."""
DEADLINE_TOLERANCE_SECONDS = 0.05
"""Time before a deadline within which a 504 of an engine counts as caused by the deadline. The
engine measures from when it received the request, and its response takes a few milliseconds."""


def _always(_size: int) -> bool:
    """Return that there is room; the default if the memory is not known."""
    return True


class Forwarder:
    """Requests under way at one node.

    Attributes:
        refusing: Whether new requests are refused, since the process is about to exit.
        stream_beginnings: The events of streams that callers may resume.
        planned_stop: Decides which requests may begin once the node was asked to stop; None for
            all.
        lease_state: Returns the state of the configuration's lease at a time (monotonic seconds);
            always valid by default.
        proof_age: Returns the age of the lease's proof at a time (seconds), for the log.
    """

    def __init__(
        self,
        *,
        zone: str,
        dialect: Dialect,
        ledger: LedgerClient,
        histories: HistoryFetches,
        engines: EngineTable,
        tolerance: LimitTolerance = NO_TOLERANCE,
        process: str = "",
        eligibility: EligibilityPolicy = NO_RESTRICTIONS,
        residency: DataResidency | None = None,
        texts: RegionalTexts | None = None,
        has_room: Callable[[int], bool] = _always,
    ) -> None:
        """Serve in a zone.

        ``tolerance`` is what tenants may use beyond their limits. ``process`` identifies this
        process in the ids of ledger operations, so that no two requests share one. ``eligibility``
        restricts the engines that requests may be sent to, among others by ``residency``; ``texts``
        stores the texts of turns that are bound to regions. ``has_room`` says whether this node has
        memory for the body of a request.
        """
        self.refusing = False
        self.planned_stop: PlannedStop | None = None
        self.lease_state: Callable[[float], LeaseState] = _always_valid
        self.proof_age: Callable[[float], float] = _zero_age
        self._dialect = dialect
        self._tolerance = tolerance
        self._process = process
        self._outcomes = OutcomeRecorder(dialect)
        self._state = NodeState(
            zone, engines, self._outcomes, eligibility, residency or DataResidency()
        )
        ledger.turns.tenants = TenantLoadReader(self._state)
        ledger.shares_told = self._state.fair_shares.apply_leader_report
        self._held = HeldRequests()
        self._traffic_split = TrafficSplit()
        turn_cache = self._turn_cache = TurnCache()
        settlements = Settlements(self._state, ledger)
        self._streams = StreamVersions(self._state, ledger, process)
        self._regional_turns = RegionalTurns(
            self._state, texts or RegionalTexts(NO_ADDRESS), settlements, turn_cache
        )
        self._responder = Responder(self._state, settlements, dialect)
        self._sender = EngineSender(self._state, settlements, dialect)
        self._dispatcher = Dispatcher(self._state, self._sender, self._responder)
        self._losses = EngineLosses(self._state, ledger, process)
        self.loss_synchronization = LossSynchronization(self._state, ledger, self._losses, process)
        self._quarantine = Quarantine(
            self._state, self._losses, self.loss_synchronization, self._responder, dialect
        )
        self._dispatcher.permit = self._quarantine.permit
        self._dispatcher.is_still_permitted = self._quarantine.is_still_permitted
        self._responder.on_finished = self._quarantine.forget
        self._retries = RetryHandler(
            self._state, self._sender, self._dispatcher, self._responder, self._losses
        )
        self.stream_beginnings = StreamBeginnings(self._state, self._responder)
        self._stream_relay = StreamRelay(
            self._state,
            self._sender,
            settlements,
            self._responder,
            self._retries,
            turn_cache,
            self._regional_turns,
            self._streams,
            self.stream_beginnings,
            self._losses,
            dialect,
        )
        self._ends = RequestEnds(self._state, self._sender, self._responder, self._losses)
        self._exit_admission = ExitAdmission(self._state)
        self._tenant_limits = TenantLimits(
            self._state, ledger, self._responder, self._enqueue_and_dispatch
        )
        self._retries.on_rerun = self._tenant_limits.debit_rerun
        self._reservations = Reservations(
            self._state,
            ledger,
            histories,
            self._responder,
            turn_cache,
            self._regional_turns,
            self._tenant_limits,
            self._streams,
            self._losses,
            self._handle_granted,
            has_room,
        )

    # ------------------------------------------------------------ memory

    def held_bytes(self) -> int:
        """Return the memory of bodies with a history, and of outputs that are to be kept."""
        return sum(exchange.text_bytes for exchange in self._state.exchanges.values())

    def cached_bytes(self) -> int:
        """Return the memory of the cached turns, and of the events of streams held for others."""
        return self._turn_cache.held_bytes + self.stream_beginnings.held_bytes

    def drop_caches(self) -> None:
        """Evict the cached turns, which replicas have, and the events of streams."""
        self._turn_cache.clear()
        self.stream_beginnings.clear()

    # ------------------------------------------------------------ interface of the node

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force; None before the first one."""
        return self._state.table

    @table.setter
    def table(self, table: RoutingTable | None) -> None:
        self._state.table = table
        self._outcomes.configuration_version = table.version if table is not None else 0
        if table is not None:
            self._state.route_durations.keep({route.name for route in table.routes})
            self._state.residency.set_table(table)
            self._revoke_keys(table)
            for exchange in self._state.exchanges.values():
                self._state.residency.rebind(exchange, table)

    def _revoke_keys(self, table: RoutingTable) -> None:
        """Refuse requests with revoked keys that were not run; exclude the others from retries."""
        for exchange in list(self._state.exchanges.values()):
            if is_still_admitted(table, exchange.route, exchange.call):
                continue
            exchange.is_revoked = True
            if (
                exchange.engine_request_id is None
                and not exchange.possible_runs
                and not exchange.relayed_events
            ):
                self._responder.refuse(exchange, UNAUTHORIZED, UNKNOWN_KEY)

    @property
    def closes_connections(self) -> bool:
        """Whether responses ask callers to close their connections."""
        return self._outcomes.closes_connections

    @closes_connections.setter
    def closes_connections(self, closes_connections: bool) -> None:
        self._outcomes.closes_connections = closes_connections

    @property
    def counters(self) -> Counter[str]:
        """Requests by outcome, and other counters, by metric name."""
        return self._outcomes.counters

    @property
    def added_seconds(self) -> Histogram:
        """Time from a request's arrival to its first send."""
        return self._state.added_seconds

    @property
    def first_event_seconds(self) -> Histogram:
        """Time from a turn's arrival to its first event."""
        return self._state.first_event_seconds

    @property
    def prediction_error(self) -> Histogram:
        """Relative errors of the predicted turn durations."""
        return self._state.prediction_error

    @property
    def expected_waits(self) -> Histogram:
        """Expected waits of requests that found no capacity on arrival."""
        return self._state.expected_waits

    @property
    def room_waits(self) -> Histogram:
        """Actual waits of requests that were served after waiting for capacity."""
        return self._state.room_waits

    def answer_all(self, now: float) -> list[Effect]:
        """Give each open request its final answer, since the process is about to exit."""
        self._state.now = now
        self.refusing = True
        self._process_held()
        return self._ends.answer_all()

    def engine_gauges(self) -> dict[str, float]:
        """Return the gauges of the engines whose pace deviates most from their pool's."""
        return pace_gauges(self._state.engines, self._state.now)

    def sent_request(self, request: RequestId) -> tuple[str, float] | None:
        """Return the engine that has a request, and when it was sent; None if none has it."""
        exchange = self._state.by_engine_request.get(request)
        if exchange is None or exchange.engine is None:
            return None
        return exchange.engine.engine.engine_id, exchange.sent_at

    def forget_engine(self, engine_id: str) -> None:
        """Remove what was estimated of a removed engine's cache and pace."""
        self._state.placement.forget_engine(engine_id)

    def forget_capacity(self) -> None:
        """Compute the capacity of the pools anew, since the usable engines have changed."""
        self._dispatcher.forget_capacity()

    def set_engine_view_age(self, view_age: Callable[[float], float]) -> None:
        """Set what returns the age of this node's view of the engines at a time (seconds)."""
        self._streams.view_age = view_age
        self._losses.view_age = view_age

    def engine_ended(self, engine: Engine, now: float) -> None:
        """Record that an incarnation of an engine has ended."""
        self._state.now = now
        self._losses.engine_ended(engine.engine_id, engine.instance)

    def engine_succeeded(self, engine: Engine, now: float) -> None:
        """Record that an engine has ended, since another one is listed at its address.

        The other one refuses what was meant for it, so its requests are not at an engine any more.
        """
        self.engine_ended(engine, now)
        self._retries.abort_at_ended_engine(engine.engine_id)

    def engine_lapsed(self, engine: Engine, now: float) -> None:
        """Record that the entry of an engine has gone, though it may serve on."""
        self._state.now = now
        self._losses.engine_lapsed(engine.engine_id, engine.instance)

    def engine_listed(self, engine: Engine) -> None:
        """Record that an incarnation is listed, also if it was taken for ended."""
        self._losses.engine_listed(engine.engine_id, engine.instance)

    @property
    def losses_version(self) -> int:
        """Counter that increases with what other nodes should know of lost engines."""
        return self._losses.version + self._state.placement.isolation_changes

    def isolated_instances(self) -> tuple[str, ...]:
        """Return the names of the engines to which this node has sent isolated requests."""
        return self._state.placement.isolated_instances()

    @property
    def losses(self) -> EngineLosses:
        """Engines that requests were lost at."""
        return self._losses

    def engine_restarted(self, engine_id: str, now: float, *, changes_version: bool = False) -> int:
        """Handle the restart of an engine; return how many of its requests were aborted.

        If it ``changes_version``, streams that may have begun at either start are not continued.

        A request without an event for :data:`RESTART_DETECTION_SECONDS` is aborted: the previous
        process had it and may have run it. A more recent one may be at the new incarnation, so it
        is left to finish. A request sent to the previous incarnation a second time is aborted at
        once, since the new incarnation would be another engine that may run it.
        """
        self._state.now = now
        self.forget_engine(engine_id)
        lost = [
            exchange
            for exchange in self._state.by_engine_request.values()
            if exchange.engine is not None
            and exchange.engine.engine.engine_id == engine_id
            and (engine_id in exchange.attempts.engine_ids or self._is_silent(exchange))
        ]
        if changes_version:
            since = now - RESTART_DETECTION_SECONDS
            self._streams.mark_uncertain(engine_id, since)
        for exchange in lost:
            self._retries.abort_and_retry(exchange, "engine restarted")
        return len(lost)

    def _is_silent(self, exchange: Exchange) -> bool:
        """Return whether a request had no event for as long as restart detection may take."""
        return self._state.now - exchange.last_event_at >= RESTART_DETECTION_SECONDS

    @property
    def has_sent(self) -> bool:
        """Whether any request was sent to an engine since the start."""
        return any(self.added_seconds.counts)

    @property
    def under_way(self) -> int:
        """Number of requests without a final answer."""
        return len(self._state.exchanges)

    @property
    def held(self) -> int:
        """Number of requests that are held until there is a configuration."""
        return len(self._held)

    def has_open(self, exchange: ExchangeId) -> bool:
        """Return whether a request has no final answer yet."""
        return exchange in self._state.exchanges or exchange in self._held

    def log_open_requests(self, event: str) -> list[Effect]:
        """Return a log line for each request without a final answer, up to a bound."""
        return self._ends.log_open_requests(event)

    def share_levels(self) -> dict[str, float]:
        """Return the slots per unit of weight of pools short of slots, from the leader."""
        return self._state.fair_shares.levels

    def waiting(self) -> dict[str, int]:
        """Return how many requests wait, by pool."""
        return {pool: len(queue) for pool, queue in self._state.waiting.items() if len(queue)}

    def awaits_model_engine(self) -> bool:
        """Return whether turns wait for a model engine with capacity."""
        table = self.table
        pools = table.pools if table is not None else {}
        return any(pool in pools and pools[pool].model is not None for pool in self.waiting())

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        dues = (
            self._state.timers.next_due(),
            self._held.next_deadline(),
            self._state.fair_shares.next_expiry(),
            self._next_eligibility_change(),
        )
        return min((due for due in dues if due is not None), default=None)

    def _next_eligibility_change(self) -> float | None:
        """Return when queued requests may find an engine that is left out now."""
        if not any(map(len, self._state.waiting.values())):
            return None
        return self._state.eligibility.next_change(self._state.now)

    # ------------------------------------------------------------ events

    def tick(self, now: float) -> list[Effect]:
        """Run due timers and dispatch queued requests."""
        self._state.now = now
        self._streams.observe_pools()
        self.stream_beginnings.expire()
        self._state.fair_shares.expire(now)
        self._state.timers.run_due(now)
        if len(self._held):
            self._process_held()
        return self._dispatch_and_drain()

    def handle_request(self, event: HttpArrived, now: float) -> list[Effect]:
        """Handle a caller's request; hold it while there is no configuration."""
        self._state.now = now
        is_early = self.table is None and not self.refusing
        if not (is_early and self._hold(event, now)):
            self._process_request(event, now, may_hold=True)
        return self._outcomes.drain_effects()

    def handle_disconnect(self, exchange_id: ExchangeId, now: float) -> list[Effect]:
        """Handle the disconnect of a caller."""
        self._state.now = now
        self._held.remove(exchange_id)
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is not None:
            self._ends.abandon(exchange)
        return self._dispatch_and_drain()

    def handle_engine_event(
        self, event: HttpResponse | HttpStreamItem | HttpStreamEnded | HttpFailed, now: float
    ) -> list[Effect]:
        """Handle an engine's response, a part of one, or a failure."""
        self._state.now = now
        exchange = self._state.by_engine_request.get(event.request)
        if exchange is None:
            if isinstance(event, HttpResponse | HttpFailed) and self._quarantine.owns(
                event.request
            ):
                self._quarantine.handle_state(event)
        else:
            if isinstance(event, HttpResponse):
                self._handle_response(exchange, event)
            elif isinstance(event, HttpStreamItem):
                self._stream_relay.relay_event(exchange, event)
            elif isinstance(event, HttpStreamEnded):
                self._stream_relay.finish(exchange, event)
            else:
                self._retries.handle_failure(exchange, event)
        return self._dispatch_and_drain()

    def _dispatch_and_drain(self) -> list[Effect]:
        self._dispatcher.dispatch_all()
        return self._outcomes.drain_effects()

    # ------------------------------------------------------------ new requests

    def _hold(self, event: HttpArrived, arrived_at: float) -> bool:
        """Hold a request, at most until its deadline; return False if a bound is reached."""
        parsed = self._dialect.parse_call(event)
        deadline = parsed.unwrap().deadline if isinstance(parsed, Success) else math.inf
        return self._held.add(event, arrived_at, deadline)

    def _process_held(self) -> None:
        """Process held requests once the configuration is valid; refuse those held for too long."""
        is_known = (
            self.table is not None and self.lease_state(self._state.now) is not LeaseState.PENDING
        )
        expired_at = math.inf if is_known or self.refusing else self._state.now
        while (request := self._held.pop_first(expired_at=expired_at)) is not None:
            self._process_request(request.event, request.arrived_at)

    def _process_request(
        self, event: HttpArrived, arrived_at: float, *, may_hold: bool = False
    ) -> None:
        table = self.table
        if table is None:
            self._refuse_unconfigured(event)
            return
        if self.refusing:
            self._outcomes.refuse_unadmitted(event, UNAVAILABLE, STOPPING, retry_after=0.0)
            return
        route = table.find(host_of(event), event.path)
        if route is None:
            self._outcomes.refuse_unadmitted(event, NOT_FOUND, "no_route", version=table.version)
            return
        if event.too_large:
            self._outcomes.refuse_unadmitted(event, TOO_LARGE, "body_too_large")
            return
        parsed = self._dialect.parse_call(event)
        if not isinstance(parsed, Success):
            self._outcomes.refuse_unadmitted(event, BAD_REQUEST, parsed.failure().message)
            return
        call = parsed.unwrap()
        if self._exit_admission.refuse(self.planned_stop, event, route, call, arrived_at):
            return
        lease_state = self.lease_state(self._state.now)
        admitted = admit(
            table,
            route,
            call,
            has_valid_lease=lease_state is LeaseState.VALID,
            operation=f"{self._process}/{event.exchange}",
        )
        if isinstance(admitted, Denied):
            is_pending = (
                admitted.reason == STALE_CONFIGURATION and lease_state is LeaseState.PENDING
            )
            if not (is_pending and may_hold and self._hold(event, arrived_at)):
                self._deny(event, admitted, table)
            return
        exchange = self._open(event, call, table, route, admitted, arrived_at)
        self._begin(exchange)

    def _refuse_unconfigured(self, event: HttpArrived) -> None:
        """Refuse a request that arrived before the node had a configuration."""
        parsed = self._dialect.parse_call(event)
        if not isinstance(parsed, Success):
            self._outcomes.refuse_unadmitted(event, BAD_REQUEST, parsed.failure().message)
            return
        call = parsed.unwrap()
        caller = RefusedCaller(
            request_id=call.request_id,
            has_begun=bool(call.previous_turn),
            time_left=call.deadline,
        )
        self._outcomes.refuse_unadmitted(
            event, UNAVAILABLE, "no_configuration", retry_after=retry_delay_after_outage(caller)
        )

    def _begin(self, exchange: Exchange) -> None:
        """Start the first step that a request needs: tenant limit, reservation or dispatch."""
        if self._refuse_by_residency(exchange):
            return
        self._streams.resolve_locally(exchange)
        if exchange.stream_origin is StreamOrigin.UNKNOWN:
            self._reservations.refuse_unknown_stream(exchange)
            return
        if self._dispatcher.refuse_without_eligible_engine(exchange):
            return
        if exchange.lacks_beginning:
            self.stream_beginnings.find(exchange, self._begin)
            return
        if not self._tenant_limits.may_ask(exchange, self._begin):
            return
        if needs_reservation(exchange):
            self._reservations.reserve(exchange)
        else:
            self._count_and_dispatch(exchange)

    def _handle_granted(self, exchange: Exchange) -> None:
        """Queue a request whose reservation is granted and whose stream is known."""
        if needs_ledger(exchange):
            self._enqueue_and_dispatch(exchange)
        else:
            self._count_and_dispatch(exchange)

    def _count_and_dispatch(self, exchange: Exchange) -> None:
        """Count a request without a reservation against its tenant's limit, and queue it."""
        if exchange.limit is not None:
            self._tenant_limits.draw(exchange)
        else:
            self._enqueue_and_dispatch(exchange)

    def _deny(self, event: HttpArrived, denied: Denied, table: RoutingTable) -> None:
        self._outcomes.refuse_unadmitted(
            event,
            denied.status,
            denied.reason,
            retry_after=denied.retry_after,
            version=table.version,
            proof_age=_rounded_age(self.proof_age(self._state.now)),
        )

    def _open(
        self,
        event: HttpArrived,
        call: Call,
        table: RoutingTable,
        route: Route,
        admitted: Admitted,
        arrived_at: float,
    ) -> Exchange:
        exchange = Exchange(
            exchange_id=event.exchange,
            incoming=event,
            call=call,
            route=route,
            attempts=Attempts(max_engines=route.max_attempts),
            deadline=arrived_at + min(call.deadline, route.timeout),
            arrived_at=arrived_at,
            names=admitted.names,
            tenant=admitted.tenant,
            forwards_credential=admitted.forwards_credential,
            limit=limit_of(admitted.tenant, self._outcomes.configuration_version, self._tolerance),
            allowed_regions=self._state.residency.regions_of(table, route, call, admitted.tenant),
            pool=self._traffic_split.choose_pool(route, call),
            body=event.body,
            # An engine would resume after events that the kept turn then lacks.
            last_event_id=call.last_event_id if route.resumable or not route.retain else "",
        )
        self._state.exchanges[event.exchange] = exchange
        self._ends.schedule_deadline(exchange)
        return exchange

    def _refuse_by_residency(self, exchange: Exchange) -> bool:
        """Refuse a request that cannot be served or kept in its regions; return whether it is.

        A turn that is to be kept is refused before it runs, since its work would be lost.
        """
        if exchange.allowed_regions is None or exchange.possible_runs or exchange.relayed_events:
            return False
        residency = self._state.residency
        engines = self._state.engines.in_pool(exchange.pool, self._state.now)
        if not residency.has_engine(exchange, engines):
            reason = NO_ENGINE_IN_REGIONS
        elif residency.must_keep_regionally(exchange) and not self._regional_turns.can_keep(
            exchange
        ):
            reason = CANNOT_KEEP_IN_REGIONS
        else:
            return False
        self._dispatcher.refuse_by_residency(exchange, reason)
        return True

    def _enqueue_and_dispatch(self, exchange: Exchange) -> None:
        if self._refuse_by_residency(exchange):
            return
        self._dispatcher.enqueue(exchange)
        self._dispatcher.dispatch(exchange.pool)

    # ------------------------------------------------------------ responses

    def _handle_response(self, exchange: Exchange, response: HttpResponse) -> None:
        if self._dialect.was_not_executed(response):
            self._retries.handle_rejection(exchange, response)
            return
        if response.connect_seconds and exchange.engine is not None:
            self._state.engines.topology.record_connect(
                exchange.engine.engine.zone, response.connect_seconds, self._state.now
            )
        exchange.possible_runs += 1
        self._retries.record_accepted(exchange)
        is_stream = exchange.route.kind is RouteKind.STREAMING
        if is_stream and response.status in SUCCESS and not response.body:
            exchange.engine_framing = response.body_framing
            if exchange.response_head is None:
                exchange.response_head = response
            return
        self._handle_complete_response(exchange, response)

    def _handle_complete_response(self, exchange: Exchange, response: HttpResponse) -> None:
        """Forward a complete response, or retry a failed one."""
        has_failed = response.status >= SERVER_ERROR
        # A 504 at the caller's deadline is no failure of the engine.
        is_over = response.status == GATEWAY_TIMEOUT and self._is_at_deadline(exchange)
        engine = exchange.engine
        self._sender.release(exchange, failed=has_failed and not is_over)
        if engine is not None and has_failed:
            exchange.attempts.record_attempt(engine.engine.engine_id)
            if not is_over:
                engine.record_outcome(self._state.now, failed=True)
        elif engine is not None:
            engine.record_success(self._state.now)
            engine.record_call_seconds(self._state.now - exchange.sent_at)
            self._record_call(exchange)
            self._retries.record_answered(exchange)
            self._losses.record_answered(exchange)
        if has_failed and self._retries.may_use_another_engine(exchange):
            if engine is not None:
                exchange.excluded_engine_ids.add(engine.engine.engine_id)
            self._retries.retry(exchange, f"status {response.status}")
            return
        self._responder.send_response(exchange, response)

    def _record_call(self, exchange: Exchange) -> None:
        if exchange.route.kind is not RouteKind.STREAMING:
            self._state.placement.record_call(exchange, self._state.now)

    def _is_at_deadline(self, exchange: Exchange) -> bool:
        return self._state.now >= exchange.deadline - DEADLINE_TOLERANCE_SECONDS


def _always_valid(_now: float) -> LeaseState:
    """Return a valid lease; the default if no lease is needed."""
    return LeaseState.VALID


def _zero_age(_now: float) -> float:
    """Return the proof's age if no lease is needed."""
    return 0.0


def _rounded_age(seconds: float) -> float | None:
    """Return an age for the log; None if it is infinite."""
    return round(seconds, 3) if math.isfinite(seconds) else None
