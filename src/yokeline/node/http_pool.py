"""Kept connections of the HTTP client, bounded per address and in all."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable

import h11

from yokeline.effects import Address
from yokeline.node.connection import CLOSED_BY_PEER, Connection, ConnectionOwner
from yokeline.node.deadlines import Deadline, DeadlineQueue
from yokeline.node.limits import ClientLimits
from yokeline.node.poller import SocketPoller
from yokeline.node.read_pacing import CostlyReads, ReadPacer

_KEEP_MARGIN_SECONDS = 0.8
"""A kept connection is closed this much before its server would close it."""


class ClientConnection:
    """A connection to a back end with its codec; used by one call at a time.

    Attributes:
        items_read: Items of a stream that the latest piece has brought.
    """

    def __init__(
        self, poller: SocketPoller, address: Address, limits: ClientLimits, pool: ConnectionPool
    ) -> None:
        """Begin to connect.

        Raises:
            OSError: The address is unusable.
        """
        self.address = address
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.max_header_bytes)
        self.user: ConnectionOwner | None = None
        self.idle_deadline: Deadline | None = None
        self.used_before = False
        self.keep_seconds: float | None = None
        self._max_header_bytes = limits.max_header_bytes
        self._pool = pool
        self.link = Connection.open(poller, address, self, max_unsent_bytes=limits.max_unsent_bytes)
        self.link.set_silent_limit(limits.silent_seconds)
        self._pacer = ReadPacer(self.link, pool.costly_reads)
        self.items_read = 0

    def fresh_codec(self) -> h11.Connection:
        """Follow the connection with a codec that has seen nothing yet, and return it."""
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=self._max_header_bytes)
        return self.codec

    def connection_made(self) -> None:
        """Pass it on to the call."""
        if self.user is not None:
            self.user.connection_made()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the call; bytes that nobody asked for end the connection."""
        if self.user is None:
            self._pool.discard(self)
            return
        user = self.user
        self._pacer.begin_read()
        self.items_read = 0
        user.data_received(data)
        # The piece may have completed the response. The next call must not wait for its cost.
        if self.user is user:
            self._pacer.note_read(self.items_read)

    def connection_lost(self, reason: str) -> None:
        """Pass the end on to the call, or leave the pool."""
        user = self.user
        self.user = None
        self._pool.discard(self)
        if user is not None:
            user.connection_lost(reason)

    def read_without_pause(self) -> None:
        """Do not wait with the next read, since the connection has no response to read."""
        self._pacer.stop()

    def peer_closed(self, reason: str) -> bool:
        """Return whether the other end closed in the orderly way (TCP FIN)."""
        return reason == CLOSED_BY_PEER


class ConnectionPool:
    """All connections of the client: those in use and those kept for the next call.

    Connections in use are bounded too. A call over the bound fails at once instead of
    waiting here: queues belong to the scheduler, which knows priorities and deadlines.
    """

    def __init__(
        self, poller: SocketPoller, deadlines: DeadlineQueue, limits: ClientLimits
    ) -> None:
        """Start empty."""
        self._poller = poller
        self._deadlines = deadlines
        self._limits = limits
        self._idle: OrderedDict[ClientConnection, None] = OrderedDict()
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}
        self.costly_reads = CostlyReads(deadlines)
        self._open: set[ClientConnection] = set()
        self._open_by_address: Counter[Address] = Counter()

    def take_idle(self, address: Address) -> ClientConnection | None:
        """Return the kept connection that was used last, if there is one."""
        kept = self._idle_by_address.get(address)
        if not kept:
            return None
        connection = kept[-1]
        self._leave_idle(connection)
        connection.used_before = True
        return connection

    def has_room(self, address: Address) -> bool:
        """Return whether one more connection may be opened, closing a kept one if need be."""
        if self._open_by_address[address] >= self._limits.max_connections_per_address:
            kept = self._idle_by_address.get(address)
            if not kept:
                return False
            self.discard(kept[0])
        if len(self._open) >= self._limits.max_connections and self._idle:
            self.discard(next(iter(self._idle)))
        return len(self._open) < self._limits.max_connections

    def connect(self, address: Address) -> ClientConnection:
        """Begin a new connection.

        Raises:
            OSError: The address is unusable.
        """
        connection = ClientConnection(self._poller, address, self._limits, self)
        self._open.add(connection)
        self._open_by_address[address] += 1
        return connection

    def give_back(self, connection: ClientConnection) -> None:
        """Keep a connection whose call is complete, if it can serve another one."""
        connection.user = None
        connection.read_without_pause()
        if not self._reusable(connection):
            self.discard(connection)
            return
        connection.codec.start_next_cycle()
        kept = self._idle_by_address.setdefault(connection.address, [])
        if len(kept) >= self._limits.max_idle_per_address:
            self.discard(kept[0])
            kept = self._idle_by_address.setdefault(connection.address, [])
        if len(self._idle) >= self._limits.max_idle_connections:
            self.discard(next(iter(self._idle)))
            kept = self._idle_by_address.setdefault(connection.address, [])
        kept.append(connection)
        self._idle[connection] = None
        connection.idle_deadline = self._deadlines.call_after(
            self._idle_seconds(connection), self._closer(connection)
        )

    def discard(self, connection: ClientConnection) -> None:
        """Close a connection and forget it."""
        connection.user = None
        connection.link.close()
        connection.read_without_pause()
        self._leave_idle(connection)
        if connection in self._open:
            self._open.remove(connection)
            self._open_by_address[connection.address] -= 1
            if not self._open_by_address[connection.address]:
                del self._open_by_address[connection.address]

    def close_idle(self, address: Address) -> None:
        """Close the kept connections to an address."""
        for connection in list(self._idle_by_address.get(address, ())):
            self.discard(connection)

    def close_all(self) -> None:
        """Close every connection, also those in use."""
        for connection in list(self._open):
            self.discard(connection)

    def open_count(self) -> int:
        """Return how many connections are open."""
        return len(self._open)

    def _reusable(self, connection: ClientConnection) -> bool:
        codec = connection.codec
        done = codec.our_state is h11.DONE and codec.their_state is h11.DONE
        quiet = not codec.trailing_data[0] and not connection.link.unsent_bytes()
        return done and quiet and not connection.link.closed

    def _idle_seconds(self, connection: ClientConnection) -> float:
        """Return how long to keep a connection: less than the server says it does."""
        if connection.keep_seconds is None:
            return self._limits.idle_seconds
        safe = connection.keep_seconds - _KEEP_MARGIN_SECONDS
        return max(0.0, min(self._limits.idle_seconds, safe))

    def _closer(self, connection: ClientConnection) -> Callable[[], None]:
        return lambda: self.discard(connection)

    def _leave_idle(self, connection: ClientConnection) -> None:
        if connection.idle_deadline is not None:
            connection.idle_deadline.cancel()
            connection.idle_deadline = None
        if connection not in self._idle:
            return
        del self._idle[connection]
        kept = self._idle_by_address[connection.address]
        kept.remove(connection)
        if not kept:
            del self._idle_by_address[connection.address]
