"""Crowds of connections that send what is legal and then misuse it, and engines that are late."""

from __future__ import annotations

import contextlib
import itertools
import os
import selectors
import socket
import struct
import threading
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

from tests.processes.cluster import HOST
from tests.processes.platform.deployment import CALLER_HOST

LARGEST_BODY_BYTES = 4 * 1024 * 1024
"""Largest body in the limits of the configuration."""
BODY = b"b" * LARGEST_BODY_BYTES
QUIET_SECONDS = 1.0
"""Time without progress after which a crowd has sent what it can."""
MOST_SECONDS = 60.0
"""Bound on the time for which a crowd sends."""
_SELECT_SECONDS = 0.1
_READ_BYTES = 65536
_SMALL_BUFFER_BYTES = 4096
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_KIBIBYTE = 1024
_request_numbers = itertools.count(1)


def peak_bytes(pid: int) -> int:
    """Return the most memory that a process has had resident."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmHWM":
            return int(value.split()[0]) * _KIBIBYTE
    raise AssertionError(f"process {pid} tells no peak")


def open_descriptors(pid: int) -> int:
    """Return how many files a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def request_head(path: str, framing: str, method: str = "POST", **fields: str) -> bytes:
    """Return the head of a request of its own; ``framing`` is the field that frames the body."""
    number = next(_request_numbers)
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {CALLER_HOST}",
        f"X-Yokeline-Request-Id: crowd-{os.getpid()}-{number}",
        "X-Yokeline-Deadline-Ms: 20000",
        *(f"X-Yokeline-{name.replace('_', '-')}: {value}" for name, value in fields.items()),
    ]
    if framing:
        lines.append(framing)
    return "\r\n".join([*lines, "", ""]).encode()


def sized_request(path: str, *, lacking: int = 0, **fields: str) -> list[memoryview]:
    """Return a request with the largest body, but for its last bytes."""
    head = request_head(path, f"Content-Length: {LARGEST_BODY_BYTES}", **fields)
    return [memoryview(head), memoryview(BODY)[: LARGEST_BODY_BYTES - lacking]]


def chunked_request(path: str, chunks: bytes) -> list[memoryview]:
    """Return a request whose chunks never end."""
    return [memoryview(request_head(path, "Transfer-Encoding: chunked")), memoryview(chunks)]


def chunks_of(size: int, count: int) -> bytes:
    """Return chunks of a size."""
    return (b"%x\r\n" % size + b"c" * size + b"\r\n") * count


class Crowd:
    """Connections to one address, each with bytes to send.

    Attributes:
        sockets: Connections that are open as far as the crowd knows.
    """

    def __init__(self, port: int, *, reads: bool = True) -> None:
        """Connect to ``port``; with ``reads`` false no answer is ever read."""
        self.sockets: list[socket.socket] = []
        self._port = port
        self._reads = reads

    def __enter__(self) -> Crowd:
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def open(self, count: int) -> list[socket.socket]:
        """Open connections that send nothing yet."""
        opened = []
        for _ in range(count):
            sock = socket.socket()
            if not self._reads:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
            sock.settimeout(MOST_SECONDS)
            sock.connect((HOST, self._port))
            sock.setblocking(False)
            opened.append(sock)
        self.sockets += opened
        return opened

    def send(self, requests: Sequence[Sequence[memoryview]]) -> None:
        """Send each request on a connection of its own, as far as the other end takes it."""
        self.send_on(self.open(len(requests)), requests)

    def send_on(
        self, sockets: Sequence[socket.socket], requests: Sequence[Sequence[memoryview]]
    ) -> None:
        """Send on connections until all is sent or closed, or nothing moves any more."""
        unsent = {
            sock: list(reversed(request)) for sock, request in zip(sockets, requests, strict=True)
        }
        with selectors.DefaultSelector() as selector:
            for sock in unsent:
                selector.register(sock, selectors.EVENT_WRITE | selectors.EVENT_READ)
            began = moved = time.monotonic()
            while unsent and time.monotonic() - began < MOST_SECONDS:
                for key, mask in selector.select(_SELECT_SECONDS):
                    sock = key.fileobj
                    assert isinstance(sock, socket.socket)
                    if self._serve(sock, mask, unsent[sock]):
                        moved = time.monotonic()
                    if sock not in self.sockets or not unsent[sock]:
                        selector.unregister(sock)
                        del unsent[sock]
                if time.monotonic() - moved > QUIET_SECONDS:
                    return

    def _serve(self, sock: socket.socket, mask: int, unsent: list[memoryview]) -> bool:
        """Read and write what is possible; return whether anything was written."""
        try:
            if mask & selectors.EVENT_READ and self._reads and not sock.recv(_READ_BYTES):
                self._drop(sock)
                return False
            if not mask & selectors.EVENT_WRITE:
                return False
            piece = unsent.pop()
            count = sock.send(piece[: 4 * _READ_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            self._drop(sock)
            return False
        if count < len(piece):
            unsent.append(piece[count:])
        return True

    def _drop(self, sock: socket.socket) -> None:
        self.sockets.remove(sock)
        sock.close()

    def count_unanswered(self) -> int:
        """Return how many connections have got neither a byte nor an end."""
        return sum(_has_nothing(sock) for sock in self.sockets)

    def reset(self, sockets: Sequence[socket.socket]) -> None:
        """Reset some of the connections."""
        for sock in [item for item in sockets if item in self.sockets]:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            self._drop(sock)

    def close(self) -> None:
        """Close all connections."""
        for sock in list(self.sockets):
            self._drop(sock)


def _has_nothing(sock: socket.socket) -> bool:
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class LateEngine:
    """An engine that begins to read each request late, and answers with a body of some size.

    Attributes:
        read_seconds: Pause before a request is read.
        answer: Body of each answer.
    """

    def __init__(self, *, read_seconds: float = 0.0, answer: bytes = b"done") -> None:
        self.read_seconds = read_seconds
        self.answer = answer
        self._closed = threading.Event()
        self._listener = socket.create_server((HOST, 0), backlog=256)
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._closed.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            self._closed.wait(self.read_seconds)
            request_id = _read_request_id(sock)
            if not request_id:  # a question for the engine's state
                sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                return
            fields = [
                "HTTP/1.1 200 OK",
                f"X-Yokeline-Request-Id: {request_id}",
                "X-Yokeline-Server-Stamp: stamp-late",
                "Connection: close",
                f"Content-Length: {len(self.answer)}",
            ]
            sock.sendall("\r\n".join([*fields, "", ""]).encode() + self.answer)


def _read_request_id(sock: socket.socket) -> str:
    """Read a whole request and return its id; empty for a request of a node itself.

    Raises:
        OSError: It did not come whole.
    """
    pieces = _pieces(sock)
    data = b""
    while b"\r\n\r\n" not in data:
        data += next(pieces)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [line.partition(b":") for line in head.split(b"\r\n")]
    fields = {name.lower(): value.strip() for name, _, value in lines}
    left = int(fields.get(b"content-length", b"0")) - len(body)
    while left > 0:
        left -= len(next(pieces))
    return fields.get(b"x-yokeline-request-id", b"").decode()


def _pieces(sock: socket.socket) -> Iterator[bytes]:
    while data := sock.recv(_READ_BYTES):
        yield data
    raise ConnectionError("closed inside a request")
