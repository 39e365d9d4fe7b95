"""The life of each request at a node: reserved, sent, answered, retried, resumed or refused.

Pure: events and time go in, effects come out. A request that may not be repeated is sent a
second time only after its engine has said that it did not run, or if no byte of it left.
"""

from __future__ import annotations

import itertools
from collections import Counter

from returns.result import Success

from yokeline.effects import (
    Effect,
    HttpArrived,
    HttpCancel,
    HttpFailed,
    HttpReply,
    HttpResponse,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamEnded,
    HttpStreamItem,
    HttpStreamStart,
)
from yokeline.forwarding.choice import Choice
from yokeline.forwarding.dialect import Dialect
from yokeline.forwarding.engine_request import engine_request
from yokeline.forwarding.engines import FULL_SECONDS, EngineBook, EngineState
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.held_requests import HeldRequests
from yokeline.forwarding.history import TurnCache, event_data
from yokeline.forwarding.http_parts import host_of, is_later
from yokeline.forwarding.model import Call, Pool, Route, RouteKind, RoutingTable
from yokeline.forwarding.outcomes import BAD_REQUEST, LogField, Outcomes
from yokeline.forwarding.patience import CallPatience
from yokeline.forwarding.placement import Placement
from yokeline.forwarding.pool_split import PoolSplit
from yokeline.forwarding.retry_budget import RetryBudget
from yokeline.forwarding.turn_operations import (
    kept_turn_of,
    needs_ledger,
    reservation_of,
    settlement_of,
)
from yokeline.forwarding.waiting import WaitingRequests
from yokeline.histogram import Histogram
from yokeline.identifiers import ExchangeId, RequestId
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.messages import (
    BudgetSpent,
    Granted,
    KeptTurn,
    NoSuchTurn,
    OperationResult,
    TurnBegan,
    TurnEnded,
)
from yokeline.timers import TimerQueue

LEDGER_SECONDS = 2.0
"""Longest wait for a reservation; then the request is refused, not run."""
SETTLE_SECONDS = 5.0
"""How long a settlement is repeated; what is never settled counts at its most."""
WAIT_SHARE = 0.25
"""Share of the target latency for which a request waits for an engine with room."""
BEGUN_WAIT_SHARE = 1.0
"""The same for a turn of a program that has begun."""
MAX_REJECTIONS = 4
MAX_RUNS = 3
"""Engines that a repeatable request may run on, one after the other has ended."""
ERROR_BUCKETS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.7, 1.0, 2.0)
"""Upper bounds of the shares by which predicted times of turns were wrong."""
EVENT_SECONDS = 0.9
"""Silence after which a stream that may be resumed is taken from its engine."""

OK = 200
PAYMENT_REQUIRED = 402
NOT_FOUND = 404
TOO_LARGE = 413
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
_SUCCESS = range(200, 300)
_SERVER_ERROR = 500


class Forwarder:
    """Requests under way at one node.

    Attributes:
        refusing: Nothing new is taken, since the process ends soon.
        added_seconds: Time from a request's arrival to its first send.
        first_event_seconds: Time from a turn's arrival to its first event.
        prediction_error: How far the time of turns at their engines was from what was
            predicted, as a share of the time.
    """

    def __init__(
        self, *, zone: str, dialect: Dialect, ledger: LedgerClient, engines: EngineBook
    ) -> None:
        """Serve in a zone."""
        self._outcomes = Outcomes(dialect)
        self.refusing = False
        self.added_seconds = Histogram()
        self.first_event_seconds = Histogram()
        self.prediction_error = Histogram(ERROR_BUCKETS)
        self._engines = engines
        self._placement = Placement(zone, engines)
        self._dialect = dialect
        self._ledger = ledger
        self._exchanges: dict[ExchangeId, Exchange] = {}
        self._by_request: dict[RequestId, Exchange] = {}
        self._waiting: dict[str, WaitingRequests] = {}
        self._held = HeldRequests()
        self._turns = TurnCache()
        self._split = PoolSplit()
        self._timers = TimerQueue()
        self._numbers = itertools.count(1)
        self._retries = RetryBudget()
        self._patience = CallPatience()
        self._now = 0.0
        self._table: RoutingTable | None = None

    # ------------------------------------------------------------ service side

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force; None before the first one."""
        return self._table

    @table.setter
    def table(self, table: RoutingTable | None) -> None:
        self._table = table
        self._outcomes.configuration = table.version if table is not None else 0

    @property
    def closing(self) -> bool:
        """Whether answers ask the caller to close its connection."""
        return self._outcomes.closing

    @closing.setter
    def closing(self, closing: bool) -> None:
        self._outcomes.closing = closing

    @property
    def counters(self) -> Counter[str]:
        """Requests by outcome, and other counts, by metric name."""
        return self._outcomes.counters

    def forget_engine(self, engine_id: str) -> None:
        """Forget what an engine that is gone had cached."""
        self._placement.forget_engine(engine_id)

    @property
    def has_sent(self) -> bool:
        """Whether a request was sent to an engine since the start."""
        return any(self.added_seconds.counts)

    @property
    def under_way(self) -> int:
        """Requests without a final answer."""
        return len(self._exchanges)

    def waiting(self) -> dict[str, int]:
        """Return how many requests wait, by pool."""
        return {pool: len(queue) for pool, queue in self._waiting.items() if len(queue)}

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        dues = (self._timers.next_due(), self._held.next_deadline())
        return min((due for due in dues if due is not None), default=None)

    def tick(self, now: float) -> list[Effect]:
        """Do what is due, and send what may be sent."""
        self._now = now
        self._timers.run_due(now)
        if len(self._held):
            self._take_held()
        self._dispatch_all()
        return self._outcomes.take_effects()

    def arrived(self, event: HttpArrived, now: float) -> list[Effect]:
        """Take a caller's request."""
        self._now = now
        if self.table is None and not self.refusing and self._held.add(event, now):
            return self._outcomes.take_effects()
        self._take_request(event, now)
        return self._outcomes.take_effects()

    def caller_gone(self, exchange_id: ExchangeId, now: float) -> list[Effect]:
        """Give up what nobody waits for any more."""
        self._now = now
        self._held.remove(exchange_id)
        exchange = self._exchanges.get(exchange_id)
        if exchange is not None:
            self._caller_gone(exchange)
        self._dispatch_all()
        return self._outcomes.take_effects()

    def engine_event(
        self, event: HttpResponse | HttpStreamItem | HttpStreamEnded | HttpFailed, now: float
    ) -> list[Effect]:
        """Take an answer, or part of one, of an engine."""
        self._now = now
        exchange = self._by_request.get(event.request)
        if exchange is not None:
            if isinstance(event, HttpResponse):
                self._take_response(exchange, event)
            elif isinstance(event, HttpStreamItem):
                self._take_item(exchange, event)
            elif isinstance(event, HttpStreamEnded):
                self._stream_ended(exchange)
            else:
                self._send_failed(exchange, event)
        self._dispatch_all()
        return self._outcomes.take_effects()

    # ------------------------------------------------------------ requests in

    def _take_held(self) -> None:
        """Serve what waited for a configuration, or refuse what waited too long for it."""
        if self.table is None and not self.refusing:
            held = self._held.take_expired(self._now)
        else:
            held = self._held.take_all()
        for request in held:
            self._take_request(request.event, request.arrived_at)

    def _take_request(self, event: HttpArrived, arrived_at: float) -> None:
        table = self.table
        if table is None:
            self._outcomes.refuse_unparsed(event, UNAVAILABLE, "no_configuration", retry_after=0.3)
            return
        if self.refusing:
            self._outcomes.refuse_unparsed(event, UNAVAILABLE, "stopping", retry_after=0.0)
            return
        route = table.find(host_of(event), event.path)
        if route is None:
            self._outcomes.refuse_unparsed(event, NOT_FOUND, "no_route", version=table.version)
            return
        if event.too_large:
            self._outcomes.refuse_unparsed(event, TOO_LARGE, "body_too_large")
            return
        parsed = self._dialect.parse_call(event)
        if not isinstance(parsed, Success):
            self._outcomes.refuse_unparsed(event, BAD_REQUEST, parsed.failure().message)
            return
        exchange = self._open(event, parsed.unwrap(), route, arrived_at)
        if needs_ledger(exchange):
            self._reserve(exchange)
        else:
            self._wait(exchange)
            self._dispatch(exchange.pool)

    def _open(self, event: HttpArrived, call: Call, route: Route, arrived_at: float) -> Exchange:
        exchange = Exchange(
            exchange=event.exchange,
            arrived=event,
            call=call,
            route=route,
            due=arrived_at + min(call.deadline, route.timeout),
            started=arrived_at,
            pool=self._split.pool_of(route, call),
            body=event.body,
            last_event_id=call.last_event_id,
        )
        self._exchanges[event.exchange] = exchange
        self._schedule(exchange, exchange.due, self._deadline_reached)
        return exchange

    # ------------------------------------------------------------ ledger

    def _reserve(self, exchange: Exchange) -> None:
        exchange.phase = Phase.RESERVING
        missing_from = self._turns.missing_from(exchange.call.previous_turn)
        operation = reservation_of(exchange, missing_from)
        exchange.operation = operation

        def reserved(result: OperationResult | None, now: float) -> list[Effect]:
            self._now = now
            self._reserved(exchange, result)
            return self._outcomes.take_effects()

        give_up_at = min(exchange.due, self._now + LEDGER_SECONDS)
        self._outcomes.effects.extend(self._ledger.ask(operation, reserved, self._now, give_up_at))

    def _reserved(self, exchange: Exchange, result: OperationResult | None) -> None:
        """Go on with a reservation, or refuse.

        Without an answer the reservation may stand; it is released, so that a turn that did
        not run does not count.
        """
        if exchange.phase is not Phase.RESERVING:
            return
        exchange.operation = None
        if isinstance(result, Granted):
            exchange.reserved = exchange.call.budget is not None
            exchange.spent = result.spent
            exchange.context = result.context
            self._add_history(exchange, result)
        elif isinstance(result, BudgetSpent):
            self._refuse(exchange, PAYMENT_REQUIRED, "budget_spent", spent=result.spent)
        elif isinstance(result, NoSuchTurn):
            self._refuse(exchange, NOT_FOUND, "no_such_turn", turn=result.turn_id)
        else:
            exchange.reserved = exchange.call.budget is not None
            self._refuse(exchange, UNAVAILABLE, "ledger_unavailable", retry_after=0.2)

    def _add_history(self, exchange: Exchange, granted: Granted) -> None:
        for turn in granted.turns:
            self._turns.put(turn)
        history = self._turns.history(exchange.call.previous_turn)
        if history is None:
            self._refuse(exchange, UNAVAILABLE, "history_incomplete", retry_after=0.1)
            return
        exchange.body = history + exchange.arrived.body
        self._wait(exchange)
        self._dispatch(exchange.pool)

    def _settle(self, exchange: Exchange, tokens: int, turn: KeptTurn | None = None) -> None:
        if not exchange.reserved and turn is None:
            return
        exchange.reserved = False
        operation = settlement_of(exchange, tokens, turn)

        def settled(result: OperationResult | None, now: float) -> list[Effect]:
            self._now = now
            if turn is not None:
                self._kept(exchange, result)
            elif result is None:
                self._outcomes.log("settlement_unknown", exchange, level="warning", tokens=tokens)
            return self._outcomes.take_effects()

        give_up_at = exchange.due if turn is not None else self._now + SETTLE_SECONDS
        self._outcomes.effects.extend(self._ledger.ask(operation, settled, self._now, give_up_at))

    def _tokens_of(self, exchange: Exchange) -> int:
        """Return the tokens handed to the caller."""
        traits = self._pool(exchange).model
        per_event = 1 if traits is None else traits.tokens_per_event
        return exchange.events * per_event

    # ------------------------------------------------------------ choice of engine

    def _wait(self, exchange: Exchange) -> None:
        exchange.phase = Phase.WAITING
        exchange.engine = None
        exchange.waiting_since = self._now
        queue = self._waiting.setdefault(exchange.pool, WaitingRequests())
        displaced = queue.add(exchange)
        if displaced is not None:
            self._give_up_waiting(displaced)
        share = BEGUN_WAIT_SHARE if exchange.begun else WAIT_SHARE
        limit = self._now + share * exchange.route.target_latency
        self._schedule(exchange, min(limit, exchange.due), self._waited_long)

    def _waited_long(self, exchange: Exchange) -> None:
        if exchange.phase is Phase.WAITING and not exchange.events:
            self._give_up_waiting(exchange)

    def _give_up_waiting(self, exchange: Exchange) -> None:
        waited = self._now - exchange.waiting_since
        if exchange.runs:
            self._fail(exchange, "no_engine_to_repeat")
            return
        retry_after = 0.1 if exchange.begun else 0.3
        self._refuse(
            exchange, UNAVAILABLE, "no_engine", retry_after=retry_after, waited=round(waited, 4)
        )

    def _dispatch_all(self) -> None:
        for pool in list(self._waiting):
            self._dispatch(pool)

    def _dispatch(self, pool: str) -> None:
        """Send what waits for a pool, the most urgent first, as long as there is room."""
        queue = self._waiting.get(pool)
        if queue is None or not len(queue):
            return
        for exchange in queue.in_order():
            if self._placement.is_hopeless(exchange, self._now):
                queue.remove(exchange)
                self._give_up_waiting(exchange)
                continue
            choice = self._placement.choose(exchange, self._pool(exchange), self._now)
            if choice is None:
                continue
            queue.remove(exchange)
            self._send(exchange, choice)

    def _pool(self, exchange: Exchange) -> Pool:
        assert self.table is not None
        pool = self.table.pools.get(exchange.pool)
        return pool or Pool(name=exchange.pool, max_connections=1)

    # ------------------------------------------------------------ sending

    def _send(self, exchange: Exchange, choice: Choice) -> None:
        state = choice.state
        call = exchange.call
        exchange.phase = Phase.SENT
        exchange.engine = state
        exchange.sends += 1
        exchange.sent_at = self._now
        exchange.item_at = self._now
        exchange.beside = choice.load
        exchange.predicted = choice.predicted
        exchange.uncached = max(0, call.prompt_tokens - choice.cached)
        exchange.request = RequestId(f"call/{next(self._numbers)}")
        self._by_request[exchange.request] = exchange
        self._engines.note_sent(state, exchange.uncached)
        self._tell_of_begin(exchange, state)
        self._placement.note_sent(exchange, choice, self._pool(exchange))
        if exchange.sends == 1:
            self.added_seconds.observe(self._now - exchange.started)
            self._retries.note_first_send()
        self._outcomes.log(
            "engine_chosen",
            exchange,
            engine=state.engine.engine_id,
            cost=round(choice.cost, 4),
            load=choice.load,
            prompt=call.prompt_tokens,
            cached=choice.cached,
            predicted=round(choice.predicted, 4),
            waited=round(self._now - exchange.waiting_since, 4),
            send=exchange.sends,
        )
        self._outcomes.effects.append(
            engine_request(exchange, exchange.request, state, self._dialect, self._now)
        )
        if exchange.route.kind is RouteKind.IDEMPOTENT:
            self._watch_call(exchange)

    def _leave_engine(
        self, exchange: Exchange, *, failed: bool = False, slowness: float = 0.0
    ) -> None:
        """Note that a request is no longer at its engine, and whether the engine failed it."""
        if exchange.request is not None:
            self._by_request.pop(exchange.request, None)
            exchange.request = None
        if exchange.engine is not None:
            self._engines.note_left(exchange.engine, exchange.uncached)
            self._tell_of_end(exchange, exchange.engine, failed=failed, slowness=slowness)

    def _tell_of_begin(self, exchange: Exchange, state: EngineState) -> None:
        """Tell the ledger's leader, which knows the turns of all nodes, where a turn runs."""
        if needs_ledger(exchange):
            call = exchange.call
            tokens = call.prompt_tokens + call.most_tokens
            engine_id = state.engine.engine_id
            self._ledger.note(TurnBegan(call.request_id, engine_id, tokens))

    def _tell_of_end(
        self, exchange: Exchange, state: EngineState, *, failed: bool, slowness: float
    ) -> None:
        if needs_ledger(exchange):
            note = TurnEnded(
                request_id=exchange.call.request_id,
                engine_id=state.engine.engine_id,
                failed=failed,
                slowness=round(slowness, 3),
            )
            self._ledger.note(note)

    def _cancel_send(self, exchange: Exchange, *, failed: bool = False) -> None:
        if exchange.request is not None:
            self._outcomes.effects.append(HttpCancel(exchange.request))
        self._leave_engine(exchange, failed=failed)

    # ------------------------------------------------------------ answers

    def _take_response(self, exchange: Exchange, response: HttpResponse) -> None:
        if self._dialect.was_not_run(response):
            self._rejected(exchange, response)
            return
        exchange.runs += 1
        is_stream = exchange.route.kind is RouteKind.STREAMING
        if is_stream and response.status in _SUCCESS and not response.body:
            if exchange.head is None:
                exchange.head = response
            return
        exchange.answered_runs += 1
        state = exchange.engine
        self._leave_engine(exchange, failed=response.status >= _SERVER_ERROR)
        if response.status >= _SERVER_ERROR and self._may_run_again(exchange):
            if state is not None:
                exchange.tried.add(state.engine.engine_id)
                state.note_outcome(self._now, failed=True)
            self._repeat(exchange, f"status {response.status}")
            return
        if state is not None and response.status >= _SERVER_ERROR:
            state.note_outcome(self._now, failed=True)
        elif state is not None:
            state.note_success(self._now)
            state.note_pace(self._now - exchange.sent_at)
            self._patience.note_answered(self._call_kind(exchange), self._now - exchange.sent_at)
        if exchange.phase is Phase.STREAMING:
            self._fail(exchange, f"status {response.status} in a resumed stream")
            return
        self._answer(exchange, response)

    def _answer(self, exchange: Exchange, response: HttpResponse) -> None:
        self._settle(exchange, 0)
        self._outcomes.effects.append(
            HttpReply(
                exchange=exchange.exchange,
                status=response.status,
                headers=self._dialect.answer_headers(response),
                body=response.body,
                last=self._outcomes.closing,
            )
        )
        self._end(exchange, "answered", status=response.status)

    def _rejected(self, exchange: Exchange, response: HttpResponse) -> None:
        """Try elsewhere: the engine has not run the request."""
        state = exchange.engine
        self._leave_engine(exchange)
        exchange.rejections += 1
        self._outcomes.counters["yokeline_forwarding_rejections_total"] += 1
        if state is not None:
            exchange.tried.add(state.engine.engine_id)
            state.full_until = self._now + FULL_SECONDS
        self._outcomes.log(
            "engine_rejected",
            exchange,
            engine=state.engine.engine_id if state else "",
            status=response.status,
            rejections=exchange.rejections,
        )
        if exchange.rejections >= MAX_REJECTIONS:
            self._give_up_waiting(exchange)
            return
        self._wait(exchange)

    def _take_item(self, exchange: Exchange, item: HttpStreamItem) -> None:
        if exchange.phase is Phase.SENT:
            self._start_stream(exchange)
        if exchange.phase is not Phase.STREAMING:
            return
        if exchange.engine is not None and exchange.events:
            exchange.engine.note_pace(self._now - exchange.item_at)
        exchange.item_at = self._now
        if exchange.route.retain and is_later(item.event_id, exchange.kept_event_id):
            exchange.text.append(event_data(item.data))
            exchange.kept_event_id = item.event_id
        if not is_later(item.event_id, exchange.last_event_id):
            return
        exchange.last_event_id = item.event_id or exchange.last_event_id
        exchange.events += 1
        self._outcomes.effects.append(HttpStreamData(exchange.exchange, item.data))

    def _start_stream(self, exchange: Exchange) -> None:
        assert exchange.head is not None
        exchange.phase = Phase.STREAMING
        if exchange.first_event_at is not None:
            return
        exchange.first_event_at = self._now
        self.first_event_seconds.observe(self._now - exchange.started)
        if exchange.route.may_repeat:
            self._watch_silence(exchange)
        self._outcomes.effects.append(
            HttpStreamStart(
                exchange=exchange.exchange,
                status=exchange.head.status,
                headers=self._dialect.answer_headers(exchange.head),
                last=self._outcomes.closing,
            )
        )

    def _watch_silence(self, exchange: Exchange) -> None:
        due = max(exchange.item_at + EVENT_SECONDS, self._now + 0.05)
        self._schedule(exchange, due, self._check_silence)

    def _check_silence(self, exchange: Exchange) -> None:
        at_engine = exchange.phase is Phase.STREAMING and exchange.request is not None
        if at_engine and self._now - exchange.item_at >= EVENT_SECONDS:
            self._cancel_and_repeat(exchange, "silent engine")
        if exchange.phase in (Phase.STREAMING, Phase.WAITING, Phase.SENT):
            self._watch_silence(exchange)

    def _stream_ended(self, exchange: Exchange) -> None:
        """Pass the end on; a turn that is kept is committed before."""
        state = exchange.engine
        slowness = self._placement.note_turn(exchange, self._now)
        self._leave_engine(exchange, slowness=slowness)
        if state is not None:
            state.note_success(self._now)
        if exchange.phase is Phase.SENT:
            self._start_stream(exchange)
        exchange.is_whole = True
        self._note_prediction(exchange)
        tokens = self._tokens_of(exchange)
        if not exchange.route.retain:
            self._settle(exchange, tokens)
            self._finish_stream(exchange)
            return
        exchange.phase = Phase.KEEPING
        self._settle(exchange, tokens, kept_turn_of(exchange))

    def _note_prediction(self, exchange: Exchange) -> None:
        """Count how far the time at the engine was from what the choice expected."""
        measured = self._now - exchange.sent_at
        if exchange.predicted and measured > 0 and exchange.sends == 1:
            self.prediction_error.observe(abs(measured - exchange.predicted) / measured)

    def _kept(self, exchange: Exchange, result: OperationResult | None) -> None:
        if exchange.phase is not Phase.KEEPING:
            return
        if result is None:
            self._fail(exchange, "turn_not_kept")
            return
        self._turns.put(kept_turn_of(exchange))
        self._finish_stream(exchange)

    def _finish_stream(self, exchange: Exchange) -> None:
        self._outcomes.effects.append(HttpStreamEnd(exchange=exchange.exchange))
        self._end(
            exchange,
            "streamed",
            status=OK,
            events=exchange.events,
            predicted=round(exchange.predicted, 4),
            at_engine=round(exchange.item_at - exchange.sent_at, 4),
        )

    # ------------------------------------------------------------ failures

    def _send_failed(self, exchange: Exchange, failure: HttpFailed) -> None:
        state = exchange.engine
        self._leave_engine(exchange, failed=not failure.stale)
        if state is not None:
            exchange.tried.add(state.engine.engine_id)
            if not failure.stale:
                state.note_failure(self._now)
        if not failure.sent:
            exchange.rejections += 1
            if exchange.rejections >= MAX_REJECTIONS:
                self._give_up_waiting(exchange)
                return
            self._outcomes.log("send_not_made", exchange, reason=failure.reason)
            self._wait(exchange)
            return
        if exchange.phase is Phase.SENT and exchange.head is None:
            exchange.runs += 1
        if self._may_run_again(exchange):
            self._repeat(exchange, failure.reason)
        else:
            self._fail(exchange, failure.reason)

    def _watch_call(self, exchange: Exchange) -> None:
        """Look again when an answer of this engine is late; only a call that may be repeated."""
        patience = self._patience.seconds(self._call_kind(exchange), exchange.sends)
        if patience is not None:
            self._schedule(exchange, self._now + patience, self._move_late_call)

    def _move_late_call(self, exchange: Exchange) -> None:
        """Give a call up at an engine that is late with it, and try another one."""
        waited = self._now - exchange.sent_at
        patience = self._patience.seconds(self._call_kind(exchange), exchange.sends)
        is_late = patience is not None and waited >= patience
        if exchange.phase is not Phase.SENT or exchange.head is not None or not is_late:
            return
        self._patience.note_given_up(self._call_kind(exchange), waited)
        state = exchange.engine
        if state is None or not self._may_run_again(exchange):
            return
        exchange.runs += 1
        exchange.tried.add(state.engine.engine_id)
        state.note_outcome(self._now, failed=True)
        self._cancel_send(exchange, failed=True)
        self._repeat(exchange, "late engine")
        self._dispatch(exchange.pool)

    def _call_kind(self, exchange: Exchange) -> str:
        """Return what calls are alike in their times: those of one route."""
        return exchange.route.name

    def _cancel_and_repeat(self, exchange: Exchange, reason: str) -> None:
        state = exchange.engine
        self._cancel_send(exchange, failed=True)
        if state is not None:
            exchange.tried.add(state.engine.engine_id)
            state.note_failure(self._now)
        if self._may_run_again(exchange):
            self._repeat(exchange, reason)
        else:
            self._fail(exchange, reason)

    def _may_run_again(self, exchange: Exchange) -> bool:
        """Return whether another run is allowed, wanted and within the retry budget."""
        if not exchange.route.may_repeat or exchange.runs >= MAX_RUNS:
            return False
        if exchange.answered_runs >= exchange.route.max_attempts:
            return False
        return exchange.due - self._now > 0.02 and (
            self._retries.allows_repeat() or exchange.events > 0
        )

    def _repeat(self, exchange: Exchange, reason: str) -> None:
        self._retries.note_repeat()
        self._outcomes.counters["yokeline_forwarding_repeats_total"] += 1
        self._outcomes.log(
            "request_repeated",
            exchange,
            reason=reason,
            runs=exchange.runs,
            after_event=exchange.last_event_id,
            budget_left=round(self._retries.left, 1),
        )
        self._wait(exchange)

    def _fail(self, exchange: Exchange, reason: str) -> None:
        """End a request that may have run: nothing is promised."""
        self._settle(exchange, self._tokens_of(exchange))
        if exchange.first_event_at is not None:
            self._outcomes.effects.append(HttpStreamEnd(exchange=exchange.exchange, aborted=True))
            self._end(exchange, "cut", reason=reason, events=exchange.events, level="warning")
            return
        self._outcomes.reply_error(exchange.exchange, exchange.call.request_id, BAD_GATEWAY, reason)
        self._end(exchange, "failed", status=BAD_GATEWAY, reason=reason, level="warning")

    def _deadline_reached(self, exchange: Exchange) -> None:
        """Give the final answer at the deadline or the route's time-out."""
        was_sent = exchange.request is not None
        if was_sent:
            self._cancel_send(exchange)
        if exchange.phase is Phase.ENDED:
            return
        if exchange.first_event_at is not None:
            self._fail(exchange, "deadline")
            return
        if not exchange.runs and not was_sent:
            self._refuse(exchange, UNAVAILABLE, "deadline", retry_after=0.1)
            return
        self._settle(exchange, 0)
        self._outcomes.reply_error(
            exchange.exchange, exchange.call.request_id, GATEWAY_TIMEOUT, "deadline"
        )
        self._end(exchange, "timed_out", status=GATEWAY_TIMEOUT, level="warning")

    def _caller_gone(self, exchange: Exchange) -> None:
        """Stop what may be stopped; a correction that is under way runs to its end."""
        if exchange.request is not None:
            if not exchange.route.may_repeat and exchange.route.kind is not RouteKind.STREAMING:
                return
            self._cancel_send(exchange)
        if exchange.phase is Phase.KEEPING:
            return
        self._settle(exchange, self._tokens_of(exchange))
        self._end(exchange, "caller_gone", events=exchange.events)

    def _refuse(
        self,
        exchange: Exchange,
        status: int,
        reason: str,
        *,
        retry_after: float | None = None,
        **fields: LogField,
    ) -> None:
        """End a request that has not run and will not."""
        self._settle(exchange, 0)
        self._outcomes.reply_error(
            exchange.exchange, exchange.call.request_id, status, reason, retry_after=retry_after
        )
        self._outcomes.count_refusal(status, reason)
        self._end(exchange, "refused", level="info", status=status, reason=reason, **fields)

    # ------------------------------------------------------------ ends

    def _end(
        self, exchange: Exchange, outcome: str, *, level: str = "info", **fields: LogField
    ) -> None:
        exchange.phase = Phase.ENDED
        self._exchanges.pop(exchange.exchange, None)
        queue = self._waiting.get(exchange.pool)
        if queue is not None:
            queue.remove(exchange)
        if exchange.operation is not None:
            self._ledger.forget(exchange.operation)
            if exchange.call.budget is not None:
                exchange.reserved = True
                self._settle(exchange, 0)
        for timer in exchange.timers:
            timer.cancel()
        exchange.timers.clear()
        self._outcomes.count(outcome, fields.get("status"))
        engine = exchange.engine.engine.engine_id if exchange.engine else ""
        self._outcomes.log(
            "request_ended",
            exchange,
            level=level,
            outcome=outcome,
            engine=engine,
            sends=exchange.sends,
            runs=exchange.runs,
            seconds=round(self._now - exchange.started, 4),
            **fields,
        )

    def _schedule(self, exchange: Exchange, due: float, action: object) -> None:
        assert callable(action)
        timer = self._timers.schedule(due, lambda: action(exchange))
        exchange.timers.append(timer)
