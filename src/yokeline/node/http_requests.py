"""Reads the requests of one connection, within limits, from the events of its codec."""

from __future__ import annotations

import h11
import msgspec

from yokeline.effects import BodyFraming
from yokeline.errors import YokelineError
from yokeline.gateway.problems import refusal
from yokeline.node.http_heads import HEADER_ENCODING, joined_headers
from yokeline.node.http_target import split_target
from yokeline.node.limits import ServerLimits
from yokeline.node.refusals import BAD_REQUEST, HEAD_OVER_LIMIT, HEAD_TOO_LARGE, malformed

_CONNECT = b"CONNECT"
_IDEMPOTENCY_KEY = b"idempotency-key"
_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"
_FIRST_CHUNKED_VERSION = b"1.1"
_FIELD_EXTRA_BYTES = 4
"""Colon, space and line end of a header field."""
_MAX_BODY_PIECES = 8192
"""Chunks of one request body; each costs time, however small it is."""


class IncomingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A whole request, or one whose body is over the limit (and not read)."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    too_large: bool
    target: str
    header_items: tuple[tuple[str, str], ...]
    stream_framing: BodyFraming


class RequestRefusedError(Exception):
    """A request broke the protocol or a limit, and the service is not to see it."""

    def __init__(self, error: YokelineError, status: int) -> None:
        """Refuse with an error and an HTTP status."""
        super().__init__(error.line())
        self.error = error
        self.status = status


class RequestReader:
    """Collects one request after the other.

    Attributes:
        too_large: The request was over the limit; its connection cannot be used again.
        limits: Limits for what is read from now on.
    """

    def __init__(self, codec: h11.Connection, limits: ServerLimits) -> None:
        """Read from the codec of a connection."""
        self.too_large = False
        self._codec = codec
        self.limits = limits
        self._head: h11.Request | None = None
        self._pieces: list[bytes] = []
        self._size = 0

    def next_request(self) -> IncomingRequest | None:
        """Return the next request; None while it has not arrived whole.

        Raises:
            RequestRefusedError: What arrived is no request that may be served.
        """
        try:
            return self._read()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == HEAD_TOO_LARGE:
                raise self.refused(HEAD_OVER_LIMIT, HEAD_TOO_LARGE) from error
            raise self.refused(malformed(str(error)), BAD_REQUEST) from error
        except ValueError as error:
            raise self.refused(malformed(str(error)), BAD_REQUEST) from error

    def refused(self, error: YokelineError, status: int) -> RequestRefusedError:
        """Return a refusal that claims no more than is known.

        Without a head it is not known whether the request names an idempotency key, under
        which an earlier attempt may have run.
        """
        has_key = True
        if self._head is not None:
            has_key = any(name == _IDEMPOTENCY_KEY for name, _ in self._head.headers)
        return RequestRefusedError(refusal(error, has_key=has_key), status)

    @property
    def held_bytes(self) -> int:
        """Bytes held of the body of a request that is not whole."""
        return self._size

    def drop(self) -> None:
        """Free what has arrived of a request that will not be read any further."""
        self._pieces.clear()
        self._size = 0

    def has_begun(self) -> bool:
        """Return whether a request has begun to arrive."""
        return self._head is not None or bool(self._codec.trailing_data[0])

    def is_head_request(self) -> bool:
        """Return whether the answer must have no body (method HEAD)."""
        return self._head is not None and self._head.method == b"HEAD"

    def stream_framing(self) -> BodyFraming:
        """Return how a streamed answer ends: HTTP/1.0 has no chunks (RFC 9112, section 6.1)."""
        is_old = self._head is not None and self._head.http_version < _FIRST_CHUNKED_VERSION
        return BodyFraming.CLOSE if is_old else BodyFraming.CHUNKED

    def start_over(self) -> None:
        """Turn to the next request, after the answer to the last one."""
        self._codec.start_next_cycle()
        self._head = None

    def _read(self) -> IncomingRequest | None:
        while True:
            event = self._codec.next_event()
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._take_piece(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return self._whole_request()
            else:
                return None
            if self.too_large:
                return self._whole_request()

    def _take_head(self, head: h11.Request) -> None:
        self._head = head
        # The codec limits only a head that comes in pieces.
        if _head_bytes(head) > self.limits.max_header_bytes:
            raise self.refused(HEAD_OVER_LIMIT, HEAD_TOO_LARGE)
        if head.method == _CONNECT:
            raise ValueError("CONNECT makes a tunnel, and this is no proxy")
        fields = dict(head.headers)
        if _CONTENT_LENGTH in fields and _TRANSFER_ENCODING in fields:
            raise ValueError("it has both Content-Length and Transfer-Encoding")
        length = int(fields.get(_CONTENT_LENGTH, b"0"))
        self.too_large = length > self.limits.max_body_bytes

    def _take_piece(self, piece: bytes) -> None:
        self._size += len(piece)
        if self._size > self.limits.max_body_bytes:
            self._pieces.clear()
            self.too_large = True
            return
        if len(self._pieces) >= _MAX_BODY_PIECES:
            raise ValueError(f"its body comes in more than {_MAX_BODY_PIECES} chunks")
        self._pieces.append(piece)

    def _whole_request(self) -> IncomingRequest:
        assert self._head is not None
        target = self._head.target.decode(HEADER_ENCODING)
        path, query = split_target(target)
        body = b"".join(self._pieces)
        self._pieces.clear()
        self._size = 0
        return IncomingRequest(
            method=self._head.method.decode(HEADER_ENCODING),
            path=path,
            query=query,
            headers=joined_headers(self._head.headers),
            body=body,
            too_large=self.too_large,
            target=target,
            header_items=tuple(
                (name.decode(HEADER_ENCODING), value.decode(HEADER_ENCODING))
                for name, value in self._head.headers
            ),
            stream_framing=self.stream_framing(),
        )


def _head_bytes(head: h11.Request) -> int:
    """Return the size of a request's head, white space around values not counted."""
    request_line = len(head.method) + len(head.target) + len(head.http_version)
    return request_line + sum(
        len(name) + len(value) + _FIELD_EXTRA_BYTES for name, value in head.headers
    )
