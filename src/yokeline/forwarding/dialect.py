"""How calls and engines' answers are spelled; implemented once for each kind of deployment."""

from __future__ import annotations

from typing import Protocol

import msgspec
from returns.result import Result

from yokeline.effects import HttpArrived, HttpResponse
from yokeline.errors import YokelineError
from yokeline.forwarding.model import Call, Engine


class EngineRequestContext(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine is told beside the caller's own request.

    Attributes:
        remaining: Seconds that the engine may work.
        priority: 0 (most urgent) to 9.
        last_event_id: Continue the stream after this event; empty from its start.
        tenant: Whose request it is; empty where the deployment has no tenants or none is known.
        shows_credential: The caller's key goes to the engine, since the deployment has no tenants
            and the field is the application's own.
    """

    engine: Engine
    remaining_seconds: float
    priority: int
    last_event_id: str = ""
    tenant: str = ""
    forwards_credential: bool = True


class Dialect(Protocol):
    """Header names and their meaning."""

    echo_header: str
    """Header that an engine's answer carries back, with the request's id (lower case)."""

    def parse_call(self, arrived: HttpArrived) -> Result[Call, YokelineError]:
        """Return what a request says of itself."""
        ...

    def engine_headers(
        self, arrived: HttpArrived, call: Call, context: EngineRequestContext
    ) -> tuple[tuple[str, str], ...]:
        """Return the header fields to send to an engine, ``host`` included."""
        ...

    def response_headers(self, response: HttpResponse) -> dict[str, str]:
        """Return the header fields of an engine's answer that the caller gets."""
        ...

    def was_not_executed(self, response: HttpResponse) -> bool:
        """Return whether an engine's answer promises that the request did not run."""
        ...

    def refusal_headers(self, call_id: str, retry_after: float | None) -> dict[str, str]:
        """Return the header fields of a refusal of our own."""
        ...
