"""Non-blocking TCP connections and listeners on the process's poller."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
import sys
from collections import deque
from typing import NamedTuple, Protocol

from yokeline.effects import Address
from yokeline.node.plain_sockets import check_ip_number
from yokeline.node.poller import SocketPoller

READ_BYTES = 65_536
_JOINED_BYTES = 65_536
"""Pieces of output are joined up to that size; larger ones are sent without a copy."""
_PROBES = 4
"""Unanswered keep-alive probes after which the other machine counts as gone."""
CANNOT_CONNECT = "cannot connect"
CONNECTION_REFUSED = f"{CANNOT_CONNECT}: ECONNREFUSED"
"""Reason of a failure: no process listens at the address."""
CLOSED_BY_PEER = "closed by the other end"
"""Reason of an orderly end: all that was written had been taken before the other end closed."""
_INT_BYTES = struct.calcsize("i")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_NO_LINGER = struct.pack("ii", 0, 0)


class KernelBytes(NamedTuple):
    """Bytes of a connection that the kernel holds.

    Attributes:
        unread: Received, and not read by this process.
        unacknowledged: Sent by this process, and not acknowledged by the other machine.
    """

    unread: int
    unacknowledged: int


class ConnectionOwner(Protocol):
    """What a connection tells its owner; all calls come from the event loop."""

    def connection_made(self) -> None:
        """The outgoing connection is there (never called for an accepted one)."""
        ...

    def data_received(self, data: bytes) -> None:
        """Bytes arrived."""
        ...

    def connection_lost(self, reason: str) -> None:
        """The connection ended other than by our own ``close``; called at most once."""
        ...


class _NoOwner:
    """Owner of a closed connection: nobody is told anything."""

    def connection_made(self) -> None:
        """Do nothing."""

    def data_received(self, data: bytes) -> None:
        """Do nothing."""

    def connection_lost(self, reason: str) -> None:
        """Do nothing."""


_NO_OWNER = _NoOwner()


class Connection:
    """A TCP connection that sends the output of a loop turn with as few calls as its size allows.

    Attributes:
        bytes_sent: Bytes that the kernel took so far.
        bytes_received: Bytes that were read so far.
        read_bytes: Largest piece that is read at a time.
    """

    def __init__(
        self,
        poller: SocketPoller,
        sock: socket.socket,
        owner: ConnectionOwner,
        *,
        max_unsent_bytes: int,
        connecting: bool = False,
    ) -> None:
        """Watch an accepted socket, or one whose connection is being made."""
        self.bytes_sent = 0
        self.bytes_received = 0
        self.read_bytes = READ_BYTES
        self._poller = poller
        self._sock = sock
        self._owner: ConnectionOwner = owner
        self._connecting = connecting
        self._max_unsent = max_unsent_bytes
        self._pending: deque[bytes] = deque()
        self._unsent = memoryview(b"")
        self._pending_bytes = 0
        self._sent_of_piece = 0
        self._flush_due = False
        self._reading = not connecting
        self._writing = connecting
        self._discarding = False
        self._send_error = ""
        self._finish_after_output = False
        self._resets_on_close = False
        self._is_aborted = False
        self.closed = False
        poller.watch(sock, self, reading=self._reading, writing=self._writing)

    @classmethod
    def open(
        cls,
        poller: SocketPoller,
        address: Address,
        owner: ConnectionOwner,
        *,
        max_unsent_bytes: int,
    ) -> Connection:
        """Begin to connect.

        Raises:
            OSError: The address is unusable or refused at once.
        """
        check_ip_number(address.host)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            result = sock.connect_ex((address.host, address.port))
            if result not in (0, errno.EINPROGRESS):
                raise OSError(result, errno.errorcode.get(result, "connect failed"))
        except BaseException:
            sock.close()
            raise
        return cls(poller, sock, owner, max_unsent_bytes=max_unsent_bytes, connecting=True)

    def set_silent_limit(self, seconds: float) -> None:
        """Give the connection up when the other machine is silent for about that long.

        Either bytes stay unacknowledged (TCP_USER_TIMEOUT), or probes of a connection
        without traffic do (keep-alive).
        """
        milliseconds = int(seconds * 1000)
        pause = max(1, int(seconds) // _PROBES)
        options = (
            (socket.TCP_USER_TIMEOUT, milliseconds),
            (socket.TCP_KEEPIDLE, pause),
            (socket.TCP_KEEPINTVL, pause),
            (socket.TCP_KEEPCNT, _PROBES),
        )
        with contextlib.suppress(OSError):  # it may be reset already; reading will tell
            for option, value in options:
                self._sock.setsockopt(socket.IPPROTO_TCP, option, value)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def write(self, data: bytes) -> None:
        """Send bytes at the end of this turn of the loop."""
        if self.closed or not data:
            return
        if self._send_error:
            return
        self._pending.append(data)
        self._pending_bytes += len(data)
        if self._pending_bytes > self._max_unsent:
            self._fail("the other end reads too slowly")
            return
        self._schedule_flush()

    def unsent_bytes(self) -> int:
        """Return how many bytes the kernel has not taken yet."""
        return self._pending_bytes

    def output_memory(self) -> int:
        """Return the memory of the output that the kernel has not taken.

        A piece that is partly sent is held whole.
        """
        return self._pending_bytes + self._sent_of_piece

    def kernel_bytes(self) -> KernelBytes:
        """Return what the kernel holds of the connection."""
        import fcntl  # Imported by the processes that exit with open connections only.
        import termios

        unread = bytearray(_INT_BYTES)
        unsent = bytearray(_INT_BYTES)
        with contextlib.suppress(OSError):
            fcntl.ioctl(self._sock, termios.FIONREAD, unread)
            fcntl.ioctl(self._sock, termios.TIOCOUTQ, unsent)
        return KernelBytes(
            unread=int.from_bytes(unread, sys.byteorder),
            unacknowledged=int.from_bytes(unsent, sys.byteorder),
        )

    def pause_reading(self) -> None:
        """Leave further bytes in the kernel until :meth:`resume_reading`."""
        self._set_interest(reading=False, writing=self._writing)

    def resume_reading(self) -> None:
        """Read again."""
        self._set_interest(reading=True, writing=self._writing)

    def close(self) -> None:
        """Close at once; unsent output is lost and the owner is not told.

        What the connection holds is freed here: a cycle of references to its owner would keep the
        buffers of both until a full garbage collection.
        """
        if not self.closed:
            self.closed = True
            self._poller.retire(self._sock)
            self._drop_output()
            self._owner = _NO_OWNER

    def reset_on_close(self) -> None:
        """Reset the connection however it ends, the process's death included.

        Only :meth:`finish_when_sent` ends it in the orderly way then.
        """
        self._resets_on_close = True
        self._set_linger(_RESET_ON_CLOSE)

    def finish_when_sent(self, *, aborted: bool = False) -> None:
        """Send all output, then no more, and throw away what still arrives.

        Closing with unread bytes would make the kernel reset the connection, and the other
        end lose the answer that says why. The owner hears of the end or closes by deadline.
        If ``aborted``, a connection of :meth:`reset_on_close` is reset instead.
        """
        self._is_aborted = aborted and self._resets_on_close
        self._discarding = True
        self._finish_after_output = True
        self.resume_reading()
        self._schedule_flush()

    def flush_output(self) -> None:
        """Send what was collected (called by the poller)."""
        self._flush_due = False
        if not self.closed and not self._connecting:
            self._send()

    def socket_ready(self, *, readable: bool, writable: bool) -> None:
        """Read and write what is possible (called by the poller)."""
        if self.closed:
            return
        if self._connecting:
            self._finish_connecting()
            return
        if writable and (self._pending_bytes or self._finish_after_output):
            self._send()
        if readable and not self.closed:
            self._receive()

    def cut_off(self, reason: str) -> None:
        """Close at once, and tell the owner why."""
        self._fail(reason)

    def abandon(self) -> None:
        """Close after a fault of our own (called by the poller)."""
        self._fail("a fault in this process")

    def _schedule_flush(self) -> None:
        if not self._flush_due and not self.closed:
            self._flush_due = True
            self._poller.flush_later(self)

    def _finish_connecting(self) -> None:
        result = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if result != 0:
            self._fail(f"{CANNOT_CONNECT}: {errno.errorcode.get(result, str(result))}")
            return
        self._connecting = False
        self._set_interest(reading=True, writing=False)
        self._owner.connection_made()
        self._schedule_flush()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(self.read_bytes)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._fail(f"receive failed: {_name(error)}")
            return
        if not data:
            self._fail(self._end_of_input())
            return
        self.bytes_received += len(data)
        if not self._discarding:
            self._owner.data_received(data)

    def _end_of_input(self) -> str:
        """Return why nothing more can be read."""
        if self._send_error:
            return f"send failed: {self._send_error}"
        if self._pending_bytes:
            return "closed by the other end before it had taken all that was sent"
        return CLOSED_BY_PEER

    def _send(self) -> None:
        try:
            while self._take_pending() and self._send_some():
                pass
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            self._stop_sending(_name(error))
            return
        if self._pending_bytes:
            self._set_interest(reading=self._reading, writing=True)
            return
        self._set_interest(reading=self._reading, writing=False)
        self._output_sent()

    def _stop_sending(self, error: str) -> None:
        """Drop all output; the end, or an answer sent before it, is still to be read.

        The kernel tells the error of a reset connection once, here. What is read afterwards ends as
        if the other end had closed in the orderly way.
        """
        self._drop_output()
        self._send_error = error
        self._set_interest(reading=True, writing=False)

    def _drop_output(self) -> None:
        self._pending.clear()
        self._unsent = memoryview(b"")
        self._pending_bytes = 0
        self._sent_of_piece = 0

    def _take_pending(self) -> bool:
        """Choose what is sent next; return False if there is nothing."""
        if self._unsent:
            return True
        if not self._pending:
            return False
        pieces = [self._pending.popleft()]
        size = len(pieces[0])
        while self._pending and size + len(self._pending[0]) <= _JOINED_BYTES:
            pieces.append(self._pending.popleft())
            size += len(pieces[-1])
        self._unsent = memoryview(pieces[0] if len(pieces) == 1 else b"".join(pieces))
        self._sent_of_piece = 0
        return True

    def _send_some(self) -> bool:
        """Send; return whether the kernel took all of it."""
        count = self._sock.send(self._unsent)
        self.bytes_sent += count
        self._pending_bytes -= count
        if count < len(self._unsent):
            self._unsent = self._unsent[count:]
            self._sent_of_piece += count
        else:
            self._unsent = memoryview(b"")
            self._sent_of_piece = 0
        return not self._unsent

    def _output_sent(self) -> None:
        if not self._finish_after_output:
            return
        self._finish_after_output = False
        if self._is_aborted:
            self._fail("aborted")
            return
        if self._resets_on_close:
            self._set_linger(_NO_LINGER)
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def _set_linger(self, option: bytes) -> None:
        with contextlib.suppress(OSError):  # it may be reset already; reading will tell
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def _set_interest(self, *, reading: bool, writing: bool) -> None:
        if self.closed or (reading, writing) == (self._reading, self._writing):
            return
        self._reading = reading
        self._writing = writing
        self._poller.change(self._sock, reading=reading, writing=writing)

    def _fail(self, reason: str) -> None:
        if not self.closed:
            owner = self._owner
            self.close()
            owner.connection_lost(reason)


def _name(error: OSError) -> str:
    if error.errno is None:
        return str(error)
    return errno.errorcode.get(error.errno, str(error.errno))
