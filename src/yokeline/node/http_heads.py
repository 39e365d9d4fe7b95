"""Header fields between the service's text and the bytes of HTTP/1.1."""

from __future__ import annotations

import http
import re
import time
from collections.abc import Iterable

from yokeline.effects import BodyFraming

HEADER_ENCODING = "latin-1"
FRAMING_HEADERS = ("content-length", "transfer-encoding")
"""Set by the transport, from what is really sent."""
_UNSAFE_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]+")
_DAYS = ("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")
_MONTHS = ("Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec")

RawHeaders = list[tuple[bytes, bytes]]


def joined_headers(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return fields by lower-case name; repeated ones are joined (RFC 9110, section 5.3)."""
    joined: dict[str, str] = {}
    for raw_name, raw_value in raw:
        name = raw_name.decode(HEADER_ENCODING)
        value = raw_value.decode(HEADER_ENCODING)
        joined[name] = f"{joined[name]}, {value}" if name in joined else value
    return joined


def framing_of_response(headers: dict[str, str]) -> BodyFraming:
    """Return how the end of a response's body is marked, by its joined header fields."""
    if "transfer-encoding" in headers:
        return BodyFraming.CHUNKED
    if "content-length" in headers:
        return BodyFraming.LENGTH
    return BodyFraming.CLOSE


def response_headers(given: dict[str, str]) -> RawHeaders:
    """Return the fields of a response and its date.

    Values come from tenants' back ends too: line breaks are taken out, so that a value
    cannot add fields.
    """
    headers = [
        (name.encode(), _encoded(value))
        for name, value in given.items()
        if name.lower() not in FRAMING_HEADERS
    ]
    headers.append((b"date", _dates.value()))
    return headers


_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")


def kept_seconds(headers: dict[str, str]) -> float | None:
    """Return how long a server keeps an idle connection, if it says so (RFC 2068, 19.7.1)."""
    found = _KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", "").lower())
    return float(found.group(1)) if found else None


def content_length(body: bytes) -> tuple[bytes, bytes]:
    """Return the field that frames a body."""
    return b"content-length", str(len(body)).encode()


def reason_phrase(status: int) -> bytes:
    """Return the usual phrase of a status; empty for an unusual one."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


def _encoded(value: str) -> bytes:
    return _UNSAFE_IN_VALUE.sub(" ", value).strip().encode(HEADER_ENCODING, errors="replace")


def http_date(second: int) -> bytes:
    """Return a Unix time in the form of RFC 9110, section 5.6.7 (``email.utils`` is costly)."""
    at = time.gmtime(second)
    return (
        f"{_DAYS[at.tm_wday]}, {at.tm_mday:02d} {_MONTHS[at.tm_mon - 1]} {at.tm_year:04d} "
        f"{at.tm_hour:02d}:{at.tm_min:02d}:{at.tm_sec:02d} GMT"
    ).encode()


class _DateCache:
    """The date (RFC 9110, section 5.6.7), formatted once a second."""

    def __init__(self) -> None:
        self._second = 0
        self._value = b""

    def value(self) -> bytes:
        """Return the current date."""
        second = int(time.time())
        if second != self._second:
            self._second = second
            self._value = http_date(second)
        return self._value


_dates = _DateCache()
