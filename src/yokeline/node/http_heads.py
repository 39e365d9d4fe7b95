"""Header fields between the service's text and the bytes of HTTP/1.1."""

from __future__ import annotations

import re
import time
from collections.abc import Iterable
from email.utils import formatdate
from http import HTTPStatus

HEADER_ENCODING = "latin-1"
FRAMING_HEADERS = ("content-length", "transfer-encoding")
"""Set by the transport, from what is really sent."""
_UNSAFE_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]+")

RawHeaders = list[tuple[bytes, bytes]]


def joined_headers(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return fields by lower-case name; repeated ones are joined (RFC 9110, section 5.3)."""
    joined: dict[str, str] = {}
    for raw_name, raw_value in raw:
        name = raw_name.decode(HEADER_ENCODING)
        value = raw_value.decode(HEADER_ENCODING)
        joined[name] = f"{joined[name]}, {value}" if name in joined else value
    return joined


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


def reason_phrase(status: int) -> bytes:
    """Return the usual phrase of a status; empty for an unusual one."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


def _encoded(value: str) -> bytes:
    return _UNSAFE_IN_VALUE.sub(" ", value).strip().encode(HEADER_ENCODING, errors="replace")


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
            self._value = formatdate(second, usegmt=True).encode()
        return self._value


_dates = _DateCache()
