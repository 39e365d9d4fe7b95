"""A run's events as server-sent events, whole and in order for one watcher.

The stream drops what the watcher has already, trims text that overlaps, and watches anew
from the last position when the shard's leader changes or a piece is missing. ``id`` is
``call.offset``; the ``finished`` event carries the whole answer, its length and its digest,
and the stream ends after it. A stream that ends without it is aborted, so that the watcher
sees it and comes back with ``Last-Event-ID``, at any node.
"""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.gateway.exchange import Exchange, ExchangeTable, PendingOperation
from yokeline.gateway.problems import problem_of, unknown_run
from yokeline.gateway.watch_position import MissingEvents, ResumePoint, WatchPosition
from yokeline.identifiers import RunId, ShardId
from yokeline.runs.events import EventId, FinishedEvent, RunEvent
from yokeline.runs.model import Run, RunStatus
from yokeline.server.context import NodeContext
from yokeline.shards.operations import OperationResult, RunResult, WatchRun
from yokeline.timers import Timer, TimerQueue

EVENT_STREAM_HEADERS = {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
    "x-accel-buffering": "no",
}
HEAD_DELAY_SECONDS = 1.0
"""Longest wait for a first event before the head is sent, so that 404 can still be said."""

MAX_FRUITLESS_WATCHES = 20
"""Times that a run is watched anew in a row without an event."""

PASSING_KINDS = frozenset({ErrorKind.UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN})
RUN_HEADER = "yokeline-run"
REWATCH_DELAY_SECONDS = 0.5
KEEPALIVE_COMMENT = b": keep-alive\n\n"


class Watch(msgspec.Struct, frozen=True, kw_only=True):
    """What a watcher asks for.

    Attributes:
        after: Position of the last event that the watcher has.
        turn: The ``finished`` event of this turn (or a later one) ends the stream.
        seconds: Longest life of the stream.
    """

    run: RunId
    shard: ShardId
    tenant: str
    after: ResumePoint = ResumePoint()
    turn: int = 0
    seconds: float


class EventStream:
    """Streams one run to one exchange."""

    def __init__(
        self,
        context: NodeContext,
        timers: TimerQueue,
        table: ExchangeTable,
        exchange: Exchange,
        watch: Watch,
        *,
        keepalive_seconds: float,
    ) -> None:
        """Prepare a stream; nothing is sent before :meth:`begin`."""
        self._context = context
        self._timers = timers
        self._table = table
        self._exchange = exchange
        self._watch = watch
        self._position = WatchPosition(watch.after)
        self._keepalive_seconds = keepalive_seconds
        self._ends_at = context.now + watch.seconds
        self._fruitless = 0
        self._pending: PendingOperation | None = None
        self._timer: Timer | None = None
        exchange.on_close.append(self._cancel_timer)

    def begin(self) -> None:
        """Watch the run, and send the head once the run is known to exist."""
        self._set_timer(HEAD_DELAY_SECONDS)
        self._watch_again()

    def _watch_again(self) -> None:
        if self._exchange.answered:
            return
        remaining = self._ends_at - self._context.now
        if remaining <= 0 or self._fruitless >= MAX_FRUITLESS_WATCHES:
            self._fail(lost_stream_error())
            return
        self._fruitless += 1
        after = self._position.watch_after()
        operation = WatchRun(
            run=self._watch.run,
            tenant=self._watch.tenant,
            after_call=after.call,
            after_offset=after.offset,
        )
        self._pending = self._table.ask(
            self._exchange,
            self._watch.shard,
            operation,
            remaining,
            self._watch_ended,
            self._received,
        )

    def _received(self, events: tuple[RunEvent, ...]) -> None:
        for event in events:
            try:
                news = self._position.news_of(event)
            except MissingEvents:
                self._context.counters["yokeline_event_stream_gaps_total"] += 1
                if self._pending is not None:
                    self._pending.cancel()
                self._watch_later()
                return
            for item in news:
                self._send(item)
            if self._exchange.answered:
                return

    def _send(self, event: RunEvent) -> None:
        if isinstance(event, FinishedEvent) and event.turn < self._watch.turn:
            return
        self._fruitless = 0
        self._table.start_stream(self._exchange, stream_headers(self._watch.run))
        self._table.send(self._exchange, encode_event(event, self._position.identity()))
        self._set_timer(self._keepalive_seconds)
        if isinstance(event, FinishedEvent):
            self._table.end_stream(self._exchange)

    def _watch_ended(self, result: Result[OperationResult, YokelineError]) -> None:
        if isinstance(result, Failure):
            error = unknown_run(result.failure())
            if self._exchange.streaming and error.kind in PASSING_KINDS:
                self._watch_later()
            else:
                self._fail(error)
            return
        value = result.unwrap()
        answered = isinstance(value, RunResult) and value.run.status is not RunStatus.ACTIVE
        if isinstance(value, RunResult) and answered and value.run.turn >= self._watch.turn:
            # The watcher has the last event already, or it was lost on the way.
            self._send(finished_event(value.run))
            return
        self._watch_later()

    def _watch_later(self) -> None:
        again = self._table.guarded(self._exchange, self._watch_again)
        self._timers.schedule(self._context.now + REWATCH_DELAY_SECONDS, again)

    def _fail(self, error: YokelineError) -> None:
        if not self._exchange.streaming:
            self._table.reply_error(self._exchange, error, run=self._watch.run)
            return
        self._table.send(self._exchange, encode_error(error))
        self._table.end_stream(self._exchange, aborted=True)

    def _set_timer(self, seconds: float) -> None:
        self._cancel_timer()
        keep_alive = self._table.guarded(self._exchange, self._keep_alive)
        self._timer = self._timers.schedule(self._context.now + seconds, keep_alive)

    def _keep_alive(self) -> None:
        if self._exchange.answered:
            return
        self._table.start_stream(self._exchange, stream_headers(self._watch.run))
        self._table.send(self._exchange, KEEPALIVE_COMMENT)
        self._set_timer(self._keepalive_seconds)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


def stream_headers(run: RunId) -> dict[str, str]:
    """Return the headers of a run's event stream."""
    return {**EVENT_STREAM_HEADERS, RUN_HEADER: run}


def finished_event(run: Run) -> FinishedEvent:
    """Return the last event of an answered run (or turn)."""
    last_call = run.calls[-1].number if run.calls else 0
    return FinishedEvent(
        id=EventId(last_call, 0),
        status=run.status,
        turn=run.turn,
        answer=run.answer,
        length=len(run.answer),
        digest=run.answer_digest,
        spent=run.spent,
        error=run.error,
    )


def encode_event(event: RunEvent, identity: str) -> bytes:
    """Return an event in the format of server-sent events (WHATWG HTML, section 9.2)."""
    kind = type(event).__struct_config__.tag
    data = msgspec.json.encode(event)
    return f"id: {identity}\nevent: {kind}\ndata: ".encode() + data + b"\n\n"


def encode_error(error: YokelineError) -> bytes:
    """Return an error as an ``error`` event with a problem document; it has no id."""
    return b"event: error\ndata: " + msgspec.json.encode(problem_of(error)) + b"\n\n"


def lost_stream_error() -> YokelineError:
    """Return the error of a stream that cannot go on here."""
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE,
        message="the stream cannot go on at this node",
        remedy="connect again with Last-Event-ID, at any node",
        execution=Execution.UNKNOWN,
        retry_after=REWATCH_DELAY_SECONDS,
    )
