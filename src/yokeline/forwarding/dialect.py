"""Translates between HTTP messages and calls; implemented once per kind of deployment."""

from __future__ import annotations

from typing import Protocol

import msgspec
from returns.result import Result

from yokeline.effects import HttpArrived, HttpResponse
from yokeline.errors import YokelineError
from yokeline.forwarding.model import Call, Engine


class EngineRequestContext(msgspec.Struct, frozen=True, kw_only=True):
    """What the request to an engine carries besides the caller's own header fields.

    Attributes:
        engine: The engine that receives the request.
        remaining_seconds: Time that is left to answer the request.
        priority: 0 (most urgent) to 9.
        last_event_id: Resume the stream after this event; empty to start from the beginning.
        tenant: Name of the tenant; empty if there is none.
        forwards_credential: Whether the ``Authorization`` header is passed on, since the deployment
            has no tenants and does not check it.
    """

    engine: Engine
    remaining_seconds: float
    priority: int
    last_event_id: str = ""
    tenant: str = ""
    forwards_credential: bool = True


class Dialect(Protocol):
    """Header names of a deployment and their meaning."""

    engine_state_path: str
    """Path at which an engine tells its state without taking a slot."""

    echo_header: str
    """Name (lower case) of the header that carries the request's id and that engines echo."""

    def parse_call(self, arrived: HttpArrived) -> Result[Call, YokelineError]:
        """Parse a caller's request."""
        ...

    def engine_headers(
        self, arrived: HttpArrived, call: Call, context: EngineRequestContext
    ) -> tuple[tuple[str, str], ...]:
        """Return the header fields to send to an engine, including ``host``."""
        ...

    def response_headers(self, response: HttpResponse) -> dict[str, str]:
        """Return the header fields of an engine's response that are passed to the caller."""
        ...

    def was_not_executed(self, response: HttpResponse) -> bool:
        """Return whether an engine's response guarantees that the request was not executed."""
        ...

    def engine_state_headers(self, instance: str) -> tuple[tuple[str, str], ...]:
        """Return the header fields of a request for an engine's state, without ``host``."""
        ...

    def read_engine_start(self, response: HttpResponse) -> int | None:
        """Return the start time (Unix milliseconds) in an engine's state; None without one."""
        ...

    def refusal_headers(self, call_id: str, retry_after: float | None) -> dict[str, str]:
        """Return the header fields of this node's own error response."""
        ...
