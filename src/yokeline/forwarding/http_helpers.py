"""HTTP helpers: host names, event ids and the body of error responses."""

from __future__ import annotations

import msgspec

from yokeline.effects import HttpArrived


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of this node's error responses.

    Attributes:
        error: Machine-readable reason, as in the log.
        request: Id of the request.
        retry_after: Seconds after which the caller may retry; None if a retry would not help.
    """

    error: str
    request: str
    retry_after: float | None = None


def refusal_body(request_id: str, reason: str, retry_after: float | None) -> bytes:
    """Return the JSON body of an error response."""
    body = RefusalBody(error=reason, request=request_id, retry_after=retry_after)
    return msgspec.json.encode(body)


def host_of(event: HttpArrived) -> str:
    """Return the host of a request in lower case, without the port."""
    host = event.headers.get("host", "").lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def is_after(event_id: str, than: str) -> bool:
    """Return whether an event comes after another; without numeric ids, whether the ids differ."""
    if not event_id or not than:
        return True
    try:
        return int(event_id) > int(than)
    except ValueError:
        return event_id != than
