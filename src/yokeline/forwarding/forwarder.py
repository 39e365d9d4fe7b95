"""The life of each request at a node: reserved, sent, answered, retried, resumed or refused.

Pure: events and time go in, effects come out. A request that may not be repeated is sent a
second time only after its engine has said that it did not run, or if no byte of it left.
"""

from __future__ import annotations

import itertools
import json
from collections import Counter, OrderedDict

import xxhash
from returns.result import Success

from yokeline.effects import (
    Effect,
    Framing,
    HttpArrived,
    HttpCancel,
    HttpFailed,
    HttpReply,
    HttpRequest,
    HttpResponse,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamEnded,
    HttpStreamItem,
    HttpStreamStart,
    LogRecord,
)
from yokeline.forwarding.choice import Choice, ChoiceInputs, choose
from yokeline.forwarding.dialect import Dialect, EngineOrder
from yokeline.forwarding.engines import FULL_SECONDS, EngineBook
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.history import TurnCache, event_data
from yokeline.forwarding.model import Call, Pool, Route, RouteKind, RoutingTable
from yokeline.forwarding.prefixes import PrefixBeliefs
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
    Reserve,
    Settle,
)
from yokeline.timers import TimerQueue

LEDGER_SECONDS = 1.0
"""Longest wait for a reservation; then the request is refused, not run."""
SETTLE_SECONDS = 5.0
"""How long a settlement is repeated; what is never settled counts at its most."""
WAIT_SHARE = 0.25
"""Share of the target latency for which a request waits for an engine with room."""
BEGUN_WAIT_SHARE = 1.0
"""The same for a turn of a program that has begun."""
ENGINE_PRIORITY = 5
MAX_REJECTIONS = 4
MAX_RUNS = 3
"""Engines that a repeatable request may run on, one after the other has ended."""
FIRST_EVENT_SECONDS = 1.5
EVENT_SECONDS = 0.9
"""Silence after which a stream that may be resumed is taken from its engine."""
RETRY_SHARE = 0.2
"""Repeated sends per first send that the retry budget allows."""
RETRY_RESERVE = 10.0
MAX_AFFINITIES = 4096
HOPELESS_SHARE = 0.6
"""A turn is not begun with less than this share of an average turn's time left."""
TURN_WEIGHT = 0.05
LEAST_SECONDS = 0.005
"""Nothing is sent with less time left, as after a pause of the whole process."""

OK = 200
BAD_REQUEST = 400
PAYMENT_REQUIRED = 402
NOT_FOUND = 404
TOO_LARGE = 413
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
_SUCCESS = range(200, 300)
_SERVER_ERROR = 500

LogField = str | int | float | bool | None


class Forwarder:
    """Requests under way at one node.

    Attributes:
        table: The configuration in force; None before the first one.
        closing: Answers ask the caller to close its connection.
        refusing: Nothing new is taken, since the process ends soon.
        counters: Requests by outcome, and other counts, by metric name.
        added_seconds: Time from a request's arrival to its first send.
        first_event_seconds: Time from a turn's arrival to its first event.
    """

    def __init__(
        self, *, zone: str, dialect: Dialect, ledger: LedgerClient, engines: EngineBook
    ) -> None:
        """Serve in a zone."""
        self.table: RoutingTable | None = None
        self.closing = False
        self.refusing = False
        self.counters: Counter[str] = Counter()
        self.added_seconds = Histogram()
        self.first_event_seconds = Histogram()
        self.beliefs = PrefixBeliefs()
        self._zone = zone
        self._dialect = dialect
        self._ledger = ledger
        self._engines = engines
        self._exchanges: dict[ExchangeId, Exchange] = {}
        self._by_request: dict[RequestId, Exchange] = {}
        self._waiting: dict[str, WaitingRequests] = {}
        self._turns = TurnCache()
        self._affinities: OrderedDict[tuple[str, str], str] = OrderedDict()
        self._split_counts: dict[str, Counter[str]] = {}
        self._timers = TimerQueue()
        self._numbers = itertools.count(1)
        self._retries_left = RETRY_RESERVE
        self._turn_seconds: dict[str, float] = {}
        self._effects: list[Effect] = []
        self._now = 0.0

    # ------------------------------------------------------------ service side

    @property
    def under_way(self) -> int:
        """Requests without a final answer."""
        return len(self._exchanges)

    def waiting(self) -> dict[str, int]:
        """Return how many requests wait, by pool."""
        return {pool: len(queue) for pool, queue in self._waiting.items() if len(queue)}

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return self._timers.next_due()

    def tick(self, now: float) -> list[Effect]:
        """Do what is due, and send what may be sent."""
        self._now = now
        self._timers.run_due(now)
        self._dispatch_all()
        return self._take_effects()

    def arrived(self, event: HttpArrived, now: float) -> list[Effect]:
        """Take a caller's request."""
        self._now = now
        self._take_request(event)
        return self._take_effects()

    def caller_gone(self, exchange_id: ExchangeId, now: float) -> list[Effect]:
        """Give up what nobody waits for any more."""
        self._now = now
        exchange = self._exchanges.get(exchange_id)
        if exchange is not None:
            self._caller_gone(exchange)
        self._dispatch_all()
        return self._take_effects()

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
        return self._take_effects()

    # ------------------------------------------------------------ requests in

    def _take_request(self, event: HttpArrived) -> None:
        table = self.table
        if table is None:
            self._refuse_unparsed(event, UNAVAILABLE, "no_configuration", retry_after=0.3)
            return
        if self.refusing:
            self._refuse_unparsed(event, UNAVAILABLE, "stopping", retry_after=0.0)
            return
        route = table.find(_host_of(event), event.path)
        if route is None:
            self._refuse_unparsed(event, NOT_FOUND, "no_route", version=table.version)
            return
        if event.too_large:
            self._refuse_unparsed(event, TOO_LARGE, "body_too_large")
            return
        parsed = self._dialect.parse_call(event)
        if not isinstance(parsed, Success):
            self._refuse_unparsed(event, BAD_REQUEST, parsed.failure().message)
            return
        exchange = self._open(event, parsed.unwrap(), route)
        if self._needs_ledger(exchange):
            self._reserve(exchange)
        else:
            self._wait(exchange)
            self._dispatch(exchange.pool)

    def _open(self, event: HttpArrived, call: Call, route: Route) -> Exchange:
        exchange = Exchange(
            exchange=event.exchange,
            arrived=event,
            call=call,
            route=route,
            due=self._now + min(call.deadline, route.timeout),
            started=self._now,
            pool=self._pool_of(route, call),
            body=event.body,
            last_event_id=call.last_event_id,
        )
        self._exchanges[event.exchange] = exchange
        self._schedule(exchange, exchange.due, self._deadline_reached)
        return exchange

    def _pool_of(self, route: Route, call: Call) -> str:
        """Return the pool for a request: by weight, and the same for all turns of a program."""
        if len(route.pools) == 1:
            return route.pools[0].pool
        total = sum(part.weight for part in route.pools)
        if call.program and route.kind is RouteKind.STREAMING:
            point = xxhash.xxh32_intdigest(call.program.encode()) / 2**32 * total
            for part in route.pools:
                point -= part.weight
                if point < 0:
                    return part.pool
            return route.pools[-1].pool
        counts = self._split_counts.setdefault(route.name, Counter())
        chosen = min(
            (part for part in route.pools if part.weight > 0),
            key=lambda part: (counts[part.pool] + 1) / part.weight,
            default=route.pools[0],
        )
        counts[chosen.pool] += 1
        return chosen.pool

    # ------------------------------------------------------------ ledger

    def _needs_ledger(self, exchange: Exchange) -> bool:
        call = exchange.call
        if exchange.route.kind is not RouteKind.STREAMING:
            return False
        return call.budget is not None or bool(call.previous_turn)

    def _reserve(self, exchange: Exchange) -> None:
        call = exchange.call
        exchange.phase = Phase.RESERVING
        operation = Reserve(
            request_id=call.request_id,
            program=call.program if call.budget is not None else "",
            budget=call.budget or 0,
            tokens=call.most_tokens,
            retention=exchange.route.retention,
            previous=call.previous_turn,
            missing_from=self._turns.missing_from(call.previous_turn),
        )
        exchange.operation = operation

        def reserved(result: OperationResult | None, now: float) -> list[Effect]:
            self._now = now
            self._reserved(exchange, result)
            return self._take_effects()

        give_up_at = min(exchange.due, self._now + LEDGER_SECONDS)
        self._effects.extend(self._ledger.ask(operation, reserved, self._now, give_up_at))

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
        call = exchange.call
        operation = Settle(
            request_id=call.request_id,
            program=call.program if call.budget is not None else "",
            tokens=tokens,
            turn=turn,
        )

        def settled(result: OperationResult | None, now: float) -> list[Effect]:
            self._now = now
            if turn is not None:
                self._kept(exchange, result)
            elif result is None:
                self._log("settlement_unknown", exchange, level="warning", tokens=tokens)
            return self._take_effects()

        give_up_at = exchange.due if turn is not None else self._now + SETTLE_SECONDS
        self._effects.extend(self._ledger.ask(operation, settled, self._now, give_up_at))

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
            if self._is_hopeless(exchange):
                queue.remove(exchange)
                self._give_up_waiting(exchange)
                continue
            choice = self._choose(exchange)
            if choice is None and exchange.tried:
                exchange.tried.clear()
                choice = self._choose(exchange)
            if choice is None:
                continue
            queue.remove(exchange)
            self._send(exchange, choice)

    def _is_hopeless(self, exchange: Exchange) -> bool:
        """Return whether a turn cannot end before its deadline; its work would be wasted."""
        if exchange.due - self._now <= LEAST_SECONDS:
            return True
        if exchange.route.kind is not RouteKind.STREAMING or exchange.events:
            return False
        return exchange.due - self._now < HOPELESS_SHARE * self._turn_seconds.get(exchange.pool, 0)

    def _choose(self, exchange: Exchange) -> Choice | None:
        affinity = (exchange.pool, exchange.call.affinity_key)
        inputs = ChoiceInputs(
            call=exchange.call,
            traits=self._pool(exchange).model,
            zone=self._zone,
            excluded=frozenset(exchange.tried),
            affine=self._affinities.get(affinity, "") if exchange.call.affinity_key else "",
            is_new_program=self._is_new_program(exchange),
        )
        engines = self._engines.in_pool(exchange.pool)
        return choose(engines, self.beliefs, inputs, self._now)

    def _is_new_program(self, exchange: Exchange) -> bool:
        """Return whether nothing would be lost if this request's program did not begin."""
        return bool(exchange.call.program) and not exchange.begun and not exchange.events

    def _pool(self, exchange: Exchange) -> Pool:
        assert self.table is not None
        pool = self.table.pools.get(exchange.pool)
        return pool or Pool(name=exchange.pool, max_connections=1)

    # ------------------------------------------------------------ sending

    def _send(self, exchange: Exchange, choice: Choice) -> None:
        state = choice.state
        call = exchange.call
        traits = self._pool(exchange).model
        exchange.phase = Phase.SENT
        exchange.engine = state
        exchange.sends += 1
        exchange.sent_at = self._now
        exchange.item_at = self._now
        exchange.uncached = max(0, call.prompt_tokens - choice.cached)
        exchange.request = RequestId(f"call/{next(self._numbers)}")
        self._by_request[exchange.request] = exchange
        state.running += 1
        state.tokens += exchange.uncached
        if traits is not None:
            self.beliefs.note_read(state.engine.engine_id, call.parts, traits.memory_tokens)
        if call.affinity_key:
            self._note_affinity(exchange.pool, call.affinity_key, state.engine.engine_id)
        if exchange.sends == 1:
            self.added_seconds.observe(self._now - exchange.started)
            self._retries_left = min(RETRY_RESERVE, self._retries_left + RETRY_SHARE)
        self._log(
            "engine_chosen",
            exchange,
            engine=state.engine.engine_id,
            cost=round(choice.cost, 4),
            load=choice.load,
            cached=choice.cached,
            waited=round(self._now - exchange.waiting_since, 4),
            send=exchange.sends,
        )
        self._effects.append(self._engine_request(exchange, choice))

    def _engine_request(self, exchange: Exchange, choice: Choice) -> HttpRequest:
        assert exchange.request is not None
        remaining = max(0.001, exchange.due - self._now)
        order = EngineOrder(
            engine=choice.state.engine,
            remaining=remaining,
            priority=self._engine_priority(exchange),
            last_event_id=self._resume_from(exchange),
        )
        headers = self._dialect.engine_headers(exchange.arrived, exchange.call, order)
        streaming = exchange.route.kind is RouteKind.STREAMING
        timeout = remaining
        if streaming and exchange.route.may_repeat:
            timeout = min(remaining, FIRST_EVENT_SECONDS)
        return HttpRequest(
            request=exchange.request,
            address=choice.state.engine.address,
            method=exchange.arrived.method,
            path="",
            target=exchange.arrived.target,
            headers={"host": exchange.arrived.headers.get("host", "")},
            header_items=tuple(item for item in headers if item[0] != "host"),
            body=exchange.body,
            framing=Framing.RAW_EVENTS if streaming else Framing.WHOLE,
            timeout=timeout,
            allow_retry=False,
            use_kept=True,
            echo_header=self._dialect.echo_header,
            echo_value=exchange.call.request_id,
        )

    def _resume_from(self, exchange: Exchange) -> str:
        """Return after which event an engine is to continue.

        A turn that is kept needs the data of all its events, so a caller's resumption of it
        runs whole; what the caller has is not passed on again.
        """
        return exchange.kept_event_id if exchange.route.retain else exchange.last_event_id

    def _engine_priority(self, exchange: Exchange) -> int:
        """Return one priority for all: a more urgent request would displace one that runs."""
        return ENGINE_PRIORITY

    def _note_affinity(self, pool: str, key: str, engine_id: str) -> None:
        self._affinities[(pool, key)] = engine_id
        self._affinities.move_to_end((pool, key))
        if len(self._affinities) > MAX_AFFINITIES:
            self._affinities.popitem(last=False)

    def _leave_engine(self, exchange: Exchange) -> None:
        """Note that a request is no longer at its engine."""
        if exchange.request is not None:
            self._by_request.pop(exchange.request, None)
            exchange.request = None
        if exchange.engine is not None:
            exchange.engine.running = max(0, exchange.engine.running - 1)
            exchange.engine.tokens = max(0, exchange.engine.tokens - exchange.uncached)

    def _cancel_send(self, exchange: Exchange) -> None:
        if exchange.request is not None:
            self._effects.append(HttpCancel(exchange.request))
        self._leave_engine(exchange)

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
        state = exchange.engine
        self._leave_engine(exchange)
        if response.status >= _SERVER_ERROR and self._may_run_again(exchange):
            if state is not None:
                exchange.tried.add(state.engine.engine_id)
            self._repeat(exchange, f"status {response.status}")
            return
        if state is not None:
            state.note_success()
            state.note_pace(self._now - exchange.sent_at)
        if exchange.phase is Phase.STREAMING:
            self._fail(exchange, f"status {response.status} in a resumed stream")
            return
        self._answer(exchange, response)

    def _answer(self, exchange: Exchange, response: HttpResponse) -> None:
        self._settle(exchange, 0)
        self._effects.append(
            HttpReply(
                exchange=exchange.exchange,
                status=response.status,
                headers=self._dialect.answer_headers(response),
                body=response.body,
                last=self.closing,
            )
        )
        self._end(exchange, "answered", status=response.status)

    def _rejected(self, exchange: Exchange, response: HttpResponse) -> None:
        """Try elsewhere: the engine has not run the request."""
        state = exchange.engine
        self._leave_engine(exchange)
        exchange.rejections += 1
        self.counters["yokeline_forwarding_rejections_total"] += 1
        if state is not None:
            exchange.tried.add(state.engine.engine_id)
            state.full_until = self._now + FULL_SECONDS
        self._log(
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
        if exchange.route.retain and _is_later(item.event_id, exchange.kept_event_id):
            exchange.text.append(event_data(item.data))
            exchange.kept_event_id = item.event_id
        if not _is_later(item.event_id, exchange.last_event_id):
            return
        exchange.last_event_id = item.event_id or exchange.last_event_id
        exchange.events += 1
        self._effects.append(HttpStreamData(exchange.exchange, item.data))

    def _start_stream(self, exchange: Exchange) -> None:
        assert exchange.head is not None
        exchange.phase = Phase.STREAMING
        if exchange.first_event_at is not None:
            return
        exchange.first_event_at = self._now
        self.first_event_seconds.observe(self._now - exchange.started)
        if exchange.route.may_repeat:
            self._watch_silence(exchange)
        self._effects.append(
            HttpStreamStart(
                exchange=exchange.exchange,
                status=exchange.head.status,
                headers=self._dialect.answer_headers(exchange.head),
                last=self.closing,
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
        self._leave_engine(exchange)
        if state is not None:
            state.note_success()
        if exchange.phase is Phase.SENT:
            self._start_stream(exchange)
        self._note_turn(exchange)
        tokens = self._tokens_of(exchange)
        if not exchange.route.retain:
            self._settle(exchange, tokens)
            self._finish_stream(exchange)
            return
        exchange.phase = Phase.KEEPING
        turn = KeptTurn(
            turn_id=exchange.call.request_id,
            previous=exchange.call.previous_turn,
            text=exchange.arrived.body + b"".join(exchange.text),
            retention=exchange.route.retention,
        )
        self._settle(exchange, tokens, turn)

    def _note_turn(self, exchange: Exchange) -> None:
        """Take the time of a whole turn at its engine into the pool's average."""
        if exchange.sends > 1:
            return
        seconds = self._now - exchange.sent_at
        average = self._turn_seconds.setdefault(exchange.pool, seconds)
        self._turn_seconds[exchange.pool] = average + TURN_WEIGHT * (seconds - average)

    def _kept(self, exchange: Exchange, result: OperationResult | None) -> None:
        if exchange.phase is not Phase.KEEPING:
            return
        if result is None:
            self._fail(exchange, "turn_not_kept")
            return
        self._turns.put(
            KeptTurn(
                turn_id=exchange.call.request_id,
                previous=exchange.call.previous_turn,
                text=exchange.arrived.body + b"".join(exchange.text),
                retention=exchange.route.retention,
            )
        )
        self._finish_stream(exchange)

    def _finish_stream(self, exchange: Exchange) -> None:
        self._effects.append(HttpStreamEnd(exchange=exchange.exchange))
        self._end(exchange, "streamed", status=OK, events=exchange.events)

    # ------------------------------------------------------------ failures

    def _send_failed(self, exchange: Exchange, failure: HttpFailed) -> None:
        state = exchange.engine
        self._leave_engine(exchange)
        if state is not None:
            exchange.tried.add(state.engine.engine_id)
            if not failure.stale:
                state.note_failure(self._now)
        if not failure.sent:
            exchange.rejections += 1
            if exchange.rejections >= MAX_REJECTIONS:
                self._give_up_waiting(exchange)
                return
            self._log("send_not_made", exchange, reason=failure.reason)
            self._wait(exchange)
            return
        if exchange.phase is Phase.SENT and exchange.head is None:
            exchange.runs += 1
        if self._may_run_again(exchange):
            self._repeat(exchange, failure.reason)
        else:
            self._fail(exchange, failure.reason)

    def _cancel_and_repeat(self, exchange: Exchange, reason: str) -> None:
        state = exchange.engine
        self._cancel_send(exchange)
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
        return exchange.due - self._now > 0.02 and (self._retries_left >= 1 or exchange.events > 0)

    def _repeat(self, exchange: Exchange, reason: str) -> None:
        self._retries_left = max(0.0, self._retries_left - 1)
        self.counters["yokeline_forwarding_repeats_total"] += 1
        self._log(
            "request_repeated",
            exchange,
            reason=reason,
            runs=exchange.runs,
            after_event=exchange.last_event_id,
            budget_left=round(self._retries_left, 1),
        )
        self._wait(exchange)

    def _fail(self, exchange: Exchange, reason: str) -> None:
        """End a request that may have run: nothing is promised."""
        self._settle(exchange, self._tokens_of(exchange))
        if exchange.first_event_at is not None:
            self._effects.append(HttpStreamEnd(exchange=exchange.exchange, aborted=True))
            self._end(exchange, "cut", reason=reason, events=exchange.events, level="warning")
            return
        self._reply_error(exchange.exchange, exchange.call.request_id, BAD_GATEWAY, reason)
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
        self._reply_error(exchange.exchange, exchange.call.request_id, GATEWAY_TIMEOUT, "deadline")
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
        self._reply_error(
            exchange.exchange, exchange.call.request_id, status, reason, retry_after=retry_after
        )
        self._end(exchange, "refused", level="info", status=status, reason=reason, **fields)

    def _refuse_unparsed(
        self,
        event: HttpArrived,
        status: int,
        reason: str,
        *,
        retry_after: float | None = None,
        **fields: LogField,
    ) -> None:
        """Refuse a request that no route or limit lets in."""
        request_id = event.headers.get(self._dialect.echo_header, "")
        self._count("refused", status)
        self._effects.append(
            LogRecord(
                event="request_refused",
                fields={
                    "request": request_id,
                    "host": event.headers.get("host", ""),
                    "path": event.path,
                    "status": status,
                    "reason": reason,
                    **fields,
                },
            )
        )
        self._reply_error(event.exchange, request_id, status, reason, retry_after=retry_after)

    def _reply_error(
        self,
        exchange: ExchangeId,
        request_id: str,
        status: int,
        reason: str,
        *,
        retry_after: float | None = None,
    ) -> None:
        body = json.dumps({"error": reason, "request": request_id, "retry_after": retry_after})
        self._effects.append(
            HttpReply(
                exchange=exchange,
                status=status,
                headers=self._dialect.refusal_headers(request_id, retry_after),
                body=body.encode(),
                last=self.closing,
            )
        )

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
        self._count(outcome, fields.get("status"))
        engine = exchange.engine.engine.engine_id if exchange.engine else ""
        self._log(
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

    def _count(self, outcome: str, status: LogField) -> None:
        series = f'yokeline_forwarding_requests_total{{outcome="{outcome}",status="{status}"}}'
        self.counters[series] += 1

    def _schedule(self, exchange: Exchange, due: float, action: object) -> None:
        assert callable(action)
        timer = self._timers.schedule(due, lambda: action(exchange))
        exchange.timers.append(timer)

    def _log(self, event: str, exchange: Exchange, level: str = "info", **fields: LogField) -> None:
        call = exchange.call
        version = self.table.version if self.table is not None else 0
        everything: dict[str, LogField] = {
            "request": call.request_id,
            "program": call.program,
            "route": exchange.route.name,
            "configuration": version,
            **fields,
        }
        self._effects.append(LogRecord(event=event, fields=everything, level=level))

    def _take_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        return effects


def _host_of(event: HttpArrived) -> str:
    host = event.headers.get("host", "").lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _is_later(event_id: str, than: str) -> bool:
    """Return whether an event comes after another; ids without a number always do."""
    if not event_id or not than:
        return True
    try:
        return int(event_id) > int(than)
    except ValueError:
        return event_id != than
