"""Whole HTTP exchanges with a back end, answered once with a response or an error."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from yokeline.backends.outcomes import connection_failed, malformed
from yokeline.effects import Address, HttpFailed, HttpRequest, HttpResponse
from yokeline.errors import YokelineError
from yokeline.identifiers import RequestId
from yokeline.server.context import HttpAnswer, NodeContext

JSON_HEADERS = {"content-type": "application/json", "accept": "application/json"}

ResponseDone = Callable[[Result[HttpResponse, YokelineError]], None]


class Exchange(msgspec.Struct, frozen=True, kw_only=True):
    """One whole request to a back end.

    Attributes:
        backend: Name used in errors.
        timeout: Seconds until the whole response must be there.
        repeatable: The transport may send it again on a fresh connection.
    """

    backend: str
    address: Address
    method: str
    path: str
    timeout: float
    body: bytes = b""
    headers: dict[str, str] = {}
    repeatable: bool = False


def send(context: NodeContext, exchange: Exchange, done: ResponseDone) -> RequestId:
    """Send a request; ``done`` is called once, unless the request is cancelled."""
    request = HttpRequest(
        request=context.new_request_id(),
        address=exchange.address,
        method=exchange.method,
        path=exchange.path,
        headers={**JSON_HEADERS, **exchange.headers},
        body=exchange.body,
        timeout=exchange.timeout,
        allow_retry=exchange.repeatable,
    )

    def answered(answer: HttpAnswer) -> None:
        done(_whole(exchange.backend, answer))

    context.send_http(request, answered)
    return request.request


def _whole(backend: str, answer: HttpAnswer) -> Result[HttpResponse, YokelineError]:
    if isinstance(answer, HttpResponse):
        return Success(answer)
    if isinstance(answer, HttpFailed):
        return Failure(connection_failed(backend, answer))
    return Failure(malformed(backend, "a stream where a whole body was expected"))
