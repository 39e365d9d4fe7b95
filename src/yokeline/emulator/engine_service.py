"""HTTP face of the emulated model engine."""

from __future__ import annotations

import random
from http import HTTPStatus

import msgspec
from returns.result import Failure

from yokeline.effects import Exit, HttpArrived
from yokeline.emulator.engine.books import ContextHistory, EngineBooks
from yokeline.emulator.engine.calls import (
    CallEnded,
    CallPhase,
    CallProgress,
    EngineCall,
)
from yokeline.emulator.engine.model import EngineModel
from yokeline.emulator.engine.prompt import build_prompt
from yokeline.emulator.engine.registry import EngineOrder
from yokeline.emulator.engine.script import answer_to
from yokeline.emulator.engine_cache_routes import CacheRoutes
from yokeline.emulator.engine_fences import FENCED, FenceRegistry
from yokeline.emulator.engine_protocol import (
    BooksBody,
    ChatRequest,
    DrainRequest,
    LoadBody,
)
from yokeline.emulator.engine_streams import AnswerStream, whole_completion
from yokeline.emulator.routing import PathParameters, empty_reply, error_reply, json_reply
from yokeline.emulator.settings import EngineSettings
from yokeline.emulator.stand_in import StandIn, add_health_route
from yokeline.emulator.weight_loading import WeightLoader
from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import ExchangeId

_STATUS_OF_REFUSAL = {
    ErrorKind.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    ErrorKind.LIMIT_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
    ErrorKind.UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
}
_LEAVING_RETRY_SECONDS = 60.0


class EngineService(StandIn):
    """A model engine: an :class:`EngineModel` behind the protocol of ``engine_protocol``.

    Attributes:
        model: The engine itself.
    """

    def __init__(
        self,
        settings: EngineSettings,
        source: random.Random,
        history: ContextHistory | None = None,
    ) -> None:
        """Create an idle engine; see :class:`EngineModel` for ``history``."""
        super().__init__(settings.name, source)
        self.model = EngineModel(settings.parameters, source, history)
        self._loader = WeightLoader(self, self.model.registry, settings)
        self._streams: dict[str, list[AnswerStream]] = {}
        self._whole: dict[str, list[ExchangeId]] = {}
        self._call_of: dict[ExchangeId, str] = {}
        self._stopping = False
        self._fences = FenceRegistry()
        self._cache_routes = CacheRoutes(self, self.model, self._fences)
        self._add_routes()

    @property
    def books(self) -> EngineBooks:
        """Return what the engine did."""
        return self.model.books

    # ------------------------------------------------------------ service

    def next_deadline(self) -> float | None:
        """Return when a ``Tick`` is due at the latest; None if none is."""
        times = [super().next_deadline(), self.model.next_time()]
        return min((time for time in times if time is not None), default=None)

    def advance(self) -> None:
        """Carry the model up to now and send what it produced."""
        for output in self.model.advance(self.now):
            if isinstance(output, CallProgress):
                self._send_progress(output.call_id)
            elif isinstance(output, CallEnded):
                self._send_end(output.call_id)
            else:
                self._cache_routes.answer_import(output)
        if self._stopping and not self.model.busy:
            self._stopping = False
            self.emit(Exit())

    def exchange_gone(self, exchange: ExchangeId) -> None:
        """Forget a caller; its call goes on."""
        call_id = self._call_of.pop(exchange, None)
        if call_id is None:
            return
        streams = [s for s in self._streams.pop(call_id, []) if s.exchange != exchange]
        waiting = [w for w in self._whole.pop(call_id, []) if w != exchange]
        if streams:
            self._streams[call_id] = streams
        else:
            self.model.unfollow(call_id)
        if waiting:
            self._whole[call_id] = waiting

    def stop(self) -> None:
        """Take no new calls and exit when those under way have ended."""
        self.model.draining = True
        self._stopping = True
        self.advance()

    def _add_routes(self) -> None:
        add = self.router.add
        add_health_route(self)
        add("POST", "/v1/chat/completions", self._chat)
        add("GET", "/v1/calls/{call_id:path}/events", self._resume)
        add("DELETE", "/v1/calls/{call_id:path}", self._cancel)
        add("GET", "/v1/load", self._load)
        add("POST", "/v1/orders", self._order)
        add("PUT", "/emulator/drain", self._drain)
        add("GET", "/emulator/books", self._read_books)

    # ------------------------------------------------------------ calls

    def _chat(self, request: HttpArrived, _: PathParameters) -> None:
        chat = msgspec.json.decode(request.body, type=ChatRequest)
        if not chat.messages or chat.max_tokens < 1:
            self._bad(request.exchange, "messages and max_tokens must not be empty")
            return
        if not self._fences.admit(chat.cache_key, chat.fence):
            message = "another leader is in charge of this run now"
            self.emit(error_reply(request.exchange, HTTPStatus.CONFLICT, FENCED, message))
            return
        call = self._call_from(chat, request.exchange)
        result = self.model.submit(call, self.now)
        if isinstance(result, Failure):
            self._refuse_call(request.exchange, result.failure())
            return
        if chat.stream:
            self._attach(request.exchange, call.call_id, 0)
        else:
            self._await_whole(request.exchange, call.call_id)

    def _call_from(self, chat: ChatRequest, exchange: ExchangeId) -> EngineCall:
        block_tokens = self.model.parameters.block_tokens
        prompt = build_prompt(chat.cache_salt, chat.messages, block_tokens)
        call_id = chat.call_id or f"{self.name}:{exchange}"
        return EngineCall(
            call_id=call_id,
            cache_key=chat.cache_key or call_id,
            model=chat.model,
            prompt=prompt,
            answer=answer_to(chat.messages, prompt, chat.max_tokens),
            priority=chat.priority,
            streamed=chat.stream,
        )

    def _refuse_call(self, exchange: ExchangeId, error: YokelineError) -> None:
        status = _STATUS_OF_REFUSAL.get(error.kind, HTTPStatus.SERVICE_UNAVAILABLE)
        retry_after = error.retry_after
        if status == HTTPStatus.SERVICE_UNAVAILABLE and retry_after is None:
            retry_after = _LEAVING_RETRY_SECONDS
        self.emit(error_reply(exchange, status, error.kind.value, error.message, retry_after))

    def _resume(self, request: HttpArrived, parameters: PathParameters) -> None:
        call_id = parameters["call_id"]
        offset = _number(request.query.get("offset", "0"))
        generation = self.model.generation(call_id, self.now)
        if generation is None:
            self._missing(request.exchange, f"call {call_id} is not known")
        elif offset is None or (
            generation.phase is CallPhase.ENDED and offset > len(generation.text())
        ):
            self._bad(request.exchange, "offset is beyond the answer")
        else:
            self._attach(request.exchange, call_id, offset)

    def _attach(self, exchange: ExchangeId, call_id: str, offset: int) -> None:
        stream = AnswerStream(exchange, call_id, offset)
        self.emit(stream.start())
        generation = self.model.generation(call_id, self.now)
        if generation is None or generation.phase is CallPhase.ENDED:
            if generation is not None:
                self._emit_all(stream.end(generation))
            return
        self._emit_all(stream.text(generation))
        self._streams.setdefault(call_id, []).append(stream)
        self._call_of[exchange] = call_id
        self.model.follow(call_id, self.now)

    def _await_whole(self, exchange: ExchangeId, call_id: str) -> None:
        generation = self.model.generation(call_id, self.now)
        if generation is not None and generation.phase is CallPhase.ENDED:
            self.emit(json_reply(exchange, HTTPStatus.OK, whole_completion(generation)))
            return
        self._whole.setdefault(call_id, []).append(exchange)
        self._call_of[exchange] = call_id

    def _cancel(self, request: HttpArrived, parameters: PathParameters) -> None:
        self.model.cancel(parameters["call_id"], self.now)
        self.emit(empty_reply(request.exchange))
        self.advance()

    def _send_progress(self, call_id: str) -> None:
        streams = self._streams.get(call_id)
        generation = self.model.generation(call_id, self.now)
        if generation is None or not streams:
            return
        for stream in streams:
            self._emit_all(stream.text(generation))

    def _send_end(self, call_id: str) -> None:
        streams = self._streams.pop(call_id, [])
        waiting = self._whole.pop(call_id, [])
        generation = self.model.generation(call_id, self.now)
        for exchange in [*(stream.exchange for stream in streams), *waiting]:
            self._call_of.pop(exchange, None)
            if generation is None:
                self.abort(exchange)
        if generation is None:
            return
        for stream in streams:
            self._emit_all(stream.end(generation))
        for exchange in waiting:
            self.emit(json_reply(exchange, HTTPStatus.OK, whole_completion(generation)))

    # ------------------------------------------------------------ load and orders

    def _load(self, request: HttpArrived, _: PathParameters) -> None:
        state = self.model.load(self.now)
        body = LoadBody(
            running=state.running,
            waiting=state.waiting,
            cache_tokens_used=state.cache_tokens_used,
            cache_tokens=self.model.parameters.cache_tokens,
            models=self.model.registry.ready_names(),
            role=self.model.registry.role,
            draining=self.model.draining,
            age_seconds=self.model.parameters.load_lag_seconds,
        )
        self.emit(json_reply(request.exchange, HTTPStatus.OK, body))

    def _order(self, request: HttpArrived, _: PathParameters) -> None:
        order = msgspec.json.decode(request.body, type=EngineOrder)
        result = self.model.registry.apply(order)
        if isinstance(result, Failure):
            error = result.failure()
            fenced = error.kind is ErrorKind.PRECONDITION_FAILED
            kind = FENCED if fenced else error.kind.value
            self.emit(error_reply(request.exchange, HTTPStatus.CONFLICT, kind, error.message))
            return
        loading = result.unwrap()
        if loading is not None:
            self._loader.begin(loading)
        self.emit(empty_reply(request.exchange, HTTPStatus.ACCEPTED))

    def _drain(self, request: HttpArrived, _: PathParameters) -> None:
        wanted = msgspec.json.decode(request.body, type=DrainRequest)
        self.model.draining = wanted.draining
        self.emit(empty_reply(request.exchange))

    def _read_books(self, request: HttpArrived, _: PathParameters) -> None:
        body = BooksBody(totals=self.books.totals, calls=list(self.books.calls))
        self.emit(json_reply(request.exchange, HTTPStatus.OK, body))

    # ------------------------------------------------------------ helpers

    def _missing(self, exchange: ExchangeId, message: str) -> None:
        self.emit(error_reply(exchange, HTTPStatus.NOT_FOUND, "not_found", message))

    def _bad(self, exchange: ExchangeId, message: str) -> None:
        self.emit(error_reply(exchange, HTTPStatus.BAD_REQUEST, "bad_request", message))

    def _emit_all(self, effects: list) -> None:
        for effect in effects:
            self.emit(effect)


def _number(text: str) -> int | None:
    return int(text) if text.isdecimal() else None
