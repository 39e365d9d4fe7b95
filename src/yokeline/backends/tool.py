"""Client of tool services."""

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


class ToolCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call of a tool.

    Attributes:
        path: Path below which the service has its tools.
        arguments: JSON text of an object.
        fence: Term of the leader that sends it.
    """

    tool: str
    address: Address
    path: str
    arguments: str
    run: RunId
    call: int
    fence: int
    timeout: float
    repeatable: bool


class ToolAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What a tool answered."""

    content: str


class _ToolBody(msgspec.Struct, frozen=True, kw_only=True):
    arguments: msgspec.Raw
    run: str
    call: int


ToolDone = Callable[[Result[ToolAnswer, YokelineError]], None]


def arguments_valid(arguments: str) -> bool:
    """Return whether a model's arguments are the JSON text of an object."""
    try:
        msgspec.json.decode(arguments, type=dict[str, object])
    except (msgspec.MsgspecError, RecursionError):
        return False
    return True


class ToolClient:
    """Calls tools and asks what became of calls."""

    def __init__(self, context: NodeContext) -> None:
        """Create a client that sends through ``context``."""
        self._context = context

    def call(self, call: ToolCall, done: ToolDone) -> RequestId:
        """Call a tool; ``done`` gets its answer or a failure that says whether it ran."""
        body = _ToolBody(
            arguments=msgspec.Raw(call.arguments.encode()), run=call.run, call=call.call
        )
        request = KeyedRequest(
            backend=f"tool {call.tool}",
            address=call.address,
            path=f"{call.path}/{call.tool}",
            body=msgspec.json.encode(body),
            key=idempotency_key(call.run, call.call),
            fence=call.fence,
            timeout=call.timeout,
            repeatable=call.repeatable,
        )

        def answered(result: Result[HttpResponse, YokelineError]) -> None:
            done(result.bind(lambda response: tool_answer(call.tool, response.body)))

        return send_keyed(self._context, request, answered)

    def lookup(self, call: ToolCall, done: LookupDone) -> RequestId:
        """Ask what became of a call, under ``call.fence``."""
        key = idempotency_key(call.run, call.call)
        lookup = Lookup(
            backend=f"tool {call.tool}",
            address=call.address,
            path=f"{call.path}/{call.tool}/requests/{key}",
            fence=call.fence,
        )
        return send_lookup(self._context, lookup, done)


def tool_answer(tool: str, body: bytes) -> Result[ToolAnswer, YokelineError]:
    """Decode the body of a tool's 2xx answer."""
    return decode_applied(body, ToolAnswer, f"tool {tool}")
