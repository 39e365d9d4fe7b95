"""Exchanges (HTTP requests) under way at this node, and the one place that answers them."""

from __future__ import annotations

from collections.abc import Callable
from typing import ParamSpec

import msgspec
from returns.result import Failure, Result

from yokeline.effects import (
    HttpArrived,
    HttpReply,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamStart,
)
from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.gateway.interfaces import EventsReceived, OperationDone, RunRouter
from yokeline.gateway.problems import Problem, internal_error, problem_headers, problem_of
from yokeline.identifiers import ExchangeId, RequestId, ShardId
from yokeline.metrics import Histogram
from yokeline.server.context import HANDLER_FAULT, NodeContext
from yokeline.shards.operations import Operation, OperationResult
from yokeline.timers import Timer, TimerQueue

JSON_TYPE = "application/json"
ROUTER_GRACE_SECONDS = 5.0
"""Time after its deadline that the router has to call back before the gateway answers."""

STATUS_CLASS_SIZE = 100
Arguments = ParamSpec("Arguments")
DURATION_METRIC = "yokeline_http_request_duration_seconds"
REQUESTS_METRIC = "yokeline_http_requests_total"


class Exchange:
    """One HTTP request until its answer has ended.

    Attributes:
        request: The request as it arrived.
        route: Template of its route, for metrics.
        answered: Its answer has ended, or its sender has gone.
        streaming: The head of a streamed answer was sent.
    """

    def __init__(self, request: HttpArrived, now: float) -> None:
        """Open an exchange at ``now``."""
        self.request = request
        self.started_at = now
        self.route = "unknown"
        self.answered = False
        self.streaming = False
        self.status = 0
        self.on_close: list[Callable[[], None]] = []
        self.asked: dict[RequestId, Timer] = {}

    @property
    def id(self) -> ExchangeId:
        """Return the id that the effects carry."""
        return self.request.exchange


class ExchangeTable:
    """The exchanges under way; answers each of them once."""

    def __init__(self, context: NodeContext, timers: TimerQueue, router: RunRouter) -> None:
        """Create an empty table."""
        self._context = context
        self._timers = timers
        self._router = router
        self._open: dict[ExchangeId, Exchange] = {}
        self.durations: dict[str, Histogram] = {}

    def __len__(self) -> int:
        """Return how many exchanges are under way."""
        return len(self._open)

    def __contains__(self, identity: ExchangeId) -> bool:
        """Return whether an exchange is under way."""
        return identity in self._open

    def open(self, request: HttpArrived) -> Exchange:
        """Note a request that arrived."""
        exchange = Exchange(request, self._context.now)
        self._open[exchange.id] = exchange
        return exchange

    def gone(self, identity: ExchangeId) -> None:
        """Forget an exchange whose sender closed its connection."""
        exchange = self._open.get(identity)
        if exchange is not None:
            self._context.counters["yokeline_http_callers_gone_total"] += 1
            self._close(exchange)

    def guarded(
        self, exchange: Exchange, action: Callable[Arguments, None]
    ) -> Callable[Arguments, None]:
        """Return ``action``, with its faults answered.

        What an exchange waited for has ended by the time that its handling raises, so that
        nothing else would answer the caller.
        """

        def call(*args: Arguments.args, **kwargs: Arguments.kwargs) -> None:
            try:
                action(*args, **kwargs)
            except Exception as error:  # one bad request must not end the others
                self._context.counters["yokeline_internal_errors_total"] += 1
                self._context.warn(HANDLER_FAULT, route=exchange.route, error=repr(error))
                self.fail(exchange, internal_error())

        return call

    def fail(self, exchange: Exchange, error: YokelineError) -> None:
        """Answer an exchange with an error; a stream that has begun is aborted."""
        if exchange.streaming:
            self.end_stream(exchange, aborted=True)
        else:
            self.reply_error(exchange, error)

    def fail_all(self, error: YokelineError) -> None:
        """Answer all exchanges under way with an error."""
        for exchange in list(self._open.values()):
            self.fail(exchange, error)

    def ask(
        self,
        exchange: Exchange,
        shard: ShardId,
        operation: Operation,
        deadline_seconds: float,
        done: OperationDone,
        on_events: EventsReceived | None = None,
    ) -> PendingOperation:
        """Send an operation to a shard on behalf of an exchange.

        ``done`` is called once, at the latest shortly after the deadline, unless the
        exchange is closed before.
        """
        pending = PendingOperation(self, exchange, self.guarded(exchange, done))
        events = None
        if on_events is not None:
            events = pending.guard(self.guarded(exchange, on_events))
        request = self._router.request(
            shard,
            operation,
            deadline_seconds=deadline_seconds,
            done=pending.finish,
            on_events=events,
        )
        if pending.finished:
            return pending
        when = self._context.now + deadline_seconds + ROUTER_GRACE_SECONDS
        give_up = self._timers.schedule(when, lambda: self._give_up(pending, request))
        exchange.asked[request] = give_up
        pending.request = request
        return pending

    def settle(self, exchange: Exchange, request: RequestId | None) -> None:
        """Forget an operation that is answered."""
        timer = exchange.asked.pop(request, None) if request is not None else None
        if timer is not None:
            timer.cancel()

    def abandon(self, exchange: Exchange, request: RequestId | None) -> None:
        """Stop waiting for an operation."""
        if request is not None and request in exchange.asked:
            self.settle(exchange, request)
            self._router.cancel(request)

    def _give_up(self, pending: PendingOperation, request: RequestId) -> None:
        self._router.cancel(request)
        pending.finish(
            Failure(
                YokelineError(
                    kind=ErrorKind.OUTCOME_UNKNOWN,
                    message="the shard's leader gave no answer in time",
                    remedy="ask for the run by its id, or repeat with the same Idempotency-Key",
                    execution=Execution.UNKNOWN,
                )
            )
        )

    def reply(
        self, exchange: Exchange, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Answer an exchange with a whole body."""
        if exchange.answered:
            return
        exchange.status = status
        reply = HttpReply(exchange=exchange.id, status=status, headers=headers, body=body)
        self._context.emit(reply)
        self._close(exchange)

    def reply_json(
        self,
        exchange: Exchange,
        status: int,
        document: msgspec.Struct,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Answer an exchange with a JSON document."""
        fields = {"content-type": JSON_TYPE, "cache-control": "no-store", **(headers or {})}
        self.reply(exchange, status, fields, msgspec.json.encode(document))

    def reply_error(
        self, exchange: Exchange, error: YokelineError, *, run: str = "", operation: str = ""
    ) -> None:
        """Answer an exchange with a problem document."""
        problem = msgspec.structs.replace(problem_of(error), run=run, operation=operation)
        self.reply_problem(exchange, error, problem)

    def reply_problem(
        self,
        exchange: Exchange,
        error: YokelineError,
        problem: Problem,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Answer an exchange with this problem document."""
        whole = msgspec.structs.replace(problem, instance=exchange.id)
        fields = {**problem_headers(error), **(headers or {})}
        self._context.counters[f'yokeline_http_problems_total{{kind="{error.kind.value}"}}'] += 1
        self.reply(exchange, problem.status, fields, msgspec.json.encode(whole))

    def start_stream(self, exchange: Exchange, headers: dict[str, str]) -> None:
        """Send the head of a streamed answer."""
        if exchange.answered or exchange.streaming:
            return
        exchange.streaming = True
        exchange.status = 200
        self._context.emit(HttpStreamStart(exchange=exchange.id, status=200, headers=headers))

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        if not exchange.answered:
            self._context.emit(HttpStreamData(exchange.id, data))

    def end_stream(self, exchange: Exchange, *, aborted: bool = False) -> None:
        """End a streamed answer; ``aborted`` lets the receiver see that it is not whole."""
        if not exchange.answered:
            self._context.emit(HttpStreamEnd(exchange=exchange.id, aborted=aborted))
            self._close(exchange)

    def _close(self, exchange: Exchange) -> None:
        exchange.answered = True
        self._open.pop(exchange.id, None)
        for request, timer in exchange.asked.items():
            timer.cancel()
            self._router.cancel(request)
        exchange.asked.clear()
        for action in exchange.on_close:
            action()
        exchange.on_close.clear()
        self._measure(exchange)

    def _measure(self, exchange: Exchange) -> None:
        outcome = f"{exchange.status // STATUS_CLASS_SIZE}xx" if exchange.status else "gone"
        labels = f'{{route="{exchange.route}",status="{outcome}"}}'
        self._context.counters[REQUESTS_METRIC + labels] += 1
        key = f'{DURATION_METRIC}{{route="{exchange.route}"}}'
        histogram = self.durations.setdefault(key, Histogram())
        histogram.observe(self._context.now - exchange.started_at)


class PendingOperation:
    """An operation that an exchange waits for; hands its outcome on at most once."""

    def __init__(self, table: ExchangeTable, exchange: Exchange, done: OperationDone) -> None:
        self._table = table
        self._exchange = exchange
        self._done = done
        self.finished = False
        self.request: RequestId | None = None

    def finish(self, result: Result[OperationResult, YokelineError]) -> None:
        """Hand the outcome on."""
        if self.finished:
            return
        self.finished = True
        self._table.settle(self._exchange, self.request)
        if not self._exchange.answered:
            self._done(result)

    def cancel(self) -> None:
        """Stop waiting; ``done`` is not called any more."""
        self.finished = True
        self._table.abandon(self._exchange, self.request)

    def guard(self, on_events: EventsReceived) -> EventsReceived:
        """Return a callback that drops events that come after the end."""
        return lambda events: (
            None if self.finished or self._exchange.answered else on_events(events)
        )
