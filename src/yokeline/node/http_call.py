"""One outgoing HTTP request: from the connection to the last byte of its response."""

from __future__ import annotations

import time
from typing import Protocol
from urllib.parse import quote

import h11
from returns.result import Failure

from yokeline.effects import (
    Event,
    Framing,
    HttpFailed,
    HttpRequest,
    HttpResponse,
    HttpStreamEnded,
    HttpStreamItem,
)
from yokeline.node.allocator import LARGE_BLOCK_BYTES, map_large_blocks
from yokeline.node.body_buffer import BodyBuffer
from yokeline.node.connection import CONNECTION_REFUSED
from yokeline.node.deadlines import Deadline, DeadlineQueue
from yokeline.node.http_heads import (
    FRAMING_HEADERS,
    HEADER_ENCODING,
    framing_of_response,
    joined_headers,
    kept_seconds,
)
from yokeline.node.http_pool import ClientConnection, ConnectionPool
from yokeline.node.limits import ClientLimits
from yokeline.node.memory_budget import Buffer, BufferKind
from yokeline.node.stream_items import ItemReader, ItemTooLargeError, StreamItem, item_reader

HEAD = "head"
BODY_FRAMING = "body framing"
BODY = "body"
STREAM_ITEM = "stream item"
INTERIM_RESPONSES = "interim responses"
ALL_RESPONSES = "all responses"
"""What of a response was malformed or beyond a limit, in failures."""

_SUCCESS = range(200, 300)
_OWN_HEADERS = ("host", "connection", *FRAMING_HEADERS)
_PATH_SAFE = "/?&=%:@!$'()*+,;~#[]"
_BODILESS_METHODS = ("GET", "HEAD", "DELETE", "OPTIONS")


def _is_event_stream(response: h11.Response) -> bool:
    content_type = joined_headers(response.headers).get("content-type", "")
    return content_type.startswith("text/event-stream")


class CallOwner(Protocol):
    """The client, as a call sees it."""

    def submit(self, event: Event) -> None:
        """Hand an event to the service."""
        ...

    def note_received(self, size: int) -> None:
        """Note that a piece of a response has arrived."""
        ...

    def call_ended(self, call: HttpCall) -> None:
        """Forget a call that gives no further event."""
        ...


class HttpCall:
    """A request under way.

    ``sent`` of a failure is False only while the kernel has taken no byte of the request;
    what the kernel took may have reached the other end.
    """

    def __init__(
        self,
        request: HttpRequest,
        owner: CallOwner,
        pool: ConnectionPool,
        deadlines: DeadlineQueue,
        limits: ClientLimits,
    ) -> None:
        """Create it; :meth:`begin` starts it."""
        self.request = request
        self._owner = owner
        self._pool = pool
        self._deadlines = deadlines
        self._limits = limits
        self._connection: ClientConnection | None = None
        self._connecting = False
        self._connect_began_at = 0.0
        self._connect_seconds = 0.0
        self._sent_at_start = 0
        self._sent_on_lost_connection = False
        self._response: h11.Response | None = None
        self._passed_over = False
        self._reader: ItemReader | None = None
        self._body = BodyBuffer()
        self._received_at = 0.0
        self._received_bytes = 0
        self._informational_heads = 0
        self._due = 0.0
        self._deadline: Deadline | None = None
        self._ended = False

    # ------------------------------------------------------------ start

    def begin(self) -> None:
        """Take a kept connection or open one, and send the request.

        A kept connection may be closed by the other end at the very moment it is used; what
        may not be repeated goes over a fresh one, unless the service takes that risk
        (``use_kept``).
        """
        self._await_silence(self.request.timeout)
        may_keep = self.request.allow_retry or self.request.use_kept
        kept = self._pool.take_idle(self.request.address) if may_keep else None
        if kept is None:
            self._connect()
            return
        self._use(kept)
        self._send()

    def cancel(self) -> None:
        """Close the connection without an event."""
        self._end()
        if self._connection is not None:
            self._pool.discard(self._connection)

    def _connect(self) -> None:
        if not self._pool.has_room(self.request.address):
            reason = f"too many connections are open, also to {self.request.address}"
            self._fail(reason, is_outage=False)
            return
        try:
            connection = self._pool.connect(self.request.address)
        except (OSError, OverflowError, UnicodeError) as error:
            self._fail(f"cannot connect to {self.request.address}: {error}")
            return
        self._use(connection)
        self._connecting = True
        self._connect_began_at = time.monotonic()
        self._set_deadline(min(self._due, self._connect_began_at + self._limits.connect_seconds))

    def _use(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._sent_at_start = connection.link.bytes_sent
        connection.user = self

    def _send(self) -> None:
        assert self._connection is not None
        try:
            output = self._encoded(self._connection.codec)
        except (h11.LocalProtocolError, UnicodeError) as error:
            self._fail(f"the request is not valid HTTP: {error}", is_outage=False)
            return
        for piece in output:
            self._connection.link.write(piece)

    def _encoded(self, codec: h11.Connection) -> list[bytes]:
        """Return the request's bytes as ``codec`` sends them; its body is not copied."""
        output = [codec.send(self._head())]
        if self.request.body:
            output += codec.send_with_data_passthrough(h11.Data(data=self.request.body)) or ()
        return [*output, codec.send(h11.EndOfMessage())]

    def _head(self) -> h11.Request:
        request = self.request
        host = request.headers.get("host") or str(request.address)
        headers = [(b"host", host.encode(HEADER_ENCODING))]
        for name, value in request.header_items:
            headers.append((name.encode("ascii"), value.encode(HEADER_ENCODING)))
        for name, value in request.headers.items():
            if name.lower() not in _OWN_HEADERS:
                headers.append((name.encode("ascii"), value.encode(HEADER_ENCODING)))
        if request.body or request.method not in _BODILESS_METHODS:
            headers.append((b"content-length", str(len(request.body)).encode()))
        target = request.target or quote(request.path, safe=_PATH_SAFE)
        return h11.Request(method=request.method, target=target, headers=headers)

    # ------------------------------------------------------------ from the connection

    def connection_made(self) -> None:
        """Send the request on the fresh connection."""
        self._connecting = False
        self._connect_seconds = time.monotonic() - self._connect_began_at
        self._set_deadline(self._due)
        self._send()

    def data_received(self, data: bytes) -> None:
        """Take bytes of the response."""
        assert self._connection is not None
        self._received_bytes += len(data)
        self._received_at = time.monotonic()
        self._connection.codec.receive_data(data)
        self._parse()
        if self.held_bytes > LARGE_BLOCK_BYTES:
            map_large_blocks()
        self._owner.note_received(len(data))

    @property
    def held_bytes(self) -> int:
        """Bytes held of a response that is not whole."""
        if self._reader is not None:
            return self._reader.held_bytes
        return self._body.memory

    def buffer(self) -> Buffer:
        """Return what the call holds of its response."""
        return Buffer(BufferKind.RESPONSE, self.held_bytes, self._received_at, self.give_up)

    def give_up(self, reason: str) -> None:
        """Fail, since all buffers together hold too much."""
        self._fail(reason, is_outage=False, malformation=ALL_RESPONSES)

    def connection_lost(self, reason: str) -> None:
        """Finish a body that ends with the connection; else repeat if allowed, or fail."""
        connection = self._connection
        assert connection is not None
        self._sent_on_lost_connection = self._sent()
        if self._response is None:
            is_answered = bool(connection.codec.trailing_data[0]) or self._informational_heads > 0
            untouched = connection.used_before and not is_answered
            if untouched and self.request.allow_retry:
                self._connection = None
                self._connect()
            else:
                self._fail(f"{reason} (before a response)", stale=untouched)
            return
        if connection.peer_closed(reason):
            connection.codec.receive_data(b"")
            self._parse()
        if not self._ended:
            self._fail(f"{reason} (before the end of the response)")

    # ------------------------------------------------------------ response

    def _parse(self) -> None:
        assert self._connection is not None
        try:
            while not self._ended:
                event = self._connection.codec.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._take(event)
        except h11.RemoteProtocolError as error:
            part = HEAD if self._response is None else BODY_FRAMING
            self._fail(f"malformed response: {error}", malformation=part)
        except ItemTooLargeError as error:
            self._fail(str(error), is_outage=False, malformation=STREAM_ITEM)

    def _take(self, event: object) -> None:
        if isinstance(event, h11.InformationalResponse):
            self._count_informational()
        elif isinstance(event, h11.Response):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._take_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("closed by the other end")

    def _count_informational(self) -> None:
        self._informational_heads += 1
        if self._informational_heads > self._limits.max_informational_heads:
            reason = f"over {self._limits.max_informational_heads} interim responses"
            self._fail(reason, malformation=INTERIM_RESPONSES)

    def _take_head(self, response: h11.Response) -> None:
        self._response = response
        self._passed_over = self._is_of_other_request(response)
        streamed = self._may_stream() and not self._passed_over
        if self.request.framing is Framing.RAW_EVENTS and not _is_event_stream(response):
            streamed = False
        if streamed:
            self._reader = item_reader(self.request.framing, self._limits.max_item_bytes)
            self._owner.submit(self._response_event(b""))
            self._await_silence(self.request.timeout)

    def _is_of_other_request(self, response: h11.Response) -> bool:
        """Return whether the answer names another request than this one."""
        if not self.request.echo_header:
            return False
        echoed = joined_headers(response.headers).get(self.request.echo_header)
        return echoed is not None and echoed != self.request.echo_value

    def _await_own_answer(self) -> None:
        """Forget an answer to another request; ours is still due on this connection."""
        assert self._connection is not None
        rest = self._connection.codec.trailing_data[0]
        codec = self._connection.fresh_codec()
        self._encoded(codec)
        codec.receive_data(rest)
        self._response = None
        self._body.clear()

    def _take_body(self, data: bytes) -> None:
        if self._reader is None:
            if len(self._body) + len(data) > self._limits.max_body_bytes:
                reason = f"the response is over {self._limits.max_body_bytes} bytes"
                self._fail(reason, is_outage=False, malformation=BODY)
                return
            self._body.append(data)
            return
        for item in self._reader.feed(data):
            self._submit_item(item)

    def _submit_item(self, item: StreamItem) -> None:
        assert self._connection is not None
        self._connection.items_read += 1
        self._due = time.monotonic() + self.request.timeout
        self._owner.submit(
            HttpStreamItem(
                request=self.request.request,
                data=item.data,
                event_id=item.event_id,
                is_event=item.is_event,
            )
        )

    def _complete(self) -> None:
        assert self._connection is not None
        assert self._response is not None
        if self._passed_over:
            self._await_own_answer()
            return
        self._connection.keep_seconds = kept_seconds(joined_headers(self._response.headers))
        if self._reader is None:
            self._submit_whole(self._body.take())
        elif not self._finish_stream(self._reader):
            return
        self._end()
        self._pool.give_back(self._connection)

    def _submit_whole(self, body: bytes) -> None:
        """Hand a whole response over; an empty one that could be a stream is a stream's head."""
        self._owner.submit(self._response_event(body))
        if self._may_stream() and not body:
            self._owner.submit(HttpStreamEnded(self.request.request))

    def _may_stream(self) -> bool:
        """Return whether the request asked for a stream and its response is a success."""
        assert self._response is not None
        is_success = self._response.status_code in _SUCCESS
        return self.request.framing is not Framing.WHOLE and is_success

    def _finish_stream(self, reader: ItemReader) -> bool:
        """End a stream whose body has ended; return False if it failed inside an item."""
        finished = reader.finish()
        if isinstance(finished, Failure):
            incomplete = finished.failure()
            self._fail(str(incomplete), truncated_bytes=incomplete.received_bytes)
            return False
        for item in finished.unwrap():
            self._submit_item(item)
        self._owner.submit(HttpStreamEnded(self.request.request))
        return True

    def _response_event(self, body: bytes) -> HttpResponse:
        assert self._response is not None
        headers = joined_headers(self._response.headers)
        return HttpResponse(
            request=self.request.request,
            status=self._response.status_code,
            headers=headers,
            body=body,
            connect_seconds=self._connect_seconds,
            body_framing=framing_of_response(headers),
        )

    # ------------------------------------------------------------ ends

    def _sent(self) -> bool:
        if self._sent_on_lost_connection:
            return True
        if self._connection is None:
            return False
        return self._connection.link.bytes_sent > self._sent_at_start

    def _fail(
        self,
        reason: str,
        *,
        stale: bool = False,
        silent: bool = False,
        is_outage: bool = True,
        truncated_bytes: int = 0,
        malformation: str = "",
    ) -> None:
        if self._ended:
            return
        sent = self._sent()
        self._end()
        if self._connection is not None:
            self._pool.discard(self._connection)
        failure = HttpFailed(
            request=self.request.request,
            sent=sent,
            reason=reason,
            stale=stale and sent,
            silent=silent,
            fresh=self._connection is not None and not self._connection.used_before,
            is_outage=is_outage,
            refused=reason.startswith(CONNECTION_REFUSED),
            is_truncated=truncated_bytes > 0,
            unfinished_bytes=truncated_bytes or self._unfinished_bytes(),
            malformation=malformation,
            received_bytes=self._received_bytes,
        )
        self._owner.submit(failure)

    def _unfinished_bytes(self) -> int:
        return self._reader.unfinished_bytes if self._reader is not None else 0

    def _end(self) -> None:
        self._ended = True
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
        self._owner.call_ended(self)

    def _await_silence(self, seconds: float) -> None:
        """Fail after that time without progress; items only move ``_due``."""
        self._due = time.monotonic() + seconds
        self._set_deadline(self._due)

    def _set_deadline(self, when: float) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
        self._deadline = self._deadlines.call_at(when, self._on_deadline)

    def _on_deadline(self) -> None:
        self._deadline = None
        if self._connecting:
            self._fail(f"no connection to {self.request.address} in time")
        elif self._due > time.monotonic():
            self._set_deadline(self._due)
        else:
            self._fail(f"no answer within {self.request.timeout:g} seconds", silent=True)
