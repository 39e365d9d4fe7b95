"""Links between the nodes of a deployment, each of which can be cut on its own.

Each node reads the key-value service through a view of its own, in which the records of the other
nodes name proxies that only this node uses. So what it sends to another node passes one link, and
a cut of the link loses it: connections fall silent, and datagrams are dropped.
"""

from __future__ import annotations

import base64
import contextlib
import socket
import threading
from collections.abc import Iterator
from typing import Any

import msgspec
from returns.result import Success

from tests.processes.cluster import HOST
from tests.processes.platform.stand_ins import StoreStandIn
from tests.processes.platform.wire import WireEffect, WireShape
from tests.soak.proxy import Proxy, ProxyFault
from yokeline.effects import Address, Event, HttpArrived
from yokeline.registry.nodes import NODE_PREFIX, decode_node, encode_node

_MAX_DATAGRAM_BYTES = 65536


class NodeLink:
    """What one node sends to another one: connections and datagrams to one port."""

    def __init__(self, target_port: int, port: int) -> None:
        """Listen on ``port`` and forward to ``target_port``, until the link is closed."""
        self.port = port
        self._target = (HOST, target_port)
        self._is_cut = False
        self._connections = Proxy(target_port, port)
        self._datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagrams.bind((HOST, port))
        threading.Thread(target=self._forward, daemon=True).start()

    def set_cut(self, is_cut: bool) -> None:
        """Cut the link, or let it pass again."""
        self._is_cut = is_cut
        self._connections.set_fault(ProxyFault.SILENCE if is_cut else ProxyFault.NONE)

    def close(self) -> None:
        """End the link and its connections."""
        self._connections.close()
        with contextlib.suppress(OSError):
            self._datagrams.shutdown(socket.SHUT_RDWR)
        self._datagrams.close()

    def _forward(self) -> None:
        while True:
            try:
                data = self._datagrams.recv(_MAX_DATAGRAM_BYTES)
            except ConnectionError:
                continue
            except OSError:
                return
            if data and not self._is_cut:
                with contextlib.suppress(OSError):
                    self._datagrams.sendto(data, self._target)


class NodeLinks:
    """The links between all nodes, made when a node first learns of another one."""

    def __init__(self, ports: Iterator[int]) -> None:
        """Take the ports of the links from ``ports``, which are free for either transport."""
        self._ports = ports
        self._links: dict[tuple[str, str], NodeLink] = {}
        self._cut: set[tuple[str, str]] = set()
        self._lock = threading.Lock()

    def port(self, sender: str, receiver: str, target_port: int) -> int:
        """Return the port under which one node reaches another one."""
        with self._lock:
            ends = (sender, receiver)
            link = self._links.get(ends)
            if link is None:
                link = self._links[ends] = NodeLink(target_port, next(self._ports))
                link.set_cut(ends in self._cut)
            return link.port

    def cut(self, ends: set[tuple[str, str]]) -> None:
        """Cut the links from senders to receivers."""
        self._set(ends, True)

    def restore(self, ends: set[tuple[str, str]]) -> None:
        """Let links pass again."""
        self._set(ends, False)

    def close(self) -> None:
        """End all links."""
        with self._lock:
            for link in self._links.values():
                link.close()

    def _set(self, ends: set[tuple[str, str]], is_cut: bool) -> None:
        with self._lock:
            if is_cut:
                self._cut |= ends
            else:
                self._cut -= ends
            for pair in ends & self._links.keys():
                self._links[pair].set_cut(is_cut)


class StoreView(StoreStandIn):
    """The key-value service as one node reads it: other nodes are behind its links."""

    def __init__(self, store: StoreStandIn, reader: str, links: NodeLinks) -> None:
        """Show the contents of ``store`` to ``reader``."""
        super().__init__()
        self.contents = store.contents
        self._store = store
        self._reader = reader
        self._links = links

    def wire_shape(self, event: HttpArrived) -> WireShape:
        self.shapes = self._store.shapes
        self.endless = self._store.endless
        return super().wire_shape(event)

    def handle(self, event: Event, now: float) -> list[WireEffect]:
        self.down = self._store.down
        self.cut_share = self._store.cut_share
        return super().handle(event, now)

    def _told(self, item: dict[str, Any]) -> dict[str, Any]:
        name = item["private-key"].removeprefix(NODE_PREFIX)
        if name in (item["private-key"], self._reader) or "value" not in item:
            return item
        read = decode_node(base64.b64decode(item["value"]))
        if not isinstance(read, Success):
            return item  # Another writer's, which names no node.
        record = read.unwrap()
        port = self._links.port(self._reader, name, record.address.port)
        told = msgspec.structs.replace(record, address=Address(HOST, port))
        return {**item, "value": base64.b64encode(encode_node(told)).decode()}
