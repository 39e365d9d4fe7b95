"""Connections on which an answer is cut after some bytes, closed or reset."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from tests.processes.cluster import HOST

_READ_BYTES = 65536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_PIECE_PAUSE_SECONDS = 0.0002


@dataclass(frozen=True)
class Cut:
    """How an answer ends.

    Attributes:
        length: Bytes that are sent of it.
        resets: Whether the connection is reset; it is closed in the orderly way otherwise.
        piece_bytes: Size of the pieces that are sent apart; 0 for all at once.
    """

    length: int
    resets: bool = False
    piece_bytes: int = 0


def end_connection(sock: socket.socket, *, resets: bool) -> None:
    """Close a connection, or reset it."""
    with contextlib.suppress(OSError):
        if resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        else:
            sock.shutdown(socket.SHUT_WR)
    sock.close()


class Listener:
    """Serves each connection in a thread until it is closed."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            self._serve(sock)
        sock.close()


class CuttingEngine:
    """An engine that answers every request with the same bytes, and breaks them off.

    Attributes:
        answer: The whole answer.
        cut: How it is broken off.
        requests: Heads and bodies of the requests that it read.
    """

    def __init__(self) -> None:
        self.answer = b""
        self.cut = Cut(0)
        self.requests: list[bytes] = []
        self._listener = Listener(self._serve)
        self.port = self._listener.port

    def close(self) -> None:
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        self.requests.append(_read_request(sock))
        data = self.answer[: self.cut.length]
        size = self.cut.piece_bytes or max(1, len(data))
        for start in range(0, len(data), size):
            sock.sendall(data[start : start + size])
            if size < len(data):
                time.sleep(_PIECE_PAUSE_SECONDS)
        end_connection(sock, resets=self.cut.resets)


class CuttingProxy:
    """Passes connections on to a port, and may cut what comes back.

    Attributes:
        cut: Where each connection's answers are cut; None for no cut.
        cuts: Connections that were cut.
    """

    def __init__(self, target_port: int) -> None:
        self.cut: Callable[[], Cut] | None = None
        self.cuts = 0
        self._target_port = target_port
        self._listener = Listener(self._serve)
        self.port = self._listener.port

    def close(self) -> None:
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        with socket.create_connection((HOST, self._target_port)) as target:
            requests = threading.Thread(target=_forward, args=(sock, target), daemon=True)
            requests.start()
            self._return_answers(target, sock)

    def _return_answers(self, target: socket.socket, sock: socket.socket) -> None:
        while data := target.recv(_READ_BYTES):
            if self.cut is None:
                sock.sendall(data)
                continue
            cut = self.cut()
            sock.sendall(data[: cut.length])
            self.cuts += 1
            end_connection(sock, resets=cut.resets)
            return


def _forward(source: socket.socket, target: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(_READ_BYTES):
            target.sendall(data)
        target.shutdown(socket.SHUT_WR)


def _read_request(sock: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(_READ_BYTES)
        if not piece:
            return data
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    fields = [line.partition(b":") for line in head.lower().split(b"\r\n")]
    length = next((int(value) for name, _, value in fields if name == b"content-length"), 0)
    while len(body) < length:
        piece = sock.recv(_READ_BYTES)
        if not piece:
            break
        body += piece
    return head + b"\r\n\r\n" + body
