"""What the components of one node share: time of the current event, outbox, ids, counters.

A component is called with the context of the node it lives in. It reads ``context.now``
instead of a clock, draws from ``context.random`` instead of a global source, and emits
effects into the context's outbox instead of doing I/O.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Protocol

import msgspec

from yokeline.effects import (
    Effect,
    Framing,
    HttpCancel,
    HttpFailed,
    HttpRequest,
    HttpResponse,
    HttpStreamEnded,
    HttpStreamItem,
    LogRecord,
)
from yokeline.identifiers import NodeName, ReplicaId, RequestId

HTTP_OK = 200
HTTP_REDIRECTION = 300
COMPONENT_FAULT = "component_fault"
"""Log event: the tick of a component raised."""
HANDLER_FAULT = "handler_failed"
"""Log event: the handling of a caller's request raised."""

HttpAnswer = HttpResponse | HttpStreamItem | HttpStreamEnded | HttpFailed
HttpHandler = Callable[[HttpAnswer], None]


class PeerSender(Protocol):
    """Sends a message to another node, wherever membership says it is."""

    def __call__(self, to: ReplicaId, message: msgspec.Struct) -> None:
        """Send, best effort; an unknown node is a no-op."""
        ...


class NodeContext:
    """State that the components of one node share while an event is handled.

    Attributes:
        name: The node's name.
        replica: Identity of this process start.
        zone: The zone the node runs in.
        random: The node's only source of randomness.
        now: Monotonic seconds of the event being handled.
        counters: Metric counts by ``name`` or ``name{label="value"}``.
    """

    def __init__(
        self,
        *,
        name: NodeName,
        replica: ReplicaId,
        zone: str,
        source: random.Random,
        wall_offset: float,
    ) -> None:
        """Create a context; ``wall_offset`` plus ``now`` is wall time."""
        self.name = name
        self.replica = replica
        self.zone = zone
        self.random = source
        self.now = 0.0
        self.counters: Counter[str] = Counter()
        self._wall_offset = wall_offset
        self._outbox: list[Effect] = []
        self._handlers: dict[RequestId, HttpHandler] = {}
        self._streamed: set[RequestId] = set()
        self._next_request = 0
        self._peer_sender: PeerSender | None = None

    def wall(self) -> float:
        """Return wall seconds (Unix time) of the current event."""
        return self.now + self._wall_offset

    def emit(self, effect: Effect) -> None:
        """Put an effect into the outbox."""
        self._outbox.append(effect)

    def take_outbox(self) -> list[Effect]:
        """Return and clear the effects emitted so far."""
        effects = self._outbox
        self._outbox = []
        return effects

    def new_request_id(self) -> RequestId:
        """Return an id that this process has not used before."""
        self._next_request += 1
        return RequestId(f"{self.replica}/{self._next_request}")

    def send_http(self, request: HttpRequest, handler: HttpHandler) -> None:
        """Send an HTTP request; ``handler`` gets every answer to it."""
        self._handlers[request.request] = handler
        if request.framing is not Framing.WHOLE:
            self._streamed.add(request.request)
        self.emit(request)

    def cancel_http(self, request: RequestId) -> None:
        """Give an HTTP request up; its handler is not called again."""
        if request in self._handlers:
            self._forget(request)
            self.emit(HttpCancel(request))

    def dispatch_http(self, answer: HttpAnswer) -> None:
        """Hand an answer to its handler; answers that nobody waits for are counted.

        A handler that raises still gets a failure, which follows if its part was lost.
        """
        handler = self._handlers.get(answer.request)
        if handler is None:
            self.counters["yokeline_unexpected_http_answers_total"] += 1
            return
        if not self._keeps_open(answer):
            self._forget(answer.request)
        try:
            handler(answer)
        except Exception:
            if not isinstance(answer, HttpFailed):
                self._handlers[answer.request] = handler
            raise

    def _forget(self, request: RequestId) -> None:
        del self._handlers[request]
        self._streamed.discard(request)

    def _keeps_open(self, answer: HttpAnswer) -> bool:
        if isinstance(answer, HttpStreamItem):
            return True
        if not isinstance(answer, HttpResponse) or answer.request not in self._streamed:
            return False
        return HTTP_OK <= answer.status < HTTP_REDIRECTION

    def set_peer_sender(self, sender: PeerSender) -> None:
        """Install what :meth:`send_peer` uses (done once by the node)."""
        self._peer_sender = sender

    def send_peer(self, to: ReplicaId, message: msgspec.Struct) -> None:
        """Send a message to another node, best effort."""
        if self._peer_sender is not None:
            self._peer_sender(to, message)

    def log(self, event: str, **fields: str | int | float | bool | None) -> None:
        """Emit an informational log record with the node's name."""
        self.emit(LogRecord(event=event, fields={"node": self.name, **fields}))

    def fault(self, event: str, **fields: str | int | float | bool | None) -> None:
        """Emit a log record of a fault with the node's name."""
        record = LogRecord(event=event, fields={"node": self.name, **fields}, level="error")
        self.emit(record)

    def warn(self, event: str, **fields: str | int | float | bool | None) -> None:
        """Emit a warning log record with the node's name."""
        record = LogRecord(event=event, fields={"node": self.name, **fields}, level="warning")
        self.emit(record)
