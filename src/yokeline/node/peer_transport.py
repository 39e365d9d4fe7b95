"""Messages between nodes: one outgoing TCP connection per peer, any number of incoming."""

from __future__ import annotations

import random
import socket
import time
from collections import Counter
from collections.abc import Iterator

import absl.logging
from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from returns.result import Success

from yokeline.effects import Address, PeerMessage, SendPeer
from yokeline.errors import YokelineException
from yokeline.identifiers import ReplicaId
from yokeline.messages.framing import FrameReader, encode_frame
from yokeline.node.allocator import LARGE_BLOCK_BYTES, map_large_blocks
from yokeline.node.bridge import Bridge
from yokeline.node.connection import Connection
from yokeline.node.deadlines import DeadlineQueue
from yokeline.node.limits import KIBIBYTE, PeerLimits
from yokeline.node.listener import Listener
from yokeline.node.memory_budget import Buffer, BufferKind, MemoryBudget
from yokeline.node.peer_link import PeerLink
from yokeline.node.poller import SocketPoller
from yokeline.node.traffic import TrafficCount
from yokeline.node.wire_codec import WireCodec, default_codec

CONNECTION_BYTES = 4 * KIBIBYTE
"""Objects that stand for a connection to or from another node."""
LAST_SEND_SECONDS = 2.0
"""Time for the last messages of a stopped service to leave."""


class PeerTransport(BaseComponent):
    """Sends and receives peer messages of one process start.

    Attributes:
        counters: Frames dropped, by reason (those that waited too long or in too long a
            queue are in :meth:`dropped_frames`).
        refused_connections: Connections refused because there were as many as allowed.
        traffic: Bytes of messages by kind.
    """

    channel = "peer_transport"

    def __init__(
        self,
        bridge: Bridge,
        poller: SocketPoller,
        deadlines: DeadlineQueue,
        sock: socket.socket,
        replica: ReplicaId,
        limits: PeerLimits,
        budget: MemoryBudget,
        codec: WireCodec | None = None,
    ) -> None:
        """Listen for other nodes on a listening socket; frames draw on ``budget``."""
        super().__init__(channel=bridge.channel)
        self.budget = budget
        budget.add_source(self)
        self.replica = replica
        self.limits = limits
        self.poller = poller
        self.counters: Counter[str] = Counter()
        self.refused_connections = 0
        self.traffic = TrafficCount(deadlines)
        self._dropped_by_closed_links = 0
        self._codec = codec or default_codec()
        self._bridge = bridge
        self._deadlines = deadlines
        self._random = random.Random(replica)
        self._links: dict[Address, PeerLink] = {}
        self._links_by_replica: dict[ReplicaId, PeerLink] = {}
        self._incoming: dict[IncomingPeer, None] = {}
        self._listener = Listener(poller, deadlines, sock, self._accept)
        bridge.carry_out_with(SendPeer, self.send_message)

    def send_message(self, effect: SendPeer) -> None:
        """Queue a message for another node."""
        payload = self._codec.encode_peer(self.replica, effect.to, effect.message)
        try:
            frame = encode_frame(payload, self.limits.max_frame_bytes)
        except YokelineException as error:
            self.counters["frame_too_large"] += 1
            absl.logging.error({"event": "peer_frame_too_large", "reason": str(error)})
            return
        link = self._link(effect.address)
        self._name_link(effect.to, link)
        link.send(frame)
        self.budget.note_growth(len(frame))
        self.traffic.note_sent(effect.message, len(frame), link.unsent_bytes())

    def take_payload(self, payload: bytes) -> None:
        """Hand a received message to the service, if it is whole and meant for us."""
        decoded = self._codec.decode_peer(payload)
        if not isinstance(decoded, Success):
            self.counters["malformed"] += 1
            absl.logging.log_every_n_seconds(
                absl.logging.WARNING,
                {"event": "peer_frame_malformed", "reason": decoded.failure().message},
                1,
            )
            return
        frame = decoded.unwrap()
        self.traffic.note_received(frame.message, len(payload))
        if frame.recipient != self.replica:
            self.counters["other_recipient"] += 1
            return
        link = self._links_by_replica.get(frame.sender)
        if link is not None:
            link.peer_heard()
        self._bridge.submit(PeerMessage(sender=frame.sender, message=frame.message))

    def forget(self, peer: IncomingPeer) -> None:
        """Forget a closed incoming connection."""
        self._incoming.pop(peer, None)

    def dropped_frames(self) -> int:
        """Return how many outgoing frames were dropped for age or size of the queue."""
        open_links = sum(link.dropped_frames for link in self._links.values())
        return self._dropped_by_closed_links + open_links

    def fixed_bytes(self) -> int:
        """Return the memory of the connections."""
        return CONNECTION_BYTES * (len(self._incoming) + len(self._links))

    def buffers(self) -> Iterator[Buffer]:
        """Return the frames that arrive, and those that wait for other nodes."""
        for peer in self._incoming:
            if peer.held_bytes:
                yield peer.buffer()
        for link in self._links.values():
            if link.unsent_bytes():
                yield link.buffer()

    def unsent_bytes(self) -> int:
        """Return how many bytes of messages the kernel has not taken yet."""
        return sum(link.unsent_bytes() for link in self._links.values())

    def _link(self, address: Address) -> PeerLink:
        link = self._links.get(address)
        if link is None:
            link = PeerLink(
                address, self.poller, self._deadlines, self.limits, self._random, self._unused
            )
            self._links[address] = link
        return link

    def _name_link(self, replica: ReplicaId, link: PeerLink) -> None:
        """Note which link leads to a replica; each link has the replica of its last message."""
        if link.replica == replica and self._links_by_replica.get(replica) is link:
            return
        self._forget_name(link)
        link.replica = replica
        self._links_by_replica[replica] = link

    def _forget_name(self, link: PeerLink) -> None:
        if link.replica is not None and self._links_by_replica.get(link.replica) is link:
            del self._links_by_replica[link.replica]

    def _unused(self, address: Address) -> None:
        link = self._links.pop(address, None)
        if link is not None:
            self._forget_name(link)
            self._dropped_by_closed_links += link.dropped_frames

    def _accept(self, sock: socket.socket) -> None:
        if len(self._incoming) >= self.limits.max_connections and not self._close_unused():
            self.refused_connections += 1
            sock.close()
            return
        self._incoming[IncomingPeer(self, sock)] = None

    def _close_unused(self) -> bool:
        """Close the oldest connection that has brought no message; return whether there is one."""
        unused = next((peer for peer in self._incoming if not peer.has_sent), None)
        if unused is None:
            return False
        self.counters["unused_connection"] += 1
        unused.close()
        self.forget(unused)
        return True

    @handler("service_stopped")
    def _on_service_stopped(self, exit_code: int, output_seconds: float) -> None:
        self._listener.close()
        for peer in list(self._incoming):
            peer.close()
        self._incoming.clear()
        self._deadlines.call_after(LAST_SEND_SECONDS, self._close_links)

    def _close_links(self) -> None:
        for link in self._links.values():
            link.close()
        self._links.clear()


class IncomingPeer:
    """A connection that another node opened to send us messages.

    Attributes:
        has_sent: Whether it has brought a whole frame.
    """

    def __init__(self, transport: PeerTransport, sock: socket.socket) -> None:
        """Read frames from an accepted socket."""
        self._transport = transport
        self._reader = FrameReader(transport.limits.max_frame_bytes)
        self._connection = Connection(
            transport.poller, sock, self, max_unsent_bytes=transport.limits.max_frame_bytes
        )
        self._connection.set_silent_limit(transport.limits.silent_seconds)
        self._received_at = time.monotonic()
        self.has_sent = False

    @property
    def held_bytes(self) -> int:
        """Memory of the frame that is not whole."""
        return self._reader.held_bytes

    def buffer(self) -> Buffer:
        """Return what the connection holds of a frame."""
        return Buffer(BufferKind.FRAME, self.held_bytes, self._received_at, self._give_way)

    def _give_way(self, reason: str) -> None:
        self._transport.counters["memory"] += 1
        self._connection.cut_off(reason)

    def connection_made(self) -> None:
        """Unused: accepted connections are there from the start."""

    def data_received(self, data: bytes) -> None:
        """Take frames; a stream that is no yokeline peer's is closed."""
        self._received_at = time.monotonic()
        try:
            payloads = self._reader.feed(data)
        except YokelineException as error:
            self._transport.counters["bad_stream"] += 1
            absl.logging.log_every_n_seconds(
                absl.logging.WARNING, {"event": "peer_stream_refused", "reason": str(error)}, 1
            )
            self.close()
            self._transport.forget(self)
            return
        self.has_sent = self.has_sent or bool(payloads)
        for payload in payloads:
            self._transport.take_payload(payload)
        if self.held_bytes > LARGE_BLOCK_BYTES:
            map_large_blocks()
        self._transport.budget.note_growth(len(data))

    def connection_lost(self, reason: str) -> None:
        """Forget the connection."""
        self._reader = FrameReader(self._transport.limits.max_frame_bytes)
        self._transport.forget(self)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()
