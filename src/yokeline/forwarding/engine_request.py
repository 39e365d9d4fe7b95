"""The request that an engine gets for a caller's."""

from __future__ import annotations

from yokeline.effects import Framing, HttpRequest
from yokeline.forwarding.dialect import Dialect, EngineRequestContext
from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.model import RouteKind
from yokeline.identifiers import RequestId

ENGINE_PRIORITY = 5
"""One priority for all: at an engine, a more urgent request would displace one that runs."""
FIRST_EVENT_TIMEOUT_SECONDS = 1.5
"""Silence before the first event after which a stream that may be resumed goes elsewhere."""
_MIN_REMAINING_SECONDS = 0.001
_HOST = "host"


def build_engine_request(
    exchange: Exchange, request: RequestId, state: EngineState, dialect: Dialect, now: float
) -> HttpRequest:
    """Return the request to send: the caller's own, with what the engine is told."""
    incoming = exchange.incoming
    remaining = max(_MIN_REMAINING_SECONDS, exchange.deadline - now)
    context = EngineRequestContext(
        engine=state.engine,
        remaining_seconds=remaining,
        priority=ENGINE_PRIORITY,
        last_event_id=_resume_event_id(exchange),
        tenant=exchange.tenant.name if exchange.tenant is not None else "",
        forwards_credential=exchange.forwards_credential,
    )
    headers = dialect.engine_headers(incoming, exchange.call, context)
    streaming = exchange.route.kind is RouteKind.STREAMING
    retries_same_engine = exchange.attempts.same_engine_retries > 0
    # One that has returned on a fresh connection gains nothing by leaving it for a silence.
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
        # Connections to an engine fail together: of 25 requests that went back to their engine, 10
        # got another kept connection, which ended as well in 1 to 4 ms (log of a day of crashes).
        use_kept=not retries_same_engine,
        echo_header=dialect.echo_header,
        echo_value=exchange.call.request_id,
    )


def _resume_event_id(exchange: Exchange) -> str:
    """Return after which event an engine is to continue.

    A turn that is kept needs the data of all its events, so a caller's resumption of it runs
    whole; what the caller has is not passed on again.
    """
    return exchange.kept_event_id if exchange.route.retain else exchange.last_event_id
