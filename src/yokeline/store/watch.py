"""A watch on a prefix of the key-value service that reconnects from where it was."""

from __future__ import annotations

import enum
from typing import Protocol

from returns.result import Failure

from yokeline.effects import Address, Framing, HttpRequest, HttpResponse, HttpStreamItem
from yokeline.identifiers import RequestId
from yokeline.server.context import HTTP_OK, HttpAnswer, NodeContext
from yokeline.store import protocol, request_bodies
from yokeline.store.limits import StoreLimits, backoff_seconds
from yokeline.store.protocol import WatchEvent

SILENCE_SECONDS = 30.0
"""A stream that is silent for so long is opened anew; it may be dead without a sign."""
CONNECT_SECONDS = 3.0


class WatchListener(Protocol):
    """Gets what a watch delivers."""

    def watch_opened(self) -> None:
        """The store accepted the watch."""
        ...

    def watch_delivered(self, events: tuple[WatchEvent, ...], upto: int) -> None:
        """Events arrived; all changes from the start of the watch to ``upto`` are known."""
        ...

    def watch_lost(self) -> None:
        """The connection is gone; the watch reconnects by itself."""
        ...

    def watch_compacted(self) -> None:
        """Revisions that the watch needs are gone: read the range, then watch anew."""
        ...


class WatchState(enum.Enum):
    """Where a watch stands."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    OPEN = "open"
    OVER = "over"


class StoreWatch:
    """One watch; made by ``KeyValueClient.watch``."""

    def __init__(
        self,
        context: NodeContext,
        address: Address,
        prefix: str,
        from_revision: int,
        listener: WatchListener,
        limits: StoreLimits,
    ) -> None:
        """Create a watch that connects at the first :meth:`tick`."""
        self.connect_timeout = CONNECT_SECONDS
        self._context = context
        self._address = address
        self._prefix = prefix
        self._next_revision = from_revision
        self._listener = listener
        self._limits = limits
        self._state = WatchState.WAITING
        self._due = context.now
        self._request: RequestId | None = None
        self._failures = 0

    @property
    def active(self) -> bool:
        """Return whether the watch is neither cancelled nor ended by compaction."""
        return self._state is not WatchState.OVER

    @property
    def is_open(self) -> bool:
        """Return whether the store has accepted the watch on the present connection."""
        return self._state is WatchState.OPEN

    def cancel(self) -> None:
        """End the watch; the listener is not called again."""
        self._drop_request()
        self._state = WatchState.OVER

    def tick(self) -> None:
        """Connect when it is time; give up a connection that is not accepted in time."""
        if self._context.now < self._due:
            return
        if self._state is WatchState.WAITING:
            self._transition_connecting()
        elif self._state is WatchState.CONNECTING:
            self._drop_request()
            self._transition_waiting()

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return self._due if self._state in (WatchState.WAITING, WatchState.CONNECTING) else None

    # ------------------------------------------------------------ states

    def _transition_connecting(self) -> None:
        request = HttpRequest(
            request=self._context.new_request_id(),
            address=self._address,
            method="POST",
            path=request_bodies.WATCH_PATH,
            headers={"content-type": "application/json"},
            body=request_bodies.watch_body(self._prefix, self._next_revision),
            framing=Framing.JSON_LINES,
            timeout=SILENCE_SECONDS,
            allow_retry=True,
        )
        self._request = request.request
        self._state = WatchState.CONNECTING
        self._due = self._context.now + self.connect_timeout
        self._context.counters["yokeline_store_watch_connects_total"] += 1
        self._context.send_http(request, self._answered)

    def _transition_open(self) -> None:
        self._state = WatchState.OPEN
        self._listener.watch_opened()

    def _transition_waiting(self) -> None:
        self._failures += 1
        pause = backoff_seconds(self._failures, self._limits, self._context.random)
        was_open = self._state is WatchState.OPEN
        self._state = WatchState.WAITING
        self._due = self._context.now + pause
        self._request = None
        if was_open:
            self._listener.watch_lost()

    def _transition_over(self) -> None:
        self._drop_request()
        self._state = WatchState.OVER
        self._listener.watch_compacted()

    def _drop_request(self) -> None:
        if self._request is not None:
            self._context.cancel_http(self._request)
            self._request = None

    # ------------------------------------------------------------ answers

    def _answered(self, answer: HttpAnswer) -> None:
        if isinstance(answer, HttpStreamItem):
            self._received(answer.data)
        elif isinstance(answer, HttpResponse) and answer.status == HTTP_OK:
            self._transition_open()
        else:
            self._transition_waiting()

    def _received(self, line: bytes) -> None:
        if not line.strip():
            return
        decoded = protocol.decode_watch_line(line)
        if isinstance(decoded, Failure):
            self._context.counters["yokeline_store_watch_malformed_total"] += 1
            self._drop_request()
            self._transition_waiting()
            return
        batch = decoded.unwrap()
        self._failures = 0
        if batch.compacted:
            self._transition_over()
            return
        if batch.upto >= self._next_revision:
            self._next_revision = batch.upto + 1
            self._listener.watch_delivered(batch.events, batch.upto)
        if batch.ended and self.active:
            self._drop_request()
            self._transition_waiting()
