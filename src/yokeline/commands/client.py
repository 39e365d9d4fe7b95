"""A plain HTTP client of the API for the command line, over ``http.client``."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import quote, urlencode, urlsplit

import msgspec

from yokeline.errors import ErrorKind, Execution, YokelineError, YokelineException

CONNECT_SECONDS = 5.0
ANSWER_SECONDS = 60.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
ERROR_STATUS = 400


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the JSON value of the body."""
        return json.loads(self.body) if self.body else None


class ServerSentEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One event of a stream; its id is kept for a reconnect."""

    id: str
    kind: str
    data: str


class Client:
    """Sends requests to one node; each on a connection of its own."""

    def __init__(self, url: str, token: str) -> None:
        """Prepare for ``http://ip:port``; nothing is sent yet.

        Raises:
            YokelineException: If the URL cannot be used.
        """
        self.url = url
        self._host, self._port = _host_and_port(url)
        self._token = token

    def towards(self, url: str) -> Client:
        """Return a client of another node with the same token."""
        return Client(url, self._token)

    def request(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        seconds: float = ANSWER_SECONDS,
    ) -> Reply:
        """Send a request and return the answer, whatever its status.

        Args:
            method: HTTP method.
            path: Path with its segments encoded (see :func:`path_of`).
            query: Query parameters; empty ones are left out.
            body: JSON body.
            headers: Further headers.
            seconds: Longest wait for the answer.

        Raises:
            YokelineException: If there is no whole answer.
        """
        connection = self._connect(seconds)
        try:
            response = self._send(connection, method, path, query, body, headers)
            data = response.read(MAX_ANSWER_BYTES)
            if len(data) < MAX_ANSWER_BYTES:
                _check_whole(response)
            fields = {name.lower(): value for name, value in response.getheaders()}
            return Reply(status=response.status, headers=fields, body=data)
        except (OSError, http.client.HTTPException) as error:
            raise YokelineException(_lost(self.url, error)) from error
        finally:
            connection.close()

    def ask(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        seconds: float = ANSWER_SECONDS,
    ) -> Reply:
        """Send a request and return the answer if it is no error.

        Raises:
            YokelineException: With the service's error, or if there is no whole answer.
        """
        reply = self.request(method, path, query=query, body=body, headers=headers, seconds=seconds)
        if reply.status >= ERROR_STATUS:
            raise YokelineException(error_of(reply))
        return reply

    def events(
        self, method: str, path: str, *, headers: Mapping[str, str], silence_seconds: float
    ) -> Iterator[ServerSentEvent]:
        """Yield the events of one streamed answer; it ends when the stream does.

        Raises:
            YokelineException: With the service's error, or if the connection breaks.
        """
        connection = self._connect(silence_seconds)
        try:
            fields = {"accept": "text/event-stream", **headers}
            response = self._send(connection, method, path, None, None, fields)
            if response.status >= ERROR_STATUS:
                reply = Reply(status=response.status, headers={}, body=response.read())
                raise YokelineException(error_of(reply))
            yield from parse_events(_lines(response))
        except (OSError, http.client.HTTPException) as error:
            raise YokelineException(_lost(self.url, error)) from error
        finally:
            connection.close()

    def pages(self, path: str, key: str, query: Mapping[str, str]) -> Iterator[dict[str, Any]]:
        """Yield the items of all pages of a list."""
        after = ""
        while True:
            page = self.ask("GET", path, query={**query, "after": after}).json()
            yield from page[key]
            after = page.get("next") or ""
            if not after:
                return

    def _connect(self, seconds: float) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(self._host, self._port, timeout=CONNECT_SECONDS)
        try:
            connection.connect()
        except OSError as error:
            raise YokelineException(_unreachable(self.url, error)) from error
        connection.sock.settimeout(seconds)
        return connection

    def _send(
        self,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        query: Mapping[str, str] | None,
        body: bytes | None,
        headers: Mapping[str, str] | None,
    ) -> http.client.HTTPResponse:
        fields = {"content-type": "application/json"} if body is not None else {}
        if self._token:
            fields["authorization"] = f"Bearer {self._token}"
        parameters = urlencode({key: value for key, value in (query or {}).items() if value})
        target = f"{path}?{parameters}" if parameters else path
        connection.request(method, target, body=body, headers={**fields, **(headers or {})})
        return connection.getresponse()


def _lines(response: http.client.HTTPResponse) -> Iterator[bytes]:
    """Yield the lines of a response's body as they come.

    Raises:
        http.client.IncompleteRead: The connection ended inside the body.
    """
    rest = b""
    # Iterating over the response, or readline, would end silently where its last chunk is missing.
    while piece := response.read1():
        *lines, rest = (rest + piece).split(b"\n")
        yield from lines
    _check_whole(response)


def _check_whole(response: http.client.HTTPResponse) -> None:
    """Check that a response that gives no more bytes has come whole.

    Raises:
        http.client.IncompleteRead: The connection ended before the body had its length.
    """
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)


def path_of(*segments: str) -> str:
    """Return a path of segments, each percent-encoded."""
    return "/" + "/".join(quote(segment, safe="") for segment in segments)


def parse_events(lines: Iterator[bytes]) -> Iterator[ServerSentEvent]:
    """Yield server-sent events from the lines of a stream; comments are skipped."""
    identity = ""
    kind = ""
    data: list[str] = []
    for raw in lines:
        line = raw.decode().rstrip("\r\n")
        if not line:
            if data:
                yield ServerSentEvent(id=identity, kind=kind, data="\n".join(data))
            kind = ""
            data = []
            continue
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            identity = value
        elif name == "event":
            kind = value
        elif name == "data":
            data.append(value)


def error_of(reply: Reply) -> YokelineError:
    """Return the error in a problem document, or one that tells the status."""
    try:
        problem = json.loads(reply.body)
        return YokelineError(
            kind=ErrorKind(problem["kind"]),
            message=str(problem["detail"]),
            remedy=str(problem["remedy"]),
            execution=Execution(problem["execution"]),
            retry_after=problem.get("retry_after"),
            details=tuple(str(line) for line in problem.get("details", ())),
        )
    except (ValueError, KeyError, TypeError):
        return YokelineError(
            kind=ErrorKind.INTERNAL,
            message=f"the service answered with status {reply.status} and no problem document",
            remedy="check that --url is the HTTP address of a yokeline node",
            execution=Execution.UNKNOWN,
        )


def _host_and_port(url: str) -> tuple[str, int]:
    parts = urlsplit(url if "//" in url else f"//{url}")
    try:
        port = parts.port
    except ValueError:
        port = None
    if parts.scheme not in ("", "http") or not parts.hostname or port is None:
        raise YokelineException(
            YokelineError(
                kind=ErrorKind.BAD_SETTING,
                message=f"--url is {url!r}",
                remedy="give http://IP:PORT of a node with --url or YOKELINE_URL",
            )
        )
    return parts.hostname, port


def _unreachable(url: str, error: OSError) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE,
        message=f"no connection to {url}: {error}",
        remedy="check --url, or try another node",
    )


def _lost(url: str, error: Exception) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message=f"the connection to {url} broke: {error or type(error).__name__}",
        remedy="repeat it with the same key, or read what became of it",
        execution=Execution.UNKNOWN,
    )
