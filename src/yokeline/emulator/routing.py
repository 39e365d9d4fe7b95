"""Dispatch of HTTP requests by method and path, and JSON replies, for the stand-ins."""

from __future__ import annotations

import re
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import unquote

import msgspec

from yokeline.effects import HttpArrived, HttpReply
from yokeline.identifiers import ExchangeId

JSON_TYPE = "application/json"
_PARAMETER = re.compile(r"\{(\w+)(:path)?\}")

PathParameters = dict[str, str]
Handler = Callable[[HttpArrived, PathParameters], None]


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """What went wrong, in the manner of the OpenAI API's ``error`` object."""

    type: str
    message: str = ""


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an error reply."""

    error: ErrorDetail


class RouteMatch(msgspec.Struct, frozen=True):
    """The handler for a request and the parameters found in its path."""

    handler: Handler
    parameters: PathParameters


class _Route(msgspec.Struct, frozen=True):
    method: str
    pattern: re.Pattern[str]
    handler: Handler


class Router:
    """Finds the handler of a request; the first route added that matches wins."""

    def __init__(self) -> None:
        """Create a router without routes."""
        self._routes: list[_Route] = []

    def add(self, method: str, template: str, handler: Handler) -> None:
        """Add a route.

        Args:
            method: HTTP method in capitals.
            template: Path in which ``{name}`` stands for one segment and ``{name:path}`` for
                one or more.
            handler: Called with the request and the decoded parameters.
        """
        self._routes.append(_Route(method, _compile(template), handler))

    def match(self, method: str, path: str) -> RouteMatch | None:
        """Return the handler for a method and path, None if there is none."""
        for route in self._routes:
            if route.method != method:
                continue
            found = route.pattern.fullmatch(path)
            if found is not None:
                parameters = {name: unquote(value) for name, value in found.groupdict().items()}
                return RouteMatch(route.handler, parameters)
        return None


def _compile(template: str) -> re.Pattern[str]:
    parts: list[str] = []
    position = 0
    for found in _PARAMETER.finditer(template):
        parts.append(re.escape(template[position : found.start()]))
        value = ".+" if found.group(2) else "[^/]+"
        parts.append(f"(?P<{found.group(1)}>{value})")
        position = found.end()
    parts.append(re.escape(template[position:]))
    return re.compile("".join(parts))


def json_reply(
    exchange: ExchangeId,
    status: int,
    body: object,
    headers: dict[str, str] | None = None,
) -> HttpReply:
    """Return a reply with ``body`` (a struct, or a list or dict of structs) as JSON."""
    return HttpReply(
        exchange=exchange,
        status=status,
        headers={"content-type": JSON_TYPE, **(headers or {})},
        body=msgspec.json.encode(body),
    )


def error_reply(
    exchange: ExchangeId,
    status: int,
    error_type: str,
    message: str = "",
    retry_after: float | None = None,
) -> HttpReply:
    """Return a JSON error reply, with ``Retry-After`` (seconds) where given."""
    headers = {} if retry_after is None else {"retry-after": f"{retry_after:g}"}
    body = ErrorBody(error=ErrorDetail(type=error_type, message=message))
    return json_reply(exchange, status, body, headers)


def empty_reply(exchange: ExchangeId, status: int = HTTPStatus.NO_CONTENT) -> HttpReply:
    """Return a reply without a body."""
    return HttpReply(exchange=exchange, status=status)
