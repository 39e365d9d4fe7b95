"""Client of model engines: chat streams, cancel, cache holds, inventory, load and orders."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from yokeline.backends import transport
from yokeline.backends.chat import ChatCall, encode_body
from yokeline.backends.engine_messages import (
    Accepted,
    CacheEvents,
    CacheExport,
    CacheHold,
    CacheImport,
    CacheInventory,
    EngineLoad,
    EngineOrder,
    ExportBody,
    TokenCount,
)
from yokeline.backends.outcomes import decode_json, failed, is_client_error, is_success, refused
from yokeline.backends.stream import ModelStream
from yokeline.effects import Address, Framing, HttpRequest, HttpResponse
from yokeline.errors import YokelineError
from yokeline.identifiers import RequestId, RunId
from yokeline.server.context import NodeContext

CHAT_PATH = "/v1/chat/completions"
CALLS_PATH = "/v1/calls"
HOLDS_PATH = "/v1/cache/holds"
ENTRIES_PATH = "/v1/cache/entries"
CACHE_PATH = "/v1/cache"
CACHE_EVENTS_PATH = "/v1/cache/events"
EXPORTS_PATH = "/v1/cache/exports"
IMPORTS_PATH = "/v1/cache/imports"
LOAD_PATH = "/v1/load"
ORDERS_PATH = "/v1/orders"

STREAM_SILENCE_SECONDS = 30.0
"""Longest silence of a stream before its connection counts as lost."""
CONTROL_TIMEOUT_SECONDS = 5.0
IMPORT_TIMEOUT_SECONDS = 60.0
STREAM_HEADERS = {"content-type": "application/json", "accept": "text/event-stream"}

Answer = TypeVar("Answer")


def call_id(run: RunId, call: int, attempt: int) -> str:
    """Return the id of one attempt's generation at an engine."""
    return f"{run}-{call}-{attempt}"


class EngineClient:
    """Talks to engines; every answer goes to a callback."""

    def __init__(self, context: NodeContext) -> None:
        """Create a client that sends through ``context``."""
        self._context = context

    # ------------------------------------------------------------ streams

    def chat(self, address: Address, call: ChatCall, stream: ModelStream) -> RequestId:
        """Start a generation; its events go to ``stream``."""
        return self._open_stream(address, "POST", CHAT_PATH, encode_body(call), stream)

    def resume(self, address: Address, call: str, stream: ModelStream) -> RequestId:
        """Read on in a generation from where ``stream`` stands."""
        path = f"{CALLS_PATH}/{call}/events?offset={stream.length}"
        return self._open_stream(address, "GET", path, b"", stream)

    def _open_stream(
        self, address: Address, method: str, path: str, body: bytes, stream: ModelStream
    ) -> RequestId:
        stream.reopen()
        request = HttpRequest(
            request=self._context.new_request_id(),
            address=address,
            method=method,
            path=path,
            headers=STREAM_HEADERS,
            body=body,
            framing=Framing.SERVER_SENT_EVENTS,
            timeout=STREAM_SILENCE_SECONDS,
            allow_retry=True,
        )
        self._context.send_http(request, stream.receive)
        return request.request

    def cancel(
        self,
        address: Address,
        call: str,
        done: Callable[[Result[Accepted, YokelineError]], None],
    ) -> RequestId:
        """Cancel a generation; unknown ones count as cancelled."""
        return self._command(address, "DELETE", f"{CALLS_PATH}/{call}", b"", done)

    # ------------------------------------------------------------ cache

    def hold(
        self,
        address: Address,
        hold: CacheHold,
        done: Callable[[Result[TokenCount, YokelineError]], None],
    ) -> RequestId:
        """Keep a run's context in the cache for some seconds."""
        return self._ask(address, HOLDS_PATH, msgspec.json.encode(hold), TokenCount, done)

    def release_hold(
        self,
        address: Address,
        cache_key: RunId,
        done: Callable[[Result[Accepted, YokelineError]], None],
    ) -> RequestId:
        """End a hold before its time."""
        return self._command(address, "DELETE", f"{HOLDS_PATH}/{cache_key}", b"", done)

    def drop_entries(
        self,
        address: Address,
        cache_key: RunId,
        done: Callable[[Result[Accepted, YokelineError]], None],
    ) -> RequestId:
        """Free the cached context of a run that has ended."""
        return self._command(address, "DELETE", f"{ENTRIES_PATH}/{cache_key}", b"", done)

    def inventory(
        self, address: Address, done: Callable[[Result[CacheInventory, YokelineError]], None]
    ) -> RequestId:
        """Read all entries of the cache."""
        return self._ask(address, CACHE_PATH, b"", CacheInventory, done)

    def cache_events(
        self,
        address: Address,
        after: int,
        done: Callable[[Result[CacheEvents, YokelineError]], None],
    ) -> RequestId:
        """Read the changes of the cache after a sequence number."""
        return self._ask(address, f"{CACHE_EVENTS_PATH}?after={after}", b"", CacheEvents, done)

    def export_cache(
        self,
        address: Address,
        cache_key: RunId,
        done: Callable[[Result[CacheExport, YokelineError]], None],
    ) -> RequestId:
        """Make a run's context ready for another engine."""
        body = msgspec.json.encode(ExportBody(cache_key=cache_key))
        return self._ask(address, EXPORTS_PATH, body, CacheExport, done)

    def import_cache(
        self,
        address: Address,
        source: CacheImport,
        done: Callable[[Result[TokenCount, YokelineError]], None],
    ) -> RequestId:
        """Fetch a context that another engine has exported."""
        body = msgspec.json.encode(source)
        return self._ask(address, IMPORTS_PATH, body, TokenCount, done, IMPORT_TIMEOUT_SECONDS)

    # ------------------------------------------------------------ load and orders

    def load(
        self, address: Address, done: Callable[[Result[EngineLoad, YokelineError]], None]
    ) -> RequestId:
        """Read an engine's load."""
        return self._ask(address, LOAD_PATH, b"", EngineLoad, done)

    def order(
        self,
        address: Address,
        order: EngineOrder,
        done: Callable[[Result[Accepted, YokelineError]], None],
    ) -> RequestId:
        """Give a fenced order."""
        return self._command(address, "POST", ORDERS_PATH, msgspec.json.encode(order), done)

    # ------------------------------------------------------------ exchanges

    def _ask(
        self,
        address: Address,
        path: str,
        body: bytes,
        expected: type[Answer],
        done: Callable[[Result[Answer, YokelineError]], None],
        timeout: float = CONTROL_TIMEOUT_SECONDS,
    ) -> RequestId:
        exchange = _exchange(address, "POST" if body else "GET", path, body, timeout)

        def answered(result: Result[HttpResponse, YokelineError]) -> None:
            done(result.bind(lambda response: _decoded(exchange.backend, response, expected)))

        return transport.send(self._context, exchange, answered)

    def _command(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes,
        done: Callable[[Result[Accepted, YokelineError]], None],
    ) -> RequestId:
        exchange = _exchange(address, method, path, body, CONTROL_TIMEOUT_SECONDS)

        def answered(result: Result[HttpResponse, YokelineError]) -> None:
            done(result.bind(lambda response: _accepted(exchange, response)))

        return transport.send(self._context, exchange, answered)


def _exchange(
    address: Address, method: str, path: str, body: bytes, timeout: float
) -> transport.Exchange:
    return transport.Exchange(
        backend=f"engine {address}",
        address=address,
        method=method,
        path=path,
        timeout=timeout,
        body=body,
        repeatable=True,
    )


def _decoded(
    backend: str, response: HttpResponse, expected: type[Answer]
) -> Result[Answer, YokelineError]:
    if is_success(response.status):
        return decode_json(response.body, expected, backend)
    return Failure(_error(backend, response))


def _accepted(
    exchange: transport.Exchange, response: HttpResponse
) -> Result[Accepted, YokelineError]:
    gone = exchange.method == "DELETE" and response.status == HTTPStatus.NOT_FOUND
    if is_success(response.status) or gone:
        return Success(Accepted())
    return Failure(_error(exchange.backend, response))


def _error(backend: str, response: HttpResponse) -> YokelineError:
    if is_client_error(response.status):
        return refused(backend, response)
    return failed(backend, response)
