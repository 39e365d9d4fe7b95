"""One connection of the HTTP server: requests in, and their answers out, in order."""

from __future__ import annotations

import enum
import socket
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING

import absl.logging
import h11

from yokeline.effects import BodyFraming, HttpArrived, HttpGone, HttpReply, HttpStreamStart
from yokeline.identifiers import ExchangeId
from yokeline.node.connection import Connection
from yokeline.node.deadlines import Deadline
from yokeline.node.http_heads import (
    RawHeaders,
    content_length,
    reason_phrase,
    response_headers,
)
from yokeline.node.http_requests import IncomingRequest, RequestReader, RequestRefusedError
from yokeline.node.limits import KIBIBYTE
from yokeline.node.memory_budget import STALLED_SECONDS, Buffer, BufferKind
from yokeline.node.read_pacing import FIRST_READ_BYTES, MIN_READ_BYTES, ReadPacer
from yokeline.node.refusals import (
    BAD_GATEWAY,
    ENDED,
    INTERNAL_ERROR,
    NO_ROOM,
    NOT_WHOLE_IN_TIME,
    OWN_FAULT,
    REQUEST_TIMEOUT,
    UNAVAILABLE,
    refusal_of,
)

if TYPE_CHECKING:
    from yokeline.node.http_server import HttpServer

_BODILESS_STATUSES = (204, 304)
_CONTINUE = 100
PIPELINED_BYTES = 4 * KIBIBYTE
"""Bytes behind a request under way after which no more are read until it is answered."""


class _Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = enum.auto()
    """Between two requests."""
    RECEIVING = enum.auto()
    """A request has begun to arrive."""
    ANSWERING = enum.auto()
    """A whole request was handed to the service."""
    STREAMING = enum.auto()
    """The head of a streamed answer is out."""
    FINISHING = enum.auto()
    """Nothing more is read or answered; output is being sent."""


class ServerConnection:
    """The exchanges of one caller's connection, one after the other.

    h11 follows both directions: it refuses what breaks the protocol, and does not give out
    a next request before the answer to the last one is complete.

    Attributes:
        request_bytes: Memory of the request under way until its answer is written; 0 without one.
    """

    def __init__(self, server: HttpServer, sock: socket.socket) -> None:
        """Serve an accepted socket."""
        self._server = server
        self._limits = server.limits
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.max_header_bytes
        )
        self._requests = RequestReader(self._codec, server.limits, server.has_room_for)
        self.request_bytes = 0
        self._has_been_used = False
        self._received_at = 0.0
        self._progress = 0
        self._progress_at = time.monotonic()
        self._phase = _Phase.IDLE
        self._exchange: ExchangeId | None = None
        self._closes_after_answer = False
        self._sends_body = True
        self._pieces: list[bytes] = []
        self._deadline: Deadline | None = None
        self._sent_before = 0
        self._resting_since = 0.0
        self._connection = Connection(
            server.poller, sock, self, max_unsent_bytes=server.limits.max_unsent_bytes
        )
        self._connection.set_silent_limit(self._limits.silent_seconds)
        self._pacer = ReadPacer(self._connection, server.costly_reads)
        self._rest()

    def unsent_bytes(self) -> int:
        """Return how many bytes of answers the kernel has not taken yet."""
        return self._connection.unsent_bytes() + sum(len(piece) for piece in self._pieces)

    def cut_off(self, reason: str) -> None:
        """Close the connection; its caller is gone for the service."""
        self._connection.cut_off(reason)

    # ------------------------------------------------------------ memory

    def buffers(self) -> Iterator[Buffer]:
        """Return what the connection holds that can be freed."""
        output = self._connection.output_memory() + sum(len(piece) for piece in self._pieces)
        if output:
            yield self._buffer(BufferKind.ANSWER, output, self._connection.bytes_sent)
        if self._phase is _Phase.RECEIVING:
            size = self._requests.held_bytes + self._requests.buffered_bytes
            yield Buffer(BufferKind.REQUEST, size, self._received_at, self._refuse_for_memory)
        elif self._phase in (_Phase.ANSWERING, _Phase.STREAMING):
            pipelined = self._requests.buffered_bytes
            if pipelined > PIPELINED_BYTES:
                yield Buffer(BufferKind.PIPELINED, pipelined, self._received_at, self.cut_off)

    def _buffer(self, kind: BufferKind, size: int, progress: int) -> Buffer:
        """Return a buffer whose other end shows progress by a count that rises."""
        if progress != self._progress:
            self._progress = progress
            self._progress_at = time.monotonic()
        return Buffer(kind, size, self._progress_at, self._cut_reader)

    def _refuse_for_memory(self, reason: str) -> None:
        """Refuse a request that is not whole, since all buffers together hold too much."""
        self._refuse(self._requests.refused(NO_ROOM, UNAVAILABLE))

    def _cut_reader(self, reason: str) -> None:
        self._connection.cut_off("all callers together read too slowly")

    # ------------------------------------------------------------ connections beyond the bound

    def idle_rank(self) -> tuple[int, float] | None:
        """Return the place among the connections that are closed for new ones; None for no place.

        First those that have never had a request, then requests that have stalled and closing
        connections, then those that rest between two requests; the longest first.
        """
        if self._phase is _Phase.IDLE:
            is_unused = not self._has_been_used
            if self._connection.unsent_bytes():
                return None
            return (0 if is_unused else 2), self._resting_since
        if self._phase is _Phase.RECEIVING:
            is_stalled = self._received_at < time.monotonic() - STALLED_SECONDS
            return (1, self._received_at) if is_stalled else None
        if self._phase is _Phase.FINISHING and not self._connection.unsent_bytes():
            return 1, self._received_at
        return None

    def close_idle(self) -> None:
        """Close for a new connection; a request that is not whole is refused as far as it goes."""
        if self._phase is _Phase.RECEIVING:
            self._refuse(self._requests.refused(NO_ROOM, UNAVAILABLE))
            self._connection.flush_output()
        self._clear_deadline()
        self._pacer.stop()
        self._connection.close()
        self._server.forget(self)

    # ------------------------------------------------------------ requests in

    def unread(self) -> int:
        """Return how many bytes of a request that is due have arrived and were not read."""
        if self._phase not in (_Phase.IDLE, _Phase.RECEIVING) or self._connection.closed:
            return 0
        return self._connection.kernel_bytes().unread

    def read_more(self) -> bool:
        """Read a piece of a request, if one is due; return whether there may be more."""
        if self._phase not in (_Phase.IDLE, _Phase.RECEIVING) or self._connection.closed:
            return False
        before = self._connection.bytes_received
        self._connection.socket_ready(readable=True, writable=False)
        has_read = self._connection.bytes_received > before
        return has_read and self._phase in (_Phase.IDLE, _Phase.RECEIVING)

    def connection_made(self) -> None:
        """Unused: accepted connections are there from the start."""

    def data_received(self, data: bytes) -> None:
        """Take bytes of the caller."""
        if self._phase is _Phase.FINISHING or self._requests.too_large:
            return
        self._pacer.begin_read()
        self._received_at = time.monotonic()
        self._codec.receive_data(data)
        if self._phase in (_Phase.IDLE, _Phase.RECEIVING):
            self._read_request()
            self._pacer.note_read()
        elif self._requests.buffered_bytes > PIPELINED_BYTES:
            self._connection.pause_reading()
        self._server.budget.note_growth(len(data))

    def connection_lost(self, reason: str) -> None:
        """Tell the service that the caller of an open exchange is gone."""
        self._clear_deadline()
        self._pacer.stop()
        self._server.forget(self)
        self._phase = _Phase.FINISHING
        self._requests.drop()
        exchange = self._exchange
        self._close_exchange()
        if exchange is not None:
            self._server.submit(HttpGone(exchange))

    def _read_request(self) -> None:
        try:
            request = self._requests.next_request()
        except RequestRefusedError as refused:
            self._refuse(refused)
            return
        if request is not None:
            self._deliver(request)
            return
        if self._phase is _Phase.IDLE and self._requests.has_begun():
            self._phase = _Phase.RECEIVING
            self._set_deadline(self._limits.request_seconds)
        if self._codec.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=_CONTINUE, headers=[])
            self._connection.write(self._codec.send(go_on))

    def _deliver(self, request: IncomingRequest) -> None:
        self._clear_deadline()
        self._phase = _Phase.ANSWERING
        self._closes_after_answer = request.too_large
        self._has_been_used = True
        self.request_bytes = request.memory_bytes
        if not self._server.budget.admits(self.request_bytes):
            self._server.budget.note_refused(self.request_bytes)
            self._refuse(self._requests.refused(NO_ROOM, UNAVAILABLE))
            return
        if self._connection.closed:
            return
        self._connection.read_bytes = MIN_READ_BYTES
        self._exchange = self._server.open_exchange(self)
        self._server.submit(
            HttpArrived(
                exchange=self._exchange,
                method=request.method,
                path=request.path,
                query=request.query,
                headers=request.headers,
                body=request.body,
                too_large=request.too_large,
                target=request.target,
                header_items=request.header_items,
                stream_framing=request.stream_framing,
            )
        )

    # ------------------------------------------------------------ answers out

    def reply(self, effect: HttpReply) -> None:
        """Write a whole answer; a stream that has begun cannot take one, and is aborted."""
        if self._phase is _Phase.STREAMING:
            self.end_stream(aborted=True)
            return
        if self._phase is not _Phase.ANSWERING:
            return
        self._closes_after_answer = self._closes_after_answer or effect.last
        headers = response_headers(effect.headers)
        if effect.status not in _BODILESS_STATUSES:
            headers.append(content_length(effect.body))
        if self._write_head(effect.status, headers):
            self._write_end(effect.body if self._sends_body else b"")

    def start_stream(self, effect: HttpStreamStart) -> None:
        """Write the head of an answer whose body follows in pieces."""
        if self._phase is not _Phase.ANSWERING:
            return
        self._closes_after_answer = self._closes_after_answer or effect.last
        written = self._write_head(effect.status, response_headers(effect.headers))
        if written and not self._connection.closed:
            self._phase = _Phase.STREAMING
            if self._requests.stream_framing() is BodyFraming.CLOSE:
                self._connection.reset_on_close()

    def stream_data(self, data: bytes) -> None:
        """Collect a piece; the pieces of one turn of the loop go out as one chunk."""
        if self._phase is not _Phase.STREAMING or not data or not self._sends_body:
            return
        if not self._pieces:
            self._server.poller.flush_later(self)
        self._pieces.append(data)

    def flush_output(self) -> None:
        """Write the collected pieces as one chunk (called by the poller)."""
        if self._phase is not _Phase.STREAMING or not self._pieces:
            return
        chunk = h11.Data(data=b"".join(self._pieces))
        self._pieces.clear()
        for piece in self._codec.send_with_data_passthrough(chunk) or ():
            self._connection.write(piece)

    def end_stream(self, *, aborted: bool) -> None:
        """End a streamed answer; without its last chunk, or with a reset, if it is not whole."""
        self.flush_output()
        if self._phase is not _Phase.STREAMING:
            return
        if aborted:
            self._finish(aborted=True)
        else:
            self._write_end(b"")

    def answer_fault(self) -> None:
        """End the exchange after a fault: with 500, or with an answer that is not whole."""
        exchange = self._exchange
        if exchange is None:
            return
        if self._codec.our_state is h11.SEND_RESPONSE:
            self._refuse(RequestRefusedError(OWN_FAULT, INTERNAL_ERROR))
        else:
            self._finish(aborted=True)
        self._server.submit(HttpGone(exchange))

    def _write_head(self, status: int, headers: RawHeaders) -> bool:
        """Write a response head; answer 500 and return False if it is not HTTP."""
        if self._closes_after_answer:
            headers.append((b"connection", b"close"))
        try:
            response = h11.Response(
                status_code=status, headers=headers, reason=reason_phrase(status)
            )
            head = self._codec.send(response)
        except h11.LocalProtocolError as error:
            absl.logging.error({"event": "bad_response_head", "reason": str(error)})
            self.answer_fault()
            return False
        self._connection.write(head)
        bodiless = status in _BODILESS_STATUSES or self._requests.is_head_request()
        self._sends_body = not bodiless
        return True

    def _write_end(self, body: bytes) -> None:
        """Write the last bytes of an answer and turn to the next request."""
        self._connection.write(self._end_of_answer(body))
        if self._phase is _Phase.FINISHING:
            return
        self._close_exchange()
        if self._codec.our_state is h11.MUST_CLOSE or self._closes_after_answer:
            self._finish()
        else:
            self._turn_to_next_request()

    def _end_of_answer(self, body: bytes) -> bytes:
        output: bytes = self._codec.send(h11.Data(data=body)) if body else b""
        return output + self._codec.send(h11.EndOfMessage())

    def _turn_to_next_request(self) -> None:
        self._requests.start_over()
        self._phase = _Phase.IDLE
        self._rest()
        self._connection.read_bytes = FIRST_READ_BYTES
        self._read_request()
        if self._requests.buffered_bytes <= PIPELINED_BYTES:
            self._connection.resume_reading()

    # ------------------------------------------------------------ ends

    def shut_down(self) -> None:
        """Send what is written, then close.

        The service has answered all requests before it exited. One that it has forgotten is of
        unknown outcome, and a stream that has begun is aborted.
        """
        if self._phase is not _Phase.FINISHING:
            self.flush_output()
            if self._exchange is not None:
                self._log_open_exchange()
            if self._phase is _Phase.ANSWERING:
                self._refuse(RequestRefusedError(ENDED, BAD_GATEWAY))
                return
            self._finish(aborted=self._phase is _Phase.STREAMING)

    def _log_open_exchange(self) -> None:
        """Log what was sent of an answer that the process leaves behind."""
        kernel = self._connection.kernel_bytes()
        fields = {
            "connection_exchange": self._exchange,
            "phase": self._phase.name.lower(),
            "sent_bytes": self._connection.bytes_sent,
            "unsent_bytes": self._connection.unsent_bytes(),
            "unacknowledged_bytes": kernel.unacknowledged,
            "unread_bytes": kernel.unread,
        }
        absl.logging.warning({"event": "connection_open_at_exit", **fields})

    def _refuse(self, refused: RequestRefusedError) -> None:
        """Answer a request that the service does not answer, and close."""
        if self._codec.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            answer = refusal_of(refused.error, refused.status)
            headers = response_headers(answer.headers)
            headers.append(content_length(answer.body))
            self._closes_after_answer = True
            if self._write_head(answer.status, headers):
                body = answer.body if self._sends_body else b""
                self._connection.write(self._end_of_answer(body))
        self._finish()

    def _finish(self, *, aborted: bool = False) -> None:
        """Send what is written, read no more requests, and close within a bound.

        If ``aborted``, the answer under way is not whole and must not look so.
        """
        self._close_exchange()
        self._phase = _Phase.FINISHING
        self._requests.drop()
        self._connection.finish_when_sent(aborted=aborted)
        if not self._connection.closed:
            self._set_deadline(self._closing_seconds())

    def _closing_seconds(self) -> float:
        """Return the time for the caller to read on; an answer is not cut sooner for a close."""
        unsent = self._connection.unsent_bytes()
        return self._limits.idle_seconds if unsent else self._limits.linger_seconds

    def _close_exchange(self) -> None:
        self.request_bytes = 0
        if self._exchange is not None:
            self._server.close_exchange(self._exchange)
            self._exchange = None

    def limits_changed(self) -> None:
        """Follow the server's limits; the rest under way is measured by the new ones."""
        self._limits = self._server.limits
        self._requests.limits = self._limits
        if self._phase is _Phase.IDLE and not self._connection.closed:
            rested = time.monotonic() - self._resting_since
            self._set_deadline(max(0.0, self._limits.idle_seconds - rested))

    def _rest(self) -> None:
        """Wait for the next request, within the idle limit."""
        self._resting_since = time.monotonic()
        self._set_deadline(self._limits.idle_seconds)

    def _set_deadline(self, seconds: float) -> None:
        self._clear_deadline()
        self._sent_before = self._connection.bytes_sent
        self._deadline = self._server.deadlines.call_after(seconds, self._on_deadline)

    def _clear_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _on_deadline(self) -> None:
        """Refuse a half request; close a connection without a request or progress."""
        self._deadline = None
        if self._phase is _Phase.RECEIVING:
            self._refuse(self._requests.refused(NOT_WHOLE_IN_TIME, REQUEST_TIMEOUT))
            return
        unsent = self._connection.unsent_bytes() > 0
        if unsent and self._connection.bytes_sent > self._sent_before:
            self._set_deadline(self._closing_seconds())
            return
        self._connection.close()
        self._server.forget(self)
