"""Membership datagrams (UDP).

The UDP component of circuits closes its socket for good at any error of one read, and
spends four events on a datagram; this one works on the poller directly.
"""

from __future__ import annotations

import contextlib
import socket
from collections import Counter

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from returns.result import Success

from yokeline.effects import Address, DatagramArrived, SendDatagram
from yokeline.node.bridge import Bridge
from yokeline.node.limits import PeerLimits
from yokeline.node.plain_sockets import check_ip_number
from yokeline.node.poller import SocketPoller
from yokeline.node.wire_codec import WireCodec, default_codec

DATAGRAMS_PER_TURN = 256


class DatagramEndpoint(BaseComponent):
    """Sends and receives the datagrams of one service.

    Attributes:
        counters: Datagrams dropped, by reason.
    """

    channel = "datagrams"

    def __init__(
        self,
        bridge: Bridge,
        poller: SocketPoller,
        sock: socket.socket,
        limits: PeerLimits,
        codec: WireCodec | None = None,
    ) -> None:
        """Serve a bound socket."""
        super().__init__(channel=bridge.channel)
        self.counters: Counter[str] = Counter()
        self._codec = codec or default_codec()
        self._bridge = bridge
        self._poller = poller
        self._sock = sock
        self._limits = limits
        sock.setblocking(False)
        poller.watch(sock, self, reading=True, writing=False)
        bridge.carry_out_with(SendDatagram, self.send_datagram)

    def send_datagram(self, effect: SendDatagram) -> None:
        """Send a datagram, or drop it when the kernel has no room."""
        data = self._codec.encode_datagram(effect.message)
        try:
            check_ip_number(effect.address.host)
            self._sock.sendto(data, (effect.address.host, effect.address.port))
        except (OSError, OverflowError, UnicodeError):
            self.counters["not_sent"] += 1

    def socket_ready(self, *, readable: bool, writable: bool) -> None:
        """Take what arrived, within a bound per turn (called by the poller)."""
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data, source = self._sock.recvfrom(self._limits.max_datagram_bytes)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.counters["receive_error"] += 1
                return
            self._take(data, Address(source[0], source[1]))

    def abandon(self) -> None:
        """Go on: what met the fault has been taken from the socket."""

    def _take(self, data: bytes, source: Address) -> None:
        decoded = self._codec.decode_datagram(data)
        if not isinstance(decoded, Success):
            self.counters["malformed"] += 1
            return
        self._bridge.submit(DatagramArrived(source=source, message=decoded.unwrap()))

    @handler("service_stopped")
    def _on_service_stopped(self, exit_code: int, output_seconds: float) -> None:
        with contextlib.suppress(OSError):
            self._poller.retire(self._sock)
