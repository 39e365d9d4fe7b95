"""The process's event loop: a circuits poller that calls the owners of ready sockets directly.

The poller of circuits fires one event for each ready socket, and its socket components fire
one more for each piece read and two for each piece written; at 23 microseconds an event that
is a quarter of a core at 2,000 streamed pieces a second. Here the byte level uses method
calls: a turn of the loop reads all ready sockets, the services then take in everything that
arrived as one circuits event, and what they wrote is sent at the end of the turn with one
system call per connection.
"""

from __future__ import annotations

import contextlib
import select
import socket
import time
import traceback
from collections import deque
from typing import Any, Protocol

import absl.logging
from circuits.core.pollers import EPoll

_READING = select.EPOLLIN
_WRITING = select.EPOLLOUT
_BROKEN = select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP
_NO_WAIT = 0.0
MAX_TURN_SECONDS = 0.05
"""Time for ready sockets in one turn of the loop; the others come before new ones in the next turn,
after timers, signals and the services."""


class Watcher(Protocol):
    """Owns a file descriptor that the poller watches."""

    def socket_ready(self, *, readable: bool, writable: bool) -> None:
        """Read or write without blocking."""
        ...

    def abandon(self) -> None:
        """Recover from a fault of our own in ``socket_ready``, so that it cannot repeat."""
        ...


class Flushable(Protocol):
    """Collects output during a turn of the loop."""

    def flush_output(self) -> None:
        """Send what was collected."""
        ...


class SocketPoller(EPoll):
    """A circuits ``EPoll`` that also serves :class:`Watcher` objects, without events."""

    channel = "poller"

    def __init__(self) -> None:
        """Start with no socket."""
        super().__init__(channel=self.channel)
        self._watchers: dict[int, Watcher] = {}
        self._unflushed: list[Flushable] = []
        self._retired: list[socket.socket] = []
        self.turns = 0
        self._ready: deque[tuple[int, int]] = deque()

    def watch(self, sock: socket.socket, watcher: Watcher, *, reading: bool, writing: bool) -> None:
        """Watch a socket until :meth:`retire`."""
        number = sock.fileno()
        if self._ready:  # readiness of an earlier socket with the same number
            self._ready = deque(item for item in self._ready if item[0] != number)
        self._watchers[number] = watcher
        self._poller.register(sock.fileno(), _mask(reading, writing))

    def change(self, sock: socket.socket, *, reading: bool, writing: bool) -> None:
        """Change what a watched socket is watched for."""
        self._poller.modify(sock.fileno(), _mask(reading, writing))

    def retire(self, sock: socket.socket) -> None:
        """Stop watching a socket, and close it at the end of the turn.

        Closing at once would let a socket opened in the same turn get the same number, and
        with it the readiness that was reported for the old one.
        """
        if self._watchers.pop(sock.fileno(), None) is not None:
            with contextlib.suppress(OSError):
                self._poller.unregister(sock.fileno())
        self._retired.append(sock)

    def flush_later(self, output: Flushable) -> None:
        """Call ``output.flush_output()`` once before the loop next waits."""
        self._unflushed.append(output)

    def settle(self) -> None:
        """Send what was collected and close what was retired."""
        while self._unflushed:
            batch = self._unflushed
            self._unflushed = []
            for output in batch:
                self._guard(output.flush_output)
        retired = self._retired
        self._retired = []
        for sock in retired:
            sock.close()

    def _generate_events(self, event: Any) -> None:
        """Wait for sockets (called by circuits once per turn of the loop)."""
        self.settle()
        self.turns += 1
        if not self._ready:
            timeout = _NO_WAIT if len(self.root) else event.time_left
            self._ready.extend(self._poller.poll() if timeout < 0 else self._poller.poll(timeout))
        ends_at = time.monotonic() + MAX_TURN_SECONDS
        while self._ready and time.monotonic() < ends_at:
            number, mask = self._ready.popleft()
            watcher = self._watchers.get(number)
            if watcher is None:
                self._process(number, mask)
                continue
            broken = bool(mask & _BROKEN)
            readable = broken or bool(mask & _READING)
            writable = broken or bool(mask & _WRITING)
            if not self._guard(watcher.socket_ready, readable=readable, writable=writable):
                self._guard(watcher.abandon)
        self.settle()

    def _guard(self, call: Any, **arguments: bool) -> bool:
        """Call, and log a fault of our own instead of losing the rest of the turn."""
        try:
            call(**arguments)
        except Exception:  # a fault in one connection must not stop the others
            absl.logging.error({"event": "transport_fault", "trace": traceback.format_exc()})
            return False
        return True


def _mask(reading: bool, writing: bool) -> int:
    mask = 0
    if reading:
        mask |= _READING
    if writing:
        mask |= _WRITING
    return mask
