"""From an operation on a run to the answer of an exchange, in the way its caller asked for."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result

from yokeline.errors import ErrorKind, YokelineError
from yokeline.gateway.answers import run_answer, run_error, run_problem, run_status_code
from yokeline.gateway.calls import ApiCall, GatewayParts
from yokeline.gateway.event_stream import (
    RUN_HEADER,
    EventStream,
    Watch,
    encode_event,
    finished_event,
    stream_headers,
)
from yokeline.gateway.exchange import Exchange
from yokeline.gateway.problems import not_found, refusal, unknown_run
from yokeline.gateway.run_requests import run_at_turn
from yokeline.gateway.watch_position import ResumePoint
from yokeline.identifiers import RunId, ShardId, shard_of_run
from yokeline.runs.model import Run, RunStatus
from yokeline.shards.operations import (
    AwaitRun,
    ContinueRun,
    Operation,
    OperationResult,
    ReadRun,
    RunResult,
    StartRun,
)

READ_SECONDS = 10.0
"""Longest wait for the leader of a shard by a request that only reads."""

START_SECONDS = 30.0
"""Longest wait until a run is recorded, for a caller who does not wait for its answer."""

ANSWER_GRACE_SECONDS = 1.0
"""Time after a run's deadline for its leader to say truthfully how it ended."""

RunReceived = Callable[[Run], None]
ErrorReceived = Callable[[YokelineError], None]


class Delivery(msgspec.Struct, frozen=True, kw_only=True):
    """How the caller of a new run or turn wants the answer.

    Attributes:
        key: Idempotency key; empty if the caller sent none.
        deadline_seconds: Seconds from the arrival of the request.
        wait: Answer only when the run is answered.
        events: Stream the run's events.
    """

    key: str
    deadline_seconds: float
    wait: bool
    events: bool


class RunDelivery:
    """Asks shards about runs and answers exchanges with what they say."""

    def __init__(self, parts: GatewayParts) -> None:
        """Create it over the gateway's parts."""
        self._context = parts.context
        self._table = parts.table
        self._timers = parts.timers
        self._settings = parts.settings.gateway
        self._shards = parts.settings.cluster.shards

    def shard_of(self, run: RunId) -> ShardId:
        """Return the shard that holds a run."""
        return shard_of_run(run, self._shards)

    # ------------------------------------------------------------ new runs and turns

    def ask_new(
        self,
        call: ApiCall,
        operation: StartRun | ContinueRun,
        delivery: Delivery,
        received: RunReceived,
    ) -> None:
        """Ask to record a new run or turn; answer the exchange if that fails."""
        patience = delivery.deadline_seconds
        if not delivery.wait:
            patience = min(patience, START_SECONDS)

        def failed(error: YokelineError) -> None:
            claim = refusal(error, has_key=bool(delivery.key))
            self._table.reply_error(call.exchange, claim, run=operation.run)

        self.ask(call.exchange, operation.run, operation, patience, received, failed)

    def deliver(self, call: ApiCall, run: Run, turn: int, delivery: Delivery) -> None:
        """Answer a run that is recorded, in the way its caller asked for."""
        answered = run.turn > turn or run.status is not RunStatus.ACTIVE
        if delivery.events:
            self._deliver_events(call.exchange, run, turn)
        elif delivery.wait and not answered:
            self._await_turn(call.exchange, run, turn, delivery)
        else:
            self.answer(call.exchange, run, turn)

    def _deliver_events(self, exchange: Exchange, run: Run, turn: int) -> None:
        if run.turn > turn:
            self._finished_stream(exchange, run, turn)
            return
        watch = Watch(
            run=run.run,
            shard=self.shard_of(run.run),
            tenant=run.spec.tenant,
            after=ResumePoint.before_call(run.turn_first_call),
            turn=turn,
            seconds=self._settings.max_deadline_seconds,
        )
        self.stream(exchange, watch)

    def _finished_stream(self, exchange: Exchange, run: Run, turn: int) -> None:
        """Stream only the last event of a turn that was answered before."""
        past = run_at_turn(run, turn)
        if past is None:
            self._table.reply_error(exchange, _no_answer_kept(turn), run=run.run)
            return
        event = finished_event(past)
        self._table.start_stream(exchange, stream_headers(run.run))
        self._table.send(exchange, encode_event(event, str(event.id)))
        self._table.end_stream(exchange)

    def _await_turn(self, exchange: Exchange, run: Run, turn: int, delivery: Delivery) -> None:
        elapsed = self._context.now - exchange.started_at
        remaining = max(0.0, delivery.deadline_seconds - elapsed) + ANSWER_GRACE_SECONDS
        operation = AwaitRun(run=run.run, tenant=run.spec.tenant, turn=turn)
        self.ask(
            exchange,
            run.run,
            operation,
            remaining,
            lambda found: self.answer(exchange, found, turn),
            lambda error: self.run_failed(exchange, run.run, error),
        )

    # ------------------------------------------------------------ reading

    def read(self, call: ApiCall, run: RunId) -> None:
        """Answer with a run as it stands."""
        operation = ReadRun(run=run, tenant=call.identity.tenant)
        self.ask(
            call.exchange,
            run,
            operation,
            READ_SECONDS,
            lambda found: self.answer(call.exchange, found, found.turn),
            lambda error: self.run_failed(call.exchange, run, error),
        )

    def await_then_read(self, call: ApiCall, run: RunId, seconds: float) -> None:
        """Answer with a run once it is answered, or as it stands after that time."""

        def failed(error: YokelineError) -> None:
            if error.kind is ErrorKind.NOT_FOUND:
                self.run_failed(call.exchange, run, error)
            else:
                self.read(call, run)

        operation = AwaitRun(run=run, tenant=call.identity.tenant)
        self.ask(
            call.exchange,
            run,
            operation,
            seconds,
            lambda found: self.answer(call.exchange, found, found.turn),
            failed,
        )

    def answer(self, exchange: Exchange, run: Run, turn: int) -> None:
        """Answer with a turn of a run: its answer, its error, or that it is under way."""
        shown = run_at_turn(run, turn)
        if shown is None:
            self._table.reply_error(exchange, _no_answer_kept(turn), run=run.run)
            return
        status = run_status_code(shown)
        if status is None:
            self._table.reply_problem(exchange, run_error(shown), run_problem(shown))
            return
        headers = {RUN_HEADER: run.run, "location": f"/v1/runs/{run.run}"}
        self._table.reply_json(exchange, status, run_answer(shown), headers)

    def run_failed(self, exchange: Exchange, run: RunId, error: YokelineError) -> None:
        """Answer that an operation on an existing run failed."""
        self._table.reply_error(exchange, unknown_run(error), run=run)

    # ------------------------------------------------------------ common parts

    def stream(self, exchange: Exchange, watch: Watch) -> None:
        """Answer with a stream of a run's events."""
        stream = EventStream(
            self._context,
            self._timers,
            self._table,
            exchange,
            watch,
            keepalive_seconds=self._settings.keepalive_seconds,
        )
        stream.begin()

    def ask(
        self,
        exchange: Exchange,
        run: RunId,
        operation: Operation,
        seconds: float,
        received: RunReceived,
        failed: ErrorReceived,
    ) -> None:
        """Ask the shard of a run; one of the two functions is called, unless the caller left."""

        def done(result: Result[OperationResult, YokelineError]) -> None:
            if isinstance(result, Failure):
                failed(result.failure())
                return
            value = result.unwrap()
            assert isinstance(value, RunResult)
            received(value.run)

        self._table.ask(exchange, self.shard_of(run), operation, seconds, done)


def _no_answer_kept(turn: int) -> YokelineError:
    error = not_found(
        f"the answer of turn {turn} is not kept any more", "read the run for its latest answer"
    )
    return unknown_run(error)
