"""Builds the request to an engine from a caller's request."""

from __future__ import annotations

from yokeline.effects import Framing, HttpRequest
from yokeline.forwarding.dialect import Dialect, EngineRequestContext
from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.model import RouteKind
from yokeline.identifiers import RequestId

ENGINE_PRIORITY = 5
"""Priority of all requests: an engine would preempt running requests for a more urgent one."""
FIRST_EVENT_TIMEOUT_SECONDS = 1.5
"""Time to the first event after which a resumable stream is moved to another engine."""
_MIN_REMAINING_SECONDS = 0.001
_HOST = "host"


def build_engine_request(
    exchange: Exchange, request: RequestId, state: EngineState, dialect: Dialect, now: float
) -> HttpRequest:
    """Return the request to send to an engine."""
    incoming = exchange.incoming
    remaining = max(_MIN_REMAINING_SECONDS, exchange.deadline - now)
    context = EngineRequestContext(
        engine=state.engine,
        remaining_seconds=remaining,
        priority=ENGINE_PRIORITY,
        last_event_id=exchange.last_event_id,
        tenant=exchange.tenant.name if exchange.tenant is not None else "",
        forwards_credential=exchange.forwards_credential,
    )
    headers = dialect.engine_headers(incoming, exchange.call, context)
    streaming = exchange.route.kind is RouteKind.STREAMING
    retries_same_engine = exchange.attempts.same_engine_retries > 0
    was_rejected = state.engine.address in exchange.rejecting_addresses
    # A same-engine retry uses a new connection, so leaving the engine again gains nothing.
    fails_over_on_silence = streaming and exchange.route.is_retryable and not retries_same_engine
    return HttpRequest(
        request=request,
        address=state.engine.address,
        method=incoming.method,
        path="",
        target=incoming.target,
        headers={_HOST: incoming.headers.get(_HOST, "")},
        header_items=tuple(item for item in headers if item[0] != _HOST),
        body=exchange.body,
        framing=Framing.RAW_EVENTS if streaming else Framing.WHOLE,
        timeout=min(remaining, FIRST_EVENT_TIMEOUT_SECONDS) if fails_over_on_silence else remaining,
        # Idle connections to an engine often fail together, so a same-engine retry opens a new one.
        # A surplus answer behind a rejection would be taken for that of the next send.
        use_kept=not retries_same_engine and not was_rejected,
        echo_header=dialect.echo_header,
        echo_value=exchange.call.request_id,
    )
