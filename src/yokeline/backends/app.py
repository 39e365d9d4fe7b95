"""Client of app engines, which take a caller's JSON body as it is."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Result

from yokeline.backends.keyed import (
    KeyedRequest,
    Lookup,
    LookupDone,
    idempotency_key,
    send_keyed,
    send_lookup,
)
from yokeline.backends.outcomes import decode_applied
from yokeline.effects import Address, HttpResponse
from yokeline.errors import YokelineError
from yokeline.identifiers import RequestId, RunId
from yokeline.server.context import NodeContext


class AppCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request to an app engine.

    Attributes:
        path: Path that requests are posted to.
        body: The caller's JSON text.
        fence: Term of the leader that sends it.
    """

    app: str
    address: Address
    path: str
    body: str
    run: RunId
    call: int
    fence: int
    timeout: float
    repeatable: bool


class AppAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What an app answered: JSON text."""

    content: str


AppDone = Callable[[Result[AppAnswer, YokelineError]], None]


class AppClient:
    """Posts requests to app engines and asks what became of them."""

    def __init__(self, context: NodeContext) -> None:
        """Create a client that sends through ``context``."""
        self._context = context

    def call(self, call: AppCall, done: AppDone) -> RequestId:
        """Post a request; ``done`` gets its answer or a failure that says whether it ran."""
        request = KeyedRequest(
            backend=f"app {call.app}",
            address=call.address,
            path=call.path,
            body=call.body.encode(),
            key=idempotency_key(call.run, call.call),
            fence=call.fence,
            timeout=call.timeout,
            repeatable=call.repeatable,
        )

        def answered(result: Result[HttpResponse, YokelineError]) -> None:
            done(result.bind(lambda response: app_answer(call.app, response.body)))

        return send_keyed(self._context, request, answered)

    def lookup(self, call: AppCall, done: LookupDone) -> RequestId:
        """Ask what became of a request, under ``call.fence``."""
        key = idempotency_key(call.run, call.call)
        lookup = Lookup(
            backend=f"app {call.app}",
            address=call.address,
            path=f"{call.path}/{key}",
            fence=call.fence,
        )
        return send_lookup(self._context, lookup, done)


def app_answer(app: str, body: bytes) -> Result[AppAnswer, YokelineError]:
    """Check that the body of an app's 2xx answer is JSON."""
    decoded = decode_applied(body, msgspec.Raw, f"app {app}")
    return decoded.map(lambda content: AppAnswer(content=bytes(content).decode()))
