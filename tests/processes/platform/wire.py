"""Serves a stand-in over sockets and writes its answers byte by byte, in any form HTTP/1.1 allows.

The product's own server always writes a length or chunks, and never half an event. Stand-ins of
the platform are served by :class:`WireServer` instead: a :class:`WireShape` says how an answer is
framed and cut into pieces, and :class:`BreakOff` how it ends before it is whole.
"""

from __future__ import annotations

import contextlib
import enum
import queue
import random
import select
import socket
import struct
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import h11

from yokeline.effects import (
    BodyFraming,
    Effect,
    Event,
    HttpArrived,
    HttpGone,
    HttpReply,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamStart,
    Tick,
)
from yokeline.identifiers import ExchangeId
from yokeline.node.http_target import split_target

HOST = "127.0.0.1"
_READ_BYTES = 65536
_GONE_CHECK_SECONDS = 0.01
NO_START = -1
"""Start of a connection that no process has accepted."""
_LONGEST_WAIT_SECONDS = 0.5
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_PAUSE_BETWEEN_PIECES_SECONDS = 0.0002
ID_FIELD = "x-yokeline-request-id"
"""Field that each answer carries back."""


def surplus_answer(request_id: str) -> bytes:
    """Return another answer to a request, behind a whole one."""
    return (
        f"HTTP/1.1 200 OK\r\n{ID_FIELD}: {request_id}\r\nContent-Length: 7\r\n\r\nsurplus".encode()
    )


class AnswerEnd(enum.Enum):
    """How the connection of an answer ends, or does not."""

    ORDERLY = "orderly"
    """As of a whole answer: with the last chunk, or by closing the connection if it has none."""
    CLOSED = "closed"
    """The connection is closed without a last chunk; it is reset if the answer has no chunks."""
    RESET = "reset"
    SILENT = "silent"
    """Nothing more comes over an open connection."""


@dataclass(frozen=True)
class WireShape:
    """How an answer is put on the wire.

    Attributes:
        framing: How the end of the body is marked.
        version: HTTP version of the status line. An answer of HTTP/1.0 has no chunks.
        line_end: Ends the lines of events.
        piece_bytes: Size of the pieces that are written apart; 0 for what is there at once.
        says_close: Whether the answer has ``Connection: close``, and its connection ends with it.
        surplus: Whether another answer follows a whole one.
    """

    framing: BodyFraming = BodyFraming.CHUNKED
    version: str = "1.1"
    line_end: bytes = b"\n"
    piece_bytes: int = 0
    says_close: bool = False
    surplus: bool = False

    @property
    def ends_connection(self) -> bool:
        """Whether the connection ends with the answer."""
        return self.says_close or self.framing is BodyFraming.CLOSE or self.version == "1.0"


PLAIN = WireShape()
PLAIN_SHARE = 0.3
"""Share of drawn answers that are plain."""
STREAM_PIECES = (0, 0, 1, 2, 7)
LONG_PIECES = (0, 512, 4096)
"""Sizes of the pieces of an answer of many kilobytes."""


def draw_shape(source: random.Random, pieces: Sequence[int] = STREAM_PIECES) -> WireShape:
    """Return any shape that an answer may have, cut into one of some sizes of ``pieces``."""
    if source.random() < PLAIN_SHARE:
        return PLAIN
    version = source.choice(("1.1", "1.1", "1.1", "1.0"))
    framings = [BodyFraming.CHUNKED, BodyFraming.CLOSE, BodyFraming.CLOSE]
    framing = source.choice(framings) if version == "1.1" else BodyFraming.CLOSE
    return WireShape(
        framing=framing,
        version=version,
        line_end=source.choice((b"\n", b"\r\n", b"\r")),
        piece_bytes=source.choice(pieces),
        says_close=source.random() < 0.3,
        surplus=framing is BodyFraming.CHUNKED and source.random() < 0.1,
    )


@dataclass(frozen=True)
class BreakOff:
    """How a stream ends before it is whole.

    Attributes:
        end: What happens to the connection.
        partial: Bytes of the next event that are sent; if negative, how many are left out.
    """

    end: AnswerEnd = AnswerEnd.CLOSED
    partial: int = 0

    def part_of(self, event: bytes) -> bytes:
        """Return the bytes of the next event that are sent."""
        return event[: self.partial]


PARTS = (1, 3, 9, -1, -2)
"""Bytes that are sent of an event that is broken off; if negative, that are left out."""


def draw_break_off(source: random.Random) -> BreakOff:
    """Return any break that a caller can tell, in all framings, from the end of a whole stream."""
    end = source.choice(tuple(AnswerEnd))
    return BreakOff(end, source.choice(PARTS if end is AnswerEnd.ORDERLY else (0, *PARTS)))


@dataclass(frozen=True)
class BrokenStream:
    """An effect of a stand-in: send a piece that is no whole event, and end the answer."""

    exchange: ExchangeId
    data: bytes
    end: AnswerEnd


@dataclass(frozen=True)
class EngineCrash:
    """An effect of a stand-in: its process ends, with its listener and all of its connections."""


@dataclass(frozen=True)
class EndlessAnswer:
    """An effect of a stand-in: write bytes until the other end closes.

    Attributes:
        head: Written once.
        piece: Written again and again.
        pause: Seconds between two pieces.
    """

    exchange: ExchangeId
    head: bytes
    piece: bytes
    pause: float = 0.0


@dataclass(frozen=True)
class EngineSilence:
    """An effect of a stand-in: nothing passes to or from its process until its server is heard."""


WireEffect = Effect | BrokenStream | EngineCrash | EngineSilence | EndlessAnswer


class WireService(Protocol):
    """A stand-in: a service that may break its answers off."""

    def handle(self, event: Event, now: float) -> list[WireEffect]:
        """Take one event in and return the effects to carry out."""
        ...

    def next_deadline(self) -> float | None:
        """Return when a tick is due."""
        ...

    def wire_shape(self, event: HttpArrived) -> WireShape:
        """Return how the answer to a request is put on the wire."""
        ...


class WireServer:
    """Serves a stand-in in threads of the test process until it is closed."""

    def __init__(self, service: WireService) -> None:
        """Listen on a free port.

        ``on_crash`` is called in a thread of the server after a crash of the stand-in, and
        ``on_silence`` when nothing passes to or from it any more.
        """
        self.on_crash: Callable[[], None] = _ignore_crash
        self.on_silence: Callable[[], None] = _do_nothing
        self._wake: Callable[[], None] = _do_nothing
        self._service = service
        self._lock = threading.Condition()
        self._answers: dict[ExchangeId, queue.SimpleQueue[WireEffect]] = {}
        self._sockets: set[socket.socket] = set()
        self._numbers = 0
        self.starts = 0
        self._closed = False
        self._heard = threading.Event()
        self._heard.set()
        self._cut_sockets: set[socket.socket] = set()
        self._is_running = True
        self._listener = socket.create_server((HOST, 0), backlog=256)
        self.port: int = self._listener.getsockname()[1]
        for work in (self._accept, self._tick):
            threading.Thread(target=work, daemon=True).start()

    def wake_on(self, listeners: list[Callable[[], None]]) -> None:
        """Let the stand-in see the time whenever one of its readers or writers calls a listener.

        The caller may hold the lock of another server, so it does not wait for this one's.
        """
        wakes: queue.SimpleQueue[None] = queue.SimpleQueue()

        def pass_on() -> None:
            while True:
                wakes.get()
                with self._lock:
                    if self._closed:
                        return
                    self._hand(Tick())

        self._wake = lambda: wakes.put(None)
        listeners.append(self._wake)
        threading.Thread(target=pass_on, daemon=True).start()

    def close(self) -> None:
        """End the server and its connections."""
        with self._lock:
            self._closed = True
            self._lock.notify_all()
            sockets = list(self._sockets)
        self._wake()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def crash(self) -> None:
        """End the listener and reset all connections, as the end of a process does."""
        with self._lock:
            sockets = list(self._sockets)
            self.starts += 1
            self._is_running = False
            self._answers.clear()
            if self.is_silent:
                self._cut_sockets.update(sockets)
                return  # Nothing of it is seen from outside.
            self._close_listener()
        _reset_all(sockets)

    def _close_listener(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    @property
    def is_silent(self) -> bool:
        """Whether nothing passes to or from the stand-in."""
        return not self._heard.is_set()

    def fall_silent(self) -> None:
        """Let nothing pass; connections stay open, and new ones are accepted and not served."""
        with self._lock:
            self._heard.clear()
        self.on_silence()

    def be_heard(self) -> None:
        """Let all pass again; connections of a process that has ended meanwhile are reset."""
        with self._lock:
            sockets, self._cut_sockets = list(self._cut_sockets), set()
            self._heard.set()
            if not self._is_running:
                self._close_listener()
        _reset_all(sockets)

    def wait_until_heard(self) -> None:
        """Wait while nothing passes."""
        while not self._closed and not self._heard.wait(_LONGEST_WAIT_SECONDS):
            pass

    def crash_stand_in(self, end: Callable[[float], list[WireEffect]]) -> None:
        """Let the stand-in end by ``end``, which is called with the time."""
        with self._lock:
            end(time.monotonic())
            self.crash()
        self.on_crash()

    def listen_again(self) -> None:
        """Serve the present stand-in at the same port, as another process does after a crash."""
        with self._lock:
            self._is_running = True
            if self._closed or self._listener.fileno() >= 0:
                return
            self._listener = socket.create_server((HOST, self.port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    # ------------------------------------------------------------ the stand-in

    def arrive(
        self, event: HttpArrived, start: int
    ) -> tuple[WireShape, queue.SimpleQueue[WireEffect]]:
        """Hand a request to the stand-in; return the shape and the queue of its answer.

        Raises:
            ConnectionResetError: The process that accepted the connection has crashed.
        """
        answers: queue.SimpleQueue[WireEffect] = queue.SimpleQueue()
        self.wait_until_heard()
        with self._lock:
            if start != self.starts or not self._is_running:
                raise ConnectionResetError
            self._answers[event.exchange] = answers
            shape = self._service.wire_shape(event)
            self._hand(event)
        return shape, answers

    def leave(self, exchange: ExchangeId) -> None:
        """Tell the stand-in that the caller of an open answer is gone."""
        with self._lock:
            if self._answers.pop(exchange, None) is not None:
                self._hand(HttpGone(exchange))

    def answered(self, exchange: ExchangeId) -> None:
        """Forget an answer that has ended."""
        with self._lock:
            self._answers.pop(exchange, None)

    def new_exchange(self) -> ExchangeId:
        """Name an exchange."""
        with self._lock:
            self._numbers += 1
            return ExchangeId(f"w{self._numbers}")

    def forget(self, sock: socket.socket) -> None:
        """Forget a connection that has ended."""
        with self._lock:
            self._sockets.discard(sock)

    def _hand(self, event: Event) -> None:
        for effect in self._service.handle(event, time.monotonic()):
            if isinstance(effect, EngineCrash):
                self.crash()
                self.on_crash()
                break
            if isinstance(effect, EngineSilence):
                self.fall_silent()
                continue
            exchange = getattr(effect, "exchange", None)
            answers = self._answers.get(exchange) if exchange is not None else None
            if answers is not None:
                answers.put(effect)
        self._lock.notify_all()

    def _tick(self) -> None:
        with self._lock:
            while not self._closed:
                due = self._service.next_deadline()
                wait = _LONGEST_WAIT_SECONDS if due is None else due - time.monotonic()
                if wait > 0:
                    self._lock.wait(min(wait, _LONGEST_WAIT_SECONDS))
                    continue
                self._hand(Tick())
                self._lock.wait(_GONE_CHECK_SECONDS / 10)

    def _accept(self) -> None:
        listener = self._listener
        while not self._closed:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._sockets.add(sock)
                connection = _Connection(self, sock)
                if self.is_silent:
                    self._cut_sockets.add(sock)
                    connection.be_unserved()
            threading.Thread(target=connection.run, daemon=True).start()


def _reset_all(sockets: Sequence[socket.socket]) -> None:
    """Reset connections; the thread of each wakes up and closes it."""
    for sock in sockets:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            sock.shutdown(socket.SHUT_RD)


def _ignore_crash() -> None:
    """Do nothing; stand-ins that do not crash."""


def _do_nothing() -> None:
    """Do nothing; stand-ins that hear of nothing but requests and the time."""


class _Connection:
    """One connection: requests in, one after the other, and their answers out."""

    def __init__(self, server: WireServer, sock: socket.socket) -> None:
        self._server = server
        self._start = server.starts
        self._sock = sock
        self._rest = b""
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)

    def be_unserved(self) -> None:
        """Serve nothing on this connection, which no process has accepted."""
        self._start = NO_START

    def run(self) -> None:
        """Serve until either end closes; a fault of the stand-in must not look like an end."""
        try:
            with contextlib.suppress(OSError):
                while self._serve():
                    pass
        except BaseException:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            raise
        finally:
            self._server.forget(self._sock)
            self._sock.close()

    def _serve(self) -> bool:
        """Answer the next request; return whether the connection goes on."""
        request = self._read_request()
        if request is None:
            return False
        shape, answers = self._server.arrive(request, self._start)
        answer = _Answer(self._sock, shape, request.headers.get(ID_FIELD, ""))
        try:
            while not answer.is_over:
                self._write_next(request.exchange, answers, answer)
        except OSError:
            self._server.leave(request.exchange)
            return False
        self._server.answered(request.exchange)
        return answer.keeps_connection

    def _write_next(
        self,
        exchange: ExchangeId,
        answers: queue.SimpleQueue[WireEffect],
        answer: _Answer,
    ) -> None:
        try:
            effect = answers.get(timeout=_GONE_CHECK_SECONDS)
        except queue.Empty:
            if not self._server.is_silent and self._is_gone():
                raise ConnectionResetError from None
            return
        self._server.wait_until_heard()
        answer.write(effect)

    def _is_gone(self) -> bool:
        return bool(self._poll.poll(0)) and not self._sock.recv(1, socket.MSG_PEEK)

    def _read_request(self) -> HttpArrived | None:
        """Read the next request; None if the connection ends first."""
        codec = h11.Connection(h11.SERVER)
        if self._rest:  # no bytes would mean the end of the connection
            codec.receive_data(self._rest)
        head: h11.Request | None = None
        body = b""
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                data = self._sock.recv(_READ_BYTES)
                if not data:
                    return None
                codec.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self._rest = codec.trailing_data[0]
                return self._arrived(head, body)
            else:
                return None

    def _arrived(self, head: h11.Request, body: bytes) -> HttpArrived:
        target = head.target.decode()
        path, query = split_target(target)
        items = tuple((name.decode(), value.decode()) for name, value in head.headers)
        headers: dict[str, str] = {}
        for name, value in items:
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        return HttpArrived(
            exchange=self._server.new_exchange(),
            method=head.method.decode(),
            path=path,
            query=query,
            headers=headers,
            body=body,
            target=target,
            header_items=items,
        )


class _Answer:
    """Writes one answer in its shape.

    Attributes:
        is_over: Nothing more is written.
        keeps_connection: The connection serves another request.
    """

    def __init__(self, sock: socket.socket, shape: WireShape, request_id: str) -> None:
        self.is_over = False
        self.keeps_connection = False
        self._sock = sock
        self._shape = shape
        self._request_id = request_id

    def write(self, effect: WireEffect) -> None:
        """Carry out an effect of the stand-in."""
        if isinstance(effect, HttpReply):
            self._write_whole(effect)
        elif isinstance(effect, HttpStreamStart):
            self._send_head(effect.status, effect.headers, self._shape.framing, None)
        elif isinstance(effect, HttpStreamData):
            self._send_body(effect.data)
        elif isinstance(effect, HttpStreamEnd):
            self._end(AnswerEnd.CLOSED if effect.aborted else AnswerEnd.ORDERLY)
        elif isinstance(effect, BrokenStream):
            self._send_body(effect.data)
            self._end(effect.end)
        elif isinstance(effect, EndlessAnswer):
            self._write_endless(effect)

    def _write_endless(self, answer: EndlessAnswer) -> None:
        """Write until sending fails, since the other end has closed."""
        self._send(answer.head)
        while True:
            self._send(answer.piece)
            if answer.pause:
                time.sleep(answer.pause)

    def _write_whole(self, reply: HttpReply) -> None:
        """Write a whole answer; in the plain shape it has a length."""
        framing = BodyFraming.LENGTH if self._shape == PLAIN else self._shape.framing
        self._send_head(reply.status, reply.headers, framing, len(reply.body))
        if framing is BodyFraming.CHUNKED:
            self._send_body(reply.body)
            self._send(b"0\r\n\r\n")
        else:
            self._send_pieces(reply.body)
        self._finish(AnswerEnd.ORDERLY)

    def _send_head(
        self, status: int, headers: dict[str, str], framing: BodyFraming, length: int | None
    ) -> None:
        lines = [f"HTTP/{self._shape.version} {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if framing is BodyFraming.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
        elif framing is BodyFraming.LENGTH:
            lines.append(f"Content-Length: {length or 0}")
        if self._shape.says_close:
            lines.append("Connection: close")
        self._send("\r\n".join([*lines, "", ""]).encode())

    def _send_body(self, data: bytes) -> None:
        if not data:
            return
        size = self._shape.piece_bytes or len(data)
        if self._shape.framing is not BodyFraming.CHUNKED:
            self._send_pieces(data)
            return
        for start in range(0, len(data), size):
            piece = data[start : start + size]
            self._send(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            if size < len(data):
                time.sleep(_PAUSE_BETWEEN_PIECES_SECONDS)

    def _send_pieces(self, data: bytes) -> None:
        size = self._shape.piece_bytes or max(1, len(data))
        for start in range(0, len(data), size):
            self._send(data[start : start + size])
            if size < len(data):
                time.sleep(_PAUSE_BETWEEN_PIECES_SECONDS)

    def _send(self, data: bytes) -> None:
        self._sock.sendall(data)

    def _end(self, end: AnswerEnd) -> None:
        if end is AnswerEnd.ORDERLY and self._shape.framing is BodyFraming.CHUNKED:
            self._send(b"0\r\n\r\n")
        self._finish(end)

    def _has_no_chunks(self) -> bool:
        return self._shape.framing is not BodyFraming.CHUNKED

    def _finish(self, end: AnswerEnd) -> None:
        self.is_over = True
        if end is AnswerEnd.ORDERLY:
            self.keeps_connection = not self._shape.ends_connection
            if self._shape.surplus:
                self._send(surplus_answer(self._request_id))
        elif end is AnswerEnd.RESET or (end is AnswerEnd.CLOSED and self._has_no_chunks()):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        elif end is AnswerEnd.SILENT:
            while self._sock.recv(_READ_BYTES):
                pass
