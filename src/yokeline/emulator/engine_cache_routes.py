"""The cache's part of the engine's HTTP face: holds, inventory, feed, exports and imports."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from yokeline.effects import Address, HttpArrived, HttpRequest, HttpResponse
from yokeline.emulator.engine.calls import ImportEnded
from yokeline.emulator.engine.model import EngineModel
from yokeline.emulator.engine.transfers import Export
from yokeline.emulator.engine_fences import FENCED, FenceRegistry
from yokeline.emulator.engine_protocol import (
    ExportBody,
    ExportRequest,
    FeedBody,
    HoldRequest,
    ImportRequest,
    InventoryBody,
    TokensBody,
)
from yokeline.emulator.routing import PathParameters, empty_reply, error_reply, json_reply
from yokeline.emulator.stand_in import Answer, StandIn
from yokeline.identifiers import ExchangeId

_EXPORT_TIMEOUT_SECONDS = 10.0


class CacheRoutes:
    """Routes below ``/v1/cache`` of an engine."""

    def __init__(self, stand_in: StandIn, model: EngineModel, fences: FenceRegistry) -> None:
        """Add the routes to ``stand_in``."""
        self._stand_in = stand_in
        self._model = model
        self._fences = fences
        self._imports: dict[int, ExchangeId] = {}
        add = stand_in.router.add
        add("POST", "/v1/cache/holds", self._hold)
        add("DELETE", "/v1/cache/holds/{cache_key:path}", self._release)
        add("DELETE", "/v1/cache/entries/{cache_key:path}", self._drop)
        add("GET", "/v1/cache", self._inventory)
        add("GET", "/v1/cache/events", self._feed)
        add("POST", "/v1/cache/exports", self._export)
        add("GET", "/v1/cache/exports/{export}", self._exported)
        add("POST", "/v1/cache/imports", self._import)

    def answer_import(self, output: ImportEnded) -> None:
        """Answer the request whose import has ended."""
        exchange = self._imports.pop(output.import_id)
        self._reply(exchange, TokensBody(tokens=output.tokens))

    def _hold(self, request: HttpArrived, _: PathParameters) -> None:
        hold = msgspec.json.decode(request.body, type=HoldRequest)
        if not self._fences.admit(hold.cache_key, hold.fence):
            self._error(request.exchange, HTTPStatus.CONFLICT, FENCED)
            return
        now = self._stand_in.now
        tokens = self._model.hold(hold.cache_key, hold.cache_salt, hold.seconds, now)
        self._reply(request.exchange, TokensBody(tokens=tokens))

    def _release(self, request: HttpArrived, parameters: PathParameters) -> None:
        self._model.release(parameters["cache_key"], self._stand_in.now)
        self._stand_in.emit(empty_reply(request.exchange))

    def _drop(self, request: HttpArrived, parameters: PathParameters) -> None:
        self._model.drop(parameters["cache_key"], self._stand_in.now)
        self._stand_in.emit(empty_reply(request.exchange))

    def _inventory(self, request: HttpArrived, _: PathParameters) -> None:
        entries = self._model.entries(self._stand_in.now)
        body = InventoryBody(entries=entries, sequence=self._model.feed_sequence)
        self._reply(request.exchange, body)

    def _feed(self, request: HttpArrived, _: PathParameters) -> None:
        after = request.query.get("after", "0")
        if not after.isdecimal():
            self._error(request.exchange, HTTPStatus.BAD_REQUEST, "bad_request")
            return
        page = self._model.read_feed(int(after), self._stand_in.now)
        body = FeedBody(events=page.events, sequence=page.sequence, gap=page.gap)
        self._reply(request.exchange, body)

    # ------------------------------------------------------------ transfers

    def _export(self, request: HttpArrived, _: PathParameters) -> None:
        wanted = msgspec.json.decode(request.body, type=ExportRequest)
        export = self._model.export(wanted.cache_key, self._stand_in.now)
        if export is None:
            self._error(request.exchange, HTTPStatus.NOT_FOUND, "nothing_cached")
            return
        self._reply(request.exchange, ExportBody(export=export.export, tokens=export.tokens))

    def _exported(self, request: HttpArrived, parameters: PathParameters) -> None:
        export = self._model.exported(parameters["export"], self._stand_in.now)
        if export is None:
            self._error(request.exchange, HTTPStatus.NOT_FOUND, "no_such_export")
            return
        self._reply(request.exchange, export)

    def _import(self, request: HttpArrived, _: PathParameters) -> None:
        wanted = msgspec.json.decode(request.body, type=ImportRequest)
        host, _separator, port = wanted.source.rpartition(":")
        if not port.isdecimal():
            self._error(request.exchange, HTTPStatus.BAD_REQUEST, "bad_source")
            return
        fetch = HttpRequest(
            request=self._stand_in.new_request_id(),
            address=Address(host, int(port)),
            method="GET",
            path=f"/v1/cache/exports/{wanted.export}",
            timeout=_EXPORT_TIMEOUT_SECONDS,
            allow_retry=True,
        )
        exchange = request.exchange
        self._stand_in.send_http(fetch, lambda answer: self._fetched(exchange, wanted, answer))

    def _fetched(self, exchange: ExchangeId, wanted: ImportRequest, answer: Answer) -> None:
        export = _export_in(answer)
        if export is None or export.cache_key != wanted.cache_key:
            self._error(exchange, HTTPStatus.BAD_GATEWAY, "export_unavailable")
            return
        number = self._model.import_blocks(export, self._stand_in.now)
        self._imports[number] = exchange

    def _reply(self, exchange: ExchangeId, body: msgspec.Struct) -> None:
        self._stand_in.emit(json_reply(exchange, HTTPStatus.OK, body))

    def _error(self, exchange: ExchangeId, status: int, kind: str) -> None:
        self._stand_in.emit(error_reply(exchange, status, kind))


def _export_in(answer: Answer) -> Export | None:
    if not isinstance(answer, HttpResponse) or answer.status != HTTPStatus.OK:
        return None
    try:
        return msgspec.json.decode(answer.body, type=Export)
    except msgspec.MsgspecError:
        return None
