"""Small parts of requests and answers: the host, the order of events, the body of a refusal."""

from __future__ import annotations

import msgspec

from yokeline.effects import HttpArrived


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    """What a refusal or a failure says in its body.

    Attributes:
        error: The reason, as in the log.
        request: The request's id.
        retry_after: Seconds after which to come back; None where that is of no use.
    """

    error: str
    request: str
    retry_after: float | None = None


def refusal_body(request_id: str, reason: str, retry_after: float | None) -> bytes:
    """Return the JSON body of a refusal."""
    body = RefusalBody(error=reason, request=request_id, retry_after=retry_after)
    return msgspec.json.encode(body)


def host_of(event: HttpArrived) -> str:
    """Return the host that a request names, in lower case and without its port."""
    host = event.headers.get("host", "").lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def is_after(event_id: str, than: str) -> bool:
    """Return whether an event comes after another; ids without a number always do."""
    if not event_id or not than:
        return True
    try:
        return int(event_id) > int(than)
    except ValueError:
        return event_id != than
