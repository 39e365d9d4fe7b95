"""What tool services and app engines have in common: keys, fences, delays and failures."""

from __future__ import annotations

import random
from collections import deque
from http import HTTPStatus

import msgspec

from yokeline.effects import HttpArrived
from yokeline.emulator.request_books import FaultKind, ReceivedRequest, RequestBooks
from yokeline.emulator.routing import PathParameters, empty_reply, error_reply, json_reply
from yokeline.emulator.settings import RequestSettings
from yokeline.emulator.stand_in import StandIn, add_health_route
from yokeline.errors import YokelineError
from yokeline.identifiers import ExchangeId
from yokeline.labels.objects import Lookup

KEY_HEADER = "idempotency-key"
FENCE_HEADER = "x-yokeline-fence"

_EFFECTIVE = (None, FaultKind.FAIL_AFTER, FaultKind.LOSE_ANSWER, FaultKind.HANG_AFTER)


class LookupBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What became of a request: ``done`` (with its response), ``running`` or ``not_seen``."""

    status: str
    response: msgspec.Raw = msgspec.Raw()
    fenced: bool | None = None


class PlannedFaults(msgspec.Struct, frozen=True, kw_only=True):
    """``PUT /emulator/faults``: faults of the next requests, one each, before the chances."""

    next: tuple[FaultKind, ...]


class RequestService(StandIn):
    """Takes requests under idempotency keys, and answers look-ups about them.

    Subclasses add the routes, and say what a request does in :meth:`check` and
    :meth:`perform`.

    Attributes:
        books: What was received and what was applied.
    """

    def __init__(self, settings: RequestSettings, source: random.Random) -> None:
        """Create a service that has seen no request."""
        super().__init__(settings.name, source)
        self.books = RequestBooks()
        self._settings = settings
        self._planned: deque[FaultKind] = deque()
        self._responses: dict[str, bytes] = {}
        self._running: dict[str, int] = {}
        self._fences: dict[str, int] = {}
        self._waiting: dict[str, list[ExchangeId]] = {}
        self._open: set[ExchangeId] = set()
        add_health_route(self)
        self.router.add("PUT", "/emulator/faults", self._put_faults)
        self.router.add("GET", "/emulator/books", self._read_books)

    # ------------------------------------------------------------ for subclasses

    def check(self, request: ReceivedRequest) -> YokelineError | None:
        """Return why a request cannot be applied (it gets a 400), None if it can."""
        return None

    def perform(self, request: ReceivedRequest) -> bytes:
        """Apply a request; return the JSON body of its answer."""
        raise NotImplementedError

    def delay_of(self, request: ReceivedRequest) -> float:
        """Return the seconds that a request takes."""
        jitter = self._settings.delay_jitter_seconds
        drawn = self.random.expovariate(1.0 / jitter) if jitter else 0.0
        return self._settings.delay_seconds + drawn

    def always_hangs(self, request: ReceivedRequest) -> bool:
        """Return whether a request hangs whatever the chances say."""
        return False

    # ------------------------------------------------------------ faults

    def plan_faults(self, *faults: FaultKind) -> None:
        """Make the next requests go wrong, one fault each."""
        self._planned.extend(faults)

    def _put_faults(self, request: HttpArrived, _: PathParameters) -> None:
        planned = msgspec.json.decode(request.body, type=PlannedFaults)
        self.plan_faults(*planned.next)
        self.emit(empty_reply(request.exchange))

    def _read_books(self, request: HttpArrived, _: PathParameters) -> None:
        self.emit(json_reply(request.exchange, HTTPStatus.OK, self.books.report()))

    def _draw_fault(self, request: ReceivedRequest) -> FaultKind | None:
        if self._planned:
            return self._planned.popleft()
        if self.always_hangs(request):
            return FaultKind.HANG_BEFORE
        drawn = self.random.random()
        for kind in FaultKind:
            chance = getattr(self._settings.faults, kind.value)
            if drawn < chance:
                return kind
            drawn -= chance
        return None

    # ------------------------------------------------------------ requests

    def receive(self, arrived: HttpArrived, operation: str) -> None:
        """Take a request in; its answer follows, or does not."""
        key = arrived.headers.get(KEY_HEADER, "")
        fence = _fence_of(arrived.headers.get(FENCE_HEADER, ""))
        request = ReceivedRequest(
            key=key,
            operation=operation,
            body=arrived.body,
            fence=fence,
            received_at=self.now,
        )
        if key and fence <= self._fences.get(key, -1):
            self.books.fenced_off.append(key)
            self._reject(arrived.exchange, HTTPStatus.CONFLICT, "fenced")
            return
        self.books.received.append(request)
        self._open.add(arrived.exchange)
        if self._settings.deduplicate and key and self._repeat(arrived.exchange, request):
            return
        request.fault = self._draw_fault(request)
        self._start(arrived.exchange, request)

    def exchange_gone(self, exchange: ExchangeId) -> None:
        """Note that nobody waits for an answer any more; the request goes on."""
        self._open.discard(exchange)

    def _repeat(self, exchange: ExchangeId, request: ReceivedRequest) -> bool:
        response = self._responses.get(request.key)
        if response is not None:
            request.repeated = True
            self._answer(exchange, response)
            return True
        if request.key in self._running:
            request.repeated = True
            self._waiting.setdefault(request.key, []).append(exchange)
            return True
        return False

    def _start(self, exchange: ExchangeId, request: ReceivedRequest) -> None:
        error = self.check(request)
        if error is not None:
            self._reject(exchange, HTTPStatus.BAD_REQUEST, error.kind.value, error.message)
            return
        if request.fault is FaultKind.REFUSE:
            self._reject(exchange, HTTPStatus.UNPROCESSABLE_ENTITY, "refused")
            return
        self._running[request.key] = self._running.get(request.key, 0) + 1
        hangs_first = request.fault is FaultKind.HANG_BEFORE
        seconds = self._settings.hang_seconds if hangs_first else self.delay_of(request)
        self.call_at(self.now + seconds, lambda: self._finish(exchange, request))

    def _finish(self, exchange: ExchangeId, request: ReceivedRequest) -> None:
        self._transition_to_not_running(request.key)
        response = b""
        if request.fault in _EFFECTIVE:
            response = self.perform(request)
            self.books.transition_to_applied(request, self.now)
            if request.key:
                self._responses.setdefault(request.key, response)
        self._answer_finished(exchange, request, response)
        for waiting in self._waiting.pop(request.key, []):
            self._answer_finished(waiting, request, response)

    def _answer_finished(
        self, exchange: ExchangeId, request: ReceivedRequest, response: bytes
    ) -> None:
        if request.fault is None:
            self._answer(exchange, response)
        elif request.fault in (FaultKind.FAIL_BEFORE, FaultKind.FAIL_AFTER):
            self._reject(exchange, HTTPStatus.INTERNAL_SERVER_ERROR, "failed")
        elif request.fault is FaultKind.LOSE_ANSWER and exchange in self._open:
            self._open.discard(exchange)
            self.abort(exchange)

    def _transition_to_not_running(self, key: str) -> None:
        self._running[key] -= 1
        if not self._running[key]:
            del self._running[key]

    def _answer(self, exchange: ExchangeId, response: bytes) -> None:
        if exchange in self._open:
            self._open.discard(exchange)
            self.emit(json_reply(exchange, HTTPStatus.OK, msgspec.Raw(response)))

    def _reject(self, exchange: ExchangeId, status: int, kind: str, message: str = "") -> None:
        self._open.discard(exchange)
        self.emit(error_reply(exchange, status, kind, message))

    # ------------------------------------------------------------ look-ups

    def look_up(self, arrived: HttpArrived, key: str) -> None:
        """Answer what became of the requests with a key.

        With ``Lookup.FENCED``, "not seen" is final for the fence of the question: requests
        with that fence or a lower one are refused from then on.
        """
        if self._settings.lookup is Lookup.NONE:
            self._reject(arrived.exchange, HTTPStatus.NOT_IMPLEMENTED, "no_lookup")
            return
        response = self._responses.get(key)
        if response is not None:
            body = LookupBody(status="done", response=msgspec.Raw(response))
            self.emit(json_reply(arrived.exchange, HTTPStatus.OK, body))
            return
        if key in self._running:
            body = LookupBody(status="running")
            self.emit(json_reply(arrived.exchange, HTTPStatus.OK, body))
            return
        fenced = self._settings.lookup is Lookup.FENCED
        if fenced:
            fence = _fence_of(arrived.query.get("fence", ""))
            self._fences[key] = max(fence, self._fences.get(key, 0))
        body = LookupBody(status="not_seen", fenced=fenced)
        self.emit(json_reply(arrived.exchange, HTTPStatus.NOT_FOUND, body))


def _fence_of(text: str) -> int:
    return int(text) if text.isdecimal() else 0
