"""Base of the stand-ins: dispatch of events, timers, outgoing requests and the outbox."""

from __future__ import annotations

import random
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from yokeline.effects import (
    Effect,
    Event,
    Exit,
    HttpArrived,
    HttpFailed,
    HttpGone,
    HttpRequest,
    HttpResponse,
    HttpStreamEnd,
    HttpStreamStart,
    LogRecord,
    StopRequested,
)
from yokeline.emulator.routing import Router, empty_reply, error_reply
from yokeline.identifiers import ExchangeId, RequestId
from yokeline.timers import TimerQueue

Action = Callable[[], None]
Answer = HttpResponse | HttpFailed
AnswerHandler = Callable[[Answer], None]


class StandIn:
    """A sans-I/O service with routes, timers and requests of its own.

    Attributes:
        name: Names the stand-in in its log records and request ids.
        now: Monotonic seconds of the event being handled.
        random: The only source of chance.
        router: Routes of the HTTP face.
    """

    def __init__(self, name: str, source: random.Random) -> None:
        """Create a stand-in that draws from ``source``."""
        self.name = name
        self.now = 0.0
        self.random = source
        self.router = Router()
        self._outbox: list[Effect] = []
        self._timers = TimerQueue()
        self._request_count = 0
        self._answer_handlers: dict[RequestId, AnswerHandler] = {}

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event in and return the effects to carry out, in order."""
        self._run_timers(now)
        self.now = now
        self.advance()
        self._dispatch(event)
        effects = self._outbox
        self._outbox = []
        return effects

    def next_deadline(self) -> float | None:
        """Return when a ``Tick`` is due at the latest; None if none is."""
        return self._timers.next_due()

    # ------------------------------------------------------------ for subclasses

    def advance(self) -> None:
        """Bring the state up to :attr:`now`; called before each event is dispatched."""

    def exchange_gone(self, exchange: ExchangeId) -> None:
        """Note that a caller closed its connection before the answer ended."""

    def stop(self) -> None:
        """Begin a planned stop; by default the stand-in exits at once."""
        self.emit(Exit())

    def emit(self, effect: Effect) -> None:
        """Put an effect into the outbox."""
        self._outbox.append(effect)

    def call_at(self, time: float, action: Action) -> None:
        """Run ``action`` at ``time`` (at once with the next event if it is past)."""
        self._timers.schedule(time, action)

    def abort(self, exchange: ExchangeId) -> None:
        """Close the connection of an exchange without a whole answer."""
        self.emit(HttpStreamStart(exchange=exchange))
        self.emit(HttpStreamEnd(exchange=exchange, aborted=True))

    def new_request_id(self) -> RequestId:
        """Return an id for an outgoing request."""
        self._request_count += 1
        return RequestId(f"{self.name}/{self._request_count}")

    def send_http(self, request: HttpRequest, handler: AnswerHandler) -> None:
        """Send a request whose whole answer (or failure) goes to ``handler``."""
        self._answer_handlers[request.request] = handler
        self.emit(request)

    def log(self, event: str, **fields: str | int | float | bool | None) -> None:
        """Emit an informational log record."""
        self.emit(LogRecord(event=event, fields={"stand_in": self.name, **fields}))

    # ------------------------------------------------------------ private

    def _run_timers(self, now: float) -> None:
        while (timer := self._timers.pop_due(now)) is not None:
            self.now = max(self.now, timer.due)
            timer.action()

    def _dispatch(self, event: Event) -> None:
        if isinstance(event, HttpArrived):
            self._route(event)
        elif isinstance(event, HttpGone):
            self.exchange_gone(event.exchange)
        elif isinstance(event, HttpResponse | HttpFailed):
            handler = self._answer_handlers.pop(event.request, None)
            if handler is not None:
                handler(event)
        elif isinstance(event, StopRequested):
            self.stop()

    def _route(self, request: HttpArrived) -> None:
        if request.too_large:
            self._refuse(request, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large")
            return
        found = self.router.match(request.method, request.path)
        if found is None:
            self._refuse(request, HTTPStatus.NOT_FOUND, "no_such_path")
            return
        try:
            found.handler(request, found.parameters)
        except msgspec.MsgspecError as error:
            self._refuse(request, HTTPStatus.BAD_REQUEST, "bad_request", str(error))

    def _refuse(self, request: HttpArrived, status: int, error: str, message: str = "") -> None:
        self.emit(error_reply(request.exchange, status, error, message))


def add_health_route(stand_in: StandIn) -> None:
    """Answer ``GET /healthz`` with 204."""

    def healthy(request: HttpArrived, _: dict[str, str]) -> None:
        stand_in.emit(empty_reply(request.exchange))

    stand_in.router.add("GET", "/healthz", healthy)
