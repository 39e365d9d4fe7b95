"""Requests under an idempotency key, common to tool services and app engines.

The key stays the same over all attempts of a call. A 4xx status says that the request was
surely not applied; after a 5xx status or a lost connection its outcome is unknown, and where
the back end offers it, a lookup by key tells.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from http import HTTPStatus

import msgspec
from returns.result import Failure, Result, Success

from yokeline.backends import transport
from yokeline.backends.outcomes import decode_json, failed, is_client_error, is_success, refused
from yokeline.effects import Address, HttpResponse
from yokeline.errors import YokelineError
from yokeline.identifiers import RequestId, RunId
from yokeline.server.context import NodeContext

IDEMPOTENCY_HEADER = "idempotency-key"
FENCE_HEADER = "x-yokeline-fence"
LOOKUP_TIMEOUT_SECONDS = 5.0


class LookupStatus(enum.Enum):
    """What a back end knows of a request."""

    DONE = "done"
    RUNNING = "running"
    NOT_SEEN = "not_seen"


class LookupAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a lookup.

    Attributes:
        fenced: For ``NOT_SEEN``: no request with the asked fence or a lower one will be
            carried out any more, so the request is surely not run.
        response: For ``DONE``: the JSON body of the request's response.
    """

    status: LookupStatus
    fenced: bool = False
    response: msgspec.Raw = msgspec.Raw(b"")


class KeyedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a back end should carry out at most once per key.

    Attributes:
        backend: Name used in errors.
        fence: Term of the leader that sends it.
        repeatable: It may be sent again without harm.
    """

    backend: str
    address: Address
    path: str
    body: bytes
    key: str
    fence: int
    timeout: float
    repeatable: bool = False


class Lookup(msgspec.Struct, frozen=True, kw_only=True):
    """A question what became of a request; ``path`` includes its key."""

    backend: str
    address: Address
    path: str
    fence: int


KeyedDone = Callable[[Result[HttpResponse, YokelineError]], None]
LookupDone = Callable[[Result[LookupAnswer, YokelineError]], None]


def idempotency_key(run: RunId, call: int) -> str:
    """Return the key of a call towards back ends; the same for all its attempts."""
    return f"{run}/{call}"


def send_keyed(context: NodeContext, request: KeyedRequest, done: KeyedDone) -> RequestId:
    """Send a request under its key.

    Args:
        context: The node's context.
        request: The request.
        done: Gets the response if it is 2xx, else a failure that says whether it ran.

    Returns:
        The id with which the request can be cancelled.
    """
    exchange = transport.Exchange(
        backend=request.backend,
        address=request.address,
        method="POST",
        path=request.path,
        timeout=request.timeout,
        body=request.body,
        headers={IDEMPOTENCY_HEADER: request.key, FENCE_HEADER: str(request.fence)},
        repeatable=request.repeatable,
    )

    def answered(result: Result[HttpResponse, YokelineError]) -> None:
        done(result.bind(lambda response: _classified(request.backend, response)))

    return transport.send(context, exchange, answered)


def _classified(backend: str, response: HttpResponse) -> Result[HttpResponse, YokelineError]:
    if is_success(response.status):
        return Success(response)
    if is_client_error(response.status):
        return Failure(refused(backend, response))
    return Failure(failed(backend, response))


def send_lookup(context: NodeContext, lookup: Lookup, done: LookupDone) -> RequestId:
    """Ask what became of a request.

    Args:
        context: The node's context.
        lookup: The question.
        done: Gets the answer, or a failure if the back end gave none that can be read.

    Returns:
        The id with which the question can be cancelled.
    """
    exchange = transport.Exchange(
        backend=lookup.backend,
        address=lookup.address,
        method="GET",
        path=f"{lookup.path}?fence={lookup.fence}",
        timeout=LOOKUP_TIMEOUT_SECONDS,
        repeatable=True,
    )

    def answered(result: Result[HttpResponse, YokelineError]) -> None:
        done(result.bind(lambda response: _lookup_answer(lookup.backend, response)))

    return transport.send(context, exchange, answered)


def _lookup_answer(backend: str, response: HttpResponse) -> Result[LookupAnswer, YokelineError]:
    if response.status not in {HTTPStatus.OK, HTTPStatus.NOT_FOUND}:
        return Failure(failed(backend, response))
    decoded = decode_json(response.body, LookupAnswer, backend)
    return decoded.bind(lambda answer: _consistent(backend, response, answer))


def _consistent(
    backend: str, response: HttpResponse, answer: LookupAnswer
) -> Result[LookupAnswer, YokelineError]:
    """Refuse a 404 that is not the protocol's own (such as an unknown path)."""
    seen = answer.status is not LookupStatus.NOT_SEEN
    if seen is (response.status == HTTPStatus.OK):
        return Success(answer)
    return Failure(failed(backend, response))
