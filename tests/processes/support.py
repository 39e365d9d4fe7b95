"""Runs services in threads of the test process and talks to them over plain sockets."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import deque
from collections.abc import Callable

from yokeline.effects import (
    Address,
    Effect,
    Event,
    Exit,
    HttpFailed,
    HttpRequest,
    HttpResponse,
    HttpStreamEnded,
    Service,
    StopRequested,
    Tick,
)
from yokeline.node.process import Application, BoundService, ServiceBinding

PATIENCE_SECONDS = 20.0
LOOPBACK = Address("127.0.0.1", 0)


def wait_for(condition: Callable[[], object], what: str) -> None:
    """Wait until the condition holds, within a generous bound."""
    end = time.monotonic() + PATIENCE_SECONDS
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"waited in vain for {what}")
        time.sleep(0.002)


class ScriptedService:
    """Records its events, answers them by a function, and emits what a test tells it to."""

    def __init__(self, answer: Callable[[Event], list[Effect]] | None = None) -> None:
        self.events: list[Event] = []
        self.to_emit: deque[Effect] = deque()
        self.stops_when_asked = True
        self._answer = answer or (lambda event: [])

    def handle(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, Tick):
            effects = list(self.to_emit)
            self.to_emit.clear()
            return effects
        self.events.append(event)
        if isinstance(event, StopRequested) and self.stops_when_asked:
            return [Exit(0)]
        return self._answer(event)

    def next_deadline(self) -> float | None:
        return None

    def seen(self, kind: type) -> list[Event]:
        return [event for event in self.events if isinstance(event, kind)]


class Running:
    """A service running in a thread until the ``with`` block ends."""

    def __init__(self, service: Service, binding: ServiceBinding | None = None) -> None:
        self.service = service
        self.application = Application()
        added = self.application.add_service(service, binding or ServiceBinding(http=LOOPBACK))
        self.bound: BoundService = added.unwrap()
        self._thread = threading.Thread(target=self.application.run, daemon=True)

    def __enter__(self) -> Running:
        self._thread.start()
        if not self.application.started_running.wait(PATIENCE_SECONDS):
            raise AssertionError("the application did not start")
        return self

    def __exit__(self, *error: object) -> None:
        self.application.request_stop()
        self.join()

    def join(self) -> None:
        self._thread.join(PATIENCE_SECONDS)
        if self._thread.is_alive():
            raise AssertionError("the application did not stop")

    def emit(self, *effects: Effect) -> None:
        assert isinstance(self.service, ScriptedService)
        self.service.to_emit.extend(effects)
        self.bound.bridge.submit(Tick())

    def connect(self) -> socket.socket:
        address = self.bound.http_address
        assert address is not None
        sock = socket.create_connection((address.host, address.port))
        sock.settimeout(PATIENCE_SECONDS)
        return sock

    def ask(self, data: bytes, upto: bytes = b"") -> bytes:
        """Send bytes on a fresh connection; return what comes until ``upto`` or the end."""
        with self.connect() as sock:
            sock.sendall(data)
            return read_until(sock, upto)


def read_until(sock: socket.socket, end: bytes = b"") -> bytes:
    """Read until the bytes end with ``end``, or until the other end closes."""
    data = b""
    while not end or not data.endswith(end):
        with contextlib.suppress(ConnectionResetError):
            piece = sock.recv(65536)
            if piece:
                data += piece
                continue
        return data
    return data


def read_request(sock: socket.socket) -> bytes:
    """Read a request head with its content-length body."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return data
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += sock.recv(65536)
    return head + b"\r\n\r\n" + body


class FakeBackend:
    """A plain TCP server; ``serve(sock, n)`` handles the n-th connection in a thread."""

    def __init__(self, serve: Callable[[socket.socket, int], None]) -> None:
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        self.connections = 0
        self.requests: list[bytes] = []
        self.closed_by_client = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> FakeBackend:
        return self

    def __exit__(self, *error: object) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            sock.settimeout(PATIENCE_SECONDS)
            threading.Thread(target=self._run, args=(sock, self.connections), daemon=True).start()

    def _run(self, sock: socket.socket, number: int) -> None:
        with sock, contextlib.suppress(OSError):
            self._serve(sock, number)

    def note_end(self, sock: socket.socket) -> None:
        """Wait until the client closes and note it."""
        with contextlib.suppress(OSError):
            while sock.recv(65536):
                pass
        self.closed_by_client.set()


class ClientProbe:
    """A service whose outgoing requests a test sends and waits for."""

    def __init__(self, binding: ServiceBinding | None = None) -> None:
        self.service = ScriptedService()
        self.running = Running(self.service, binding or ServiceBinding())

    def __enter__(self) -> ClientProbe:
        self.running.__enter__()
        return self

    def __exit__(self, *error: object) -> None:
        self.running.__exit__()

    def end_of(self, request: HttpRequest) -> Event:
        """Send a request and return its last event."""
        self.running.emit(request)
        wait_for(lambda: self.ends(request.request), f"the end of {request.request}")
        return self.ends(request.request)[0]

    def ends(self, request: str) -> list[Event]:
        kinds = (HttpFailed, HttpStreamEnded, HttpResponse)
        return [
            event
            for event in self.service.events
            if isinstance(event, kinds)
            and event.request == request
            and not (isinstance(event, HttpResponse) and self._is_stream_head(event))
        ]

    def _is_stream_head(self, event: HttpResponse) -> bool:
        return event.headers.get("content-type") == "text/event-stream" and event.status == 200
