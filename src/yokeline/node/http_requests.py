"""Reads the requests of one connection, within limits, from the events of its codec."""

from __future__ import annotations

from collections.abc import Callable

import h11
import msgspec

from yokeline.effects import BodyFraming
from yokeline.errors import YokelineError
from yokeline.gateway.problems import refusal
from yokeline.node.body_buffer import BodyBuffer
from yokeline.node.http_heads import HEADER_ENCODING, joined_headers
from yokeline.node.http_target import split_target
from yokeline.node.limits import KIBIBYTE, ServerLimits
from yokeline.node.refusals import (
    BAD_REQUEST,
    HEAD_OVER_LIMIT,
    HEAD_TOO_LARGE,
    NO_ROOM,
    UNAVAILABLE,
    malformed,
)

_CONNECT = b"CONNECT"
_IDEMPOTENCY_KEY = b"idempotency-key"
_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"
_FIRST_CHUNKED_VERSION = b"1.1"
_FIELD_EXTRA_BYTES = 4
"""Colon, space and line end of a header field."""
_MAX_BODY_PIECES = 8192
"""Chunks of one request body; each costs time, however small it is."""
REQUEST_OBJECTS_BYTES = 8 * KIBIBYTE
"""Objects that stand for a request while it is served, besides its bytes."""
HEAD_COPIES = 4
"""Forms in which the head of a request is kept while it is served: of the codec, as fields by name,
as items in order, and for the back end."""


def _always(_size: int) -> bool:
    return True


class IncomingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A whole request, or one whose body is over the limit (and not read).

    Attributes:
        memory_bytes: Memory that it takes while it is served.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    too_large: bool
    target: str
    header_items: tuple[tuple[str, str], ...]
    stream_framing: BodyFraming
    memory_bytes: int


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

    def __init__(
        self,
        codec: h11.Connection,
        limits: ServerLimits,
        has_room_for: Callable[[int], bool] = _always,
    ) -> None:
        """Read from the codec of a connection; ``has_room_for`` is asked before a body is read."""
        self._has_room_for = has_room_for
        self.too_large = False
        self._codec = codec
        self.limits = limits
        self._head: h11.Request | None = None
        self._body = BodyBuffer()
        self._pieces = 0
        self._head_size = 0

    def next_request(self) -> IncomingRequest | None:
        """Return the next request; None while it has not arrived whole.

        Raises:
            RequestRefusedError: What arrived is no request that may be served.
        """
        try:
            return self._read()
        except h11.RemoteProtocolError as error:
            error.__traceback__ = None  # refers to the error again, and to this request
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
        """Memory that a request which is not whole takes, but for what its codec holds."""
        return self._body.memory + HEAD_COPIES * self._head_size

    @property
    def buffered_bytes(self) -> int:
        """Bytes that have arrived and are not read."""
        return len(self._codec.trailing_data[0])

    def drop(self) -> None:
        """Free what has arrived of a request that will not be read any further."""
        self._body.clear()
        self._pieces = 0

    def has_begun(self) -> bool:
        """Return whether a request has begun to arrive."""
        return self._head is not None or self.buffered_bytes > 0

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
        self._head_size = 0

    def _read(self) -> IncomingRequest | None:
        while True:
            event = self._codec.next_event()
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._take_piece(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return self._whole_request()
            else:
                return None
            if self.too_large:
                return self._whole_request()

    def _take_head(self, head: h11.Request) -> None:
        self._head = head
        # The codec limits only a head that comes in pieces.
        self._head_size = _head_bytes(head)
        if self._head_size > self.limits.max_header_bytes:
            raise self.refused(HEAD_OVER_LIMIT, HEAD_TOO_LARGE)
        if head.method == _CONNECT:
            raise ValueError("CONNECT makes a tunnel, and this is no proxy")
        fields = dict(head.headers)
        if _CONTENT_LENGTH in fields and _TRANSFER_ENCODING in fields:
            raise ValueError("it has both Content-Length and Transfer-Encoding")
        length = int(fields.get(_CONTENT_LENGTH, b"0"))
        self.too_large = length > self.limits.max_body_bytes
        if not self.too_large and not self._has_room_for(length):
            raise self.refused(NO_ROOM, UNAVAILABLE)

    def _take_piece(self, piece: bytes | bytearray) -> None:
        if len(self._body) + len(piece) > self.limits.max_body_bytes:
            self.drop()
            self.too_large = True
            return
        if self._pieces >= _MAX_BODY_PIECES:
            raise ValueError(f"its body comes in more than {_MAX_BODY_PIECES} chunks")
        self._pieces += 1
        self._body.append(piece)

    def _whole_request(self) -> IncomingRequest:
        assert self._head is not None
        target = self._head.target.decode(HEADER_ENCODING)
        path, query = split_target(target)
        body = self._body.take()
        self.drop()
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
            memory_bytes=len(body) + HEAD_COPIES * self._head_size + REQUEST_OBJECTS_BYTES,
        )


def _head_bytes(head: h11.Request) -> int:
    """Return the size of a request's head, white space around values not counted."""
    request_line = len(head.method) + len(head.target) + len(head.http_version)
    return request_line + sum(
        len(name) + len(value) + _FIELD_EXTRA_BYTES for name, value in head.headers
    )
