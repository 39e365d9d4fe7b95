r"""The HTTP server: requests of callers become events, replies and streams become bytes.

Why not ``circuits.web`` itself (trials with 3.2.5; the reasons go to docs/DESIGN.md): its
protocol component keeps the open request per connection and hands the *same* request out
again when more bytes arrive before the answer (one posting would run twice, and a HEAD is
answered again in place of the next GET); it takes the bytes after a request as its body or
loses them; it decodes ``\\x41`` escapes in header values; it takes Content-Length together
with Transfer-Encoding, and a negative length; it buffers bodies without a limit. Its own
``stream`` events do push chunks, at four circuits events a chunk. ``h11``, the codec of
the client side, is the nearest kin and checks both directions.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import time
from collections.abc import Iterator

import absl.logging
import msgspec
from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

from yokeline.effects import (
    Event,
    HttpReply,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamStart,
    SetServerLimits,
    StopListening,
)
from yokeline.identifiers import ExchangeId
from yokeline.node.bridge import Bridge
from yokeline.node.deadlines import DeadlineQueue
from yokeline.node.http_exchange import ServerConnection
from yokeline.node.limits import KIBIBYTE, ServerLimits
from yokeline.node.listener import Listener
from yokeline.node.memory_budget import Buffer, MemoryBudget
from yokeline.node.poller import SocketPoller
from yokeline.node.read_pacing import CostlyReads

CONNECTION_BYTES = 4 * KIBIBYTE
"""Objects that stand for a connection of a caller."""


_CLOSED_SHARE = 1 / 64
"""Share of the connections that is closed at a time when there are as many as allowed."""
_IDLE_LOOK_PAUSE_SECONDS = 0.1
LAST_READS_SECONDS = 0.2
"""Time at the exit to read requests that have arrived."""
_LOG_SECONDS = 1.0


class HttpServer(BaseComponent):
    """Listens for callers and keeps their connections."""

    channel = "http_server"

    def __init__(
        self,
        bridge: Bridge,
        poller: SocketPoller,
        deadlines: DeadlineQueue,
        sock: socket.socket,
        limits: ServerLimits,
        budget: MemoryBudget,
    ) -> None:
        """Serve on a listening socket; buffers draw on ``budget``."""
        super().__init__(channel=bridge.channel)
        self.budget = budget
        self.limits = limits
        self.deadlines = deadlines
        self.poller = poller
        self._bridge = bridge
        self._connections: set[ServerConnection] = set()
        self._exchanges: dict[ExchangeId, ServerConnection] = {}
        self._numbers = itertools.count(1)
        self._listener = Listener(poller, deadlines, sock, self._accept)
        self.refused_connections = 0
        self.closed_idle_connections = 0
        self._next_idle_look = 0.0
        self.costly_reads = CostlyReads(deadlines)
        bridge.carry_out_with(HttpReply, self._reply)
        bridge.carry_out_with(HttpStreamStart, self._start_stream)
        bridge.carry_out_with(HttpStreamData, self._stream_data)
        bridge.carry_out_with(HttpStreamEnd, self._end_stream)
        bridge.carry_out_with(SetServerLimits, self._set_limits)
        bridge.carry_out_with(StopListening, self._stop_listening)
        bridge.open_exchanges = lambda: self._exchanges
        budget.add_source(self)

    def open_exchange(self, connection: ServerConnection) -> ExchangeId:
        """Name a new exchange."""
        exchange = ExchangeId(f"x{next(self._numbers)}")
        self._exchanges[exchange] = connection
        return exchange

    def close_exchange(self, exchange: ExchangeId) -> None:
        """Forget an exchange whose answer ended or whose caller is gone."""
        self._exchanges.pop(exchange, None)

    def forget(self, connection: ServerConnection) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)

    def has_room_for(self, size: int) -> bool:
        """Return whether a body of that size may be read; count and log it if not."""
        if self.budget.has_room_for(size):
            return True
        self.budget.note_refused(size)
        return False

    def fixed_bytes(self) -> int:
        """Return the memory of the connections, and of the requests that are being served."""
        requests = sum(connection.request_bytes for connection in self._connections)
        return CONNECTION_BYTES * len(self._connections) + requests

    def buffers(self) -> Iterator[Buffer]:
        """Return what connections hold that can be freed."""
        for connection in self._connections:
            yield from connection.buffers()

    def submit(self, event: Event) -> None:
        """Hand an event to the service."""
        self._bridge.submit(event)

    def _accept(self, sock: socket.socket) -> None:
        if len(self._connections) >= self.limits.max_connections and not self._close_idle():
            self.refused_connections += 1
            sock.close()
            return
        self._connections.add(ServerConnection(self, sock))
        self.budget.note_growth(CONNECTION_BYTES)

    def _close_idle(self) -> bool:
        """Close connections that are least likely to be missed; return whether there were any.

        Several at a time, and after a look in vain none for a while, since the choice looks at all
        connections.
        """
        now = time.monotonic()
        if now < self._next_idle_look:
            return False
        ranked = [
            (rank, connection)
            for connection in self._connections
            if (rank := connection.idle_rank()) is not None
        ]
        ranked.sort(key=lambda item: item[0])
        most = max(1, int(_CLOSED_SHARE * self.limits.max_connections))
        for _, connection in ranked[:most]:
            self.closed_idle_connections += 1
            connection.close_idle()
        if not ranked:
            self._next_idle_look = now + _IDLE_LOOK_PAUSE_SECONDS
        else:
            absl.logging.log_every_n_seconds(
                absl.logging.WARNING,
                {
                    "event": "idle_connections_closed",
                    "closed": min(most, len(ranked)),
                    "closed_so_far": self.closed_idle_connections,
                    "bound": self.limits.max_connections,
                },
                _LOG_SECONDS,
            )
        return bool(ranked)

    def _reply(self, effect: HttpReply) -> None:
        connection = self._exchanges.get(effect.exchange)
        if connection is not None:
            with _answered_fault(connection):
                connection.reply(effect)
            self.budget.note_growth(len(effect.body))

    def _start_stream(self, effect: HttpStreamStart) -> None:
        connection = self._exchanges.get(effect.exchange)
        if connection is not None:
            with _answered_fault(connection):
                connection.start_stream(effect)

    def _stream_data(self, effect: HttpStreamData) -> None:
        connection = self._exchanges.get(effect.exchange)
        if connection is not None:
            with _answered_fault(connection):
                connection.stream_data(effect.data)
            self.budget.note_growth(len(effect.data))

    def _end_stream(self, effect: HttpStreamEnd) -> None:
        connection = self._exchanges.get(effect.exchange)
        if connection is not None:
            with _answered_fault(connection):
                connection.end_stream(aborted=effect.aborted)

    def _stop_listening(self, effect: StopListening) -> None:
        self._listener.finish()

    def _set_limits(self, effect: SetServerLimits) -> None:
        self.limits = msgspec.structs.replace(
            self.limits,
            max_header_bytes=effect.max_header_bytes,
            max_body_bytes=effect.max_body_bytes,
            request_seconds=effect.request_seconds,
            idle_seconds=effect.idle_seconds,
        )
        for connection in list(self._connections):
            connection.limits_changed()

    def unsent_bytes(self) -> int:
        """Return how many bytes of answers the kernel has not taken yet."""
        return sum(connection.unsent_bytes() for connection in self._connections)

    @handler("service_stopped", priority=2)
    def _read_last_requests(self, exit_code: int, output_seconds: float) -> None:
        """Read what callers have sent already, so that the service can refuse it.

        Closing with unread bytes would reset these connections, and their callers could not tell
        whether their requests were run. A crowd may have kept the loop from reading them.
        """
        self._listener.finish()
        ends_at = time.monotonic() + min(LAST_READS_SECONDS, output_seconds / 2)
        # The smallest first: a whole request of an ordinary caller waits behind no crowd's.
        unread = sorted(
            (
                (size, connection)
                for connection in self._connections
                if (size := connection.unread())
            ),
            key=lambda item: item[0],
        )
        for _, connection in unread:
            while time.monotonic() < ends_at and connection.read_more():
                pass

    @handler("service_stopped")
    def _on_service_stopped(self, exit_code: int, output_seconds: float) -> None:
        """Take no more connections; what is written is sent before the process ends."""
        self._listener.close()
        for connection in list(self._connections):
            connection.shut_down()


@contextlib.contextmanager
def _answered_fault(connection: ServerConnection) -> Iterator[None]:
    """Answer the exchange of a connection if writing to it raises; its caller would wait on."""
    try:
        yield
    except Exception:
        connection.answer_fault()
        raise
