"""Accepts TCP connections on the process's poller."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Callable

from yokeline.node.deadlines import DeadlineQueue
from yokeline.node.plain_sockets import LISTEN_BACKLOG
from yokeline.node.poller import SocketPoller

ACCEPTS_PER_TURN = 128
ACCEPT_PAUSE_SECONDS = 0.2
"""Pause after running out of file descriptors, so that the loop does not spin."""
_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """Accepts connections on a listening socket."""

    def __init__(
        self,
        poller: SocketPoller,
        deadlines: DeadlineQueue,
        sock: socket.socket,
        accepted: Callable[[socket.socket], None],
    ) -> None:
        """Call ``accepted`` with each new, non-blocking socket."""
        self._poller = poller
        self._deadlines = deadlines
        self._sock = sock
        self._accepted = accepted
        self._closed = False
        sock.setblocking(False)
        poller.watch(sock, self, reading=True, writing=False)

    def close(self) -> None:
        """Stop listening."""
        if not self._closed:
            self._closed = True
            self._poller.retire(self._sock)

    def finish(self) -> None:
        """Stop listening, after accepting what the kernel has accepted.

        It would reset these connections, and their callers could not tell whether what they
        had sent was read.
        """
        self._accept(LISTEN_BACKLOG)
        self.close()

    def socket_ready(self, *, readable: bool, writable: bool) -> None:
        """Accept what waits, within a bound per turn."""
        self._accept(ACCEPTS_PER_TURN)

    def _accept(self, most: int) -> None:
        for _ in range(most):
            if self._closed:
                return
            try:
                sock, _address = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in _EXHAUSTED:
                    self._pause()
                    return
                continue
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._accepted(sock)

    def abandon(self) -> None:
        """Go on: what met the fault has been taken from the socket."""

    def _pause(self) -> None:
        self._poller.change(self._sock, reading=False, writing=False)
        self._deadlines.call_after(ACCEPT_PAUSE_SECONDS, self._resume)

    def _resume(self) -> None:
        if not self._closed:
            self._poller.change(self._sock, reading=True, writing=False)
