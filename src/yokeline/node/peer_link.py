"""The outgoing connection to one peer address: a bounded queue, and reconnection."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable

import absl.logging

from yokeline.effects import Address
from yokeline.identifiers import ReplicaId
from yokeline.node.connection import Connection
from yokeline.node.deadlines import Deadline, DeadlineQueue
from yokeline.node.limits import PeerLimits
from yokeline.node.memory_budget import Buffer, BufferKind
from yokeline.node.poller import SocketPoller
from yokeline.node.reconnects import ReconnectSchedule

_REPORT_SECONDS = 10.0
"""Least time between two log lines about dropped frames."""


class PeerLink:
    """Sends frames to one address, best effort and in order.

    It connects when there is something to send. While there is no connection, frames wait
    up to a size and an age; the oldest are dropped first and counted.

    Attributes:
        replica: The recipient of the latest message; None before the first one.
    """

    def __init__(
        self,
        address: Address,
        poller: SocketPoller,
        deadlines: DeadlineQueue,
        limits: PeerLimits,
        source: random.Random,
        closed: Callable[[Address], None],
    ) -> None:
        """Create it without a connection; ``closed`` is called when it falls out of use."""
        self.address = address
        self.replica: ReplicaId | None = None
        self.dropped_frames = 0
        self._poller = poller
        self._deadlines = deadlines
        self._limits = limits
        self._reconnects = ReconnectSchedule(limits, source)
        self._closed = closed
        self._waiting: deque[tuple[float, bytes]] = deque()
        self._waiting_bytes = 0
        self._connection: Connection | None = None
        self._connected = False
        self._attempt: Deadline | None = None
        self._connect_deadline: Deadline | None = None
        self._last_use = time.monotonic()
        self._last_report = float("-inf")
        self._watch_idle()

    def send(self, frame: bytes) -> None:
        """Send a frame, now or once connected."""
        self._last_use = time.monotonic()
        if self._connected and self._connection is not None:
            self._write(frame)
            return
        self._waiting.append((self._last_use, frame))
        self._waiting_bytes += len(frame)
        self._drop_beyond_limits()
        if self._connection is None and self._attempt is None:
            self._connect()

    def peer_heard(self) -> None:
        """Connect now instead of after the pause, because the peer has just sent a message."""
        if self._attempt is None or not self._waiting:
            return
        if self._reconnects.may_attempt_early(time.monotonic()):
            self._attempt.cancel()
            self._connect()

    def close(self) -> None:
        """Close the connection and forget what waits."""
        self._waiting.clear()
        self._waiting_bytes = 0
        self._connected = False
        for deadline in (self._attempt, self._connect_deadline, self._idle_check):
            if deadline is not None:
                deadline.cancel()
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def unsent_bytes(self) -> int:
        """Return how many bytes the kernel has not taken yet."""
        connection = self._connection
        return self._waiting_bytes + (connection.unsent_bytes() if connection else 0)

    def buffer(self) -> Buffer:
        """Return the frames that the kernel has not taken."""
        memory = self._connection.output_memory() if self._connection is not None else 0
        size = self._waiting_bytes + memory
        return Buffer(BufferKind.FRAME, size, self._last_use, self._drop_frames)

    def _drop_frames(self, reason: str) -> None:
        """Drop what waits; a frame that is partly out cannot be taken back, so reconnect."""
        self._count_dropped(max(1, len(self._waiting)))
        self._waiting.clear()
        self._waiting_bytes = 0
        if self._connected and self._connection is not None:
            self._connection.cut_off(reason)

    # ------------------------------------------------------------ from the connection

    def connection_made(self) -> None:
        """Send what waited."""
        assert self._connection is not None
        self._cancel_connect_deadline()
        self._connected = True
        self._reconnects.connected()
        self._connection.set_silent_limit(self._limits.silent_seconds)
        self._drop_beyond_limits()
        waiting = self._waiting
        self._waiting = deque()
        self._waiting_bytes = 0
        for _, frame in waiting:
            self._write(frame)

    def data_received(self, data: bytes) -> None:
        """Ignore bytes: the other node answers over its own connection to us."""

    def connection_lost(self, reason: str) -> None:
        """Connect again, after a pause, if frames wait."""
        was_connected = self._connected
        self._connected = False
        self._connection = None
        self._cancel_connect_deadline()
        if was_connected:
            absl.logging.info(
                {"event": "peer_link_lost", "address": str(self.address), "reason": reason}
            )
        self._retry_later()

    # ------------------------------------------------------------ connecting

    def _connect(self) -> None:
        self._attempt = None
        if not self._waiting:
            return
        timeout = self._reconnects.begin_attempt(time.monotonic())
        try:
            self._connection = Connection.open(
                self._poller,
                self.address,
                self,
                max_unsent_bytes=self._limits.max_queue_bytes,
            )
        except (OSError, OverflowError, UnicodeError):
            self._retry_later()
            return
        self._connect_deadline = self._deadlines.call_after(timeout, self._on_connect_timeout)

    def _on_connect_timeout(self) -> None:
        self._connect_deadline = None
        if self._connection is not None:
            self._connection.close()
            self.connection_lost("no connection in time")

    def _retry_later(self) -> None:
        self._drop_beyond_limits()
        if self._attempt is not None:
            return
        pause = self._reconnects.attempt_failed(time.monotonic())
        self._attempt = self._deadlines.call_after(pause, self._connect)

    def _cancel_connect_deadline(self) -> None:
        if self._connect_deadline is not None:
            self._connect_deadline.cancel()
            self._connect_deadline = None

    # ------------------------------------------------------------ queue

    def _write(self, frame: bytes) -> None:
        """Write a frame unless the other end is too far behind.

        A frame that is partly out cannot be taken back, so the newest one is dropped here.
        """
        assert self._connection is not None
        if self._connection.unsent_bytes() + len(frame) > self._limits.max_queue_bytes:
            self._count_dropped()
            return
        self._connection.write(frame)

    def _drop_beyond_limits(self) -> None:
        oldest = time.monotonic() - self._limits.max_queue_seconds
        while self._waiting:
            queued_at, frame = self._waiting[0]
            if self._waiting_bytes <= self._limits.max_queue_bytes and queued_at >= oldest:
                return
            self._waiting.popleft()
            self._waiting_bytes -= len(frame)
            self._count_dropped()

    def _count_dropped(self, count: int = 1) -> None:
        self.dropped_frames += count
        now = time.monotonic()
        if now - self._last_report >= _REPORT_SECONDS:
            self._last_report = now
            absl.logging.warning(
                {
                    "event": "peer_frames_dropped",
                    "address": str(self.address),
                    "dropped": self.dropped_frames,
                }
            )

    def _watch_idle(self) -> None:
        self._idle_check = self._deadlines.call_after(self._limits.idle_seconds, self._on_idle)

    def _on_idle(self) -> None:
        if time.monotonic() - self._last_use < self._limits.idle_seconds:
            self._watch_idle()
            return
        self.close()
        self._closed(self.address)
