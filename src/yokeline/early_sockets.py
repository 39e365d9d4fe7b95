"""Listens on a role's addresses in the first milliseconds of its process.

Imports take a few tenths of a second. A caller, a peer or a storage node that connects in that
time is kept in the kernel's queue until the role serves it; a port that is still closed would
refuse it, and a caller has few tries. Only the standard library is imported here.
"""

from __future__ import annotations

import contextlib
import socket
import tomllib

from yokeline.node.plain_sockets import datagram_socket, listening_socket

_AddressKey = tuple[str, int]


class EarlySockets:
    """Sockets opened before the role was imported, by address."""

    def __init__(self) -> None:
        """Begin with none."""
        self._listeners: dict[_AddressKey, socket.socket] = {}
        self._datagrams: dict[_AddressKey, socket.socket] = {}

    def listen(self, host: str, port: int) -> None:
        """Listen on an address; one that cannot be used is left to the role, which says why."""
        with contextlib.suppress(OSError, OverflowError):
            self._listeners[host, port] = listening_socket(host, port)

    def receive(self, host: str, port: int) -> None:
        """Take datagrams at an address."""
        with contextlib.suppress(OSError, OverflowError):
            self._datagrams[host, port] = datagram_socket(host, port)

    def take_listener(self, host: str, port: int) -> socket.socket | None:
        """Hand over the listener of an address, if there is one."""
        return self._listeners.pop((host, port), None)

    def take_datagrams(self, host: str, port: int) -> socket.socket | None:
        """Hand over the datagram socket of an address, if there is one."""
        return self._datagrams.pop((host, port), None)

    def close(self) -> None:
        """Close what nobody took."""
        for sock in [*self._listeners.values(), *self._datagrams.values()]:
            sock.close()
        self._listeners.clear()
        self._datagrams.clear()


def open_early(settings_path: str) -> EarlySockets:
    """Open the sockets that a role's settings file names; none if it cannot be read.

    What is wrong with the file is told later, when its settings are checked.
    """
    early = EarlySockets()
    try:
        with open(settings_path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError):
        return early
    for name in ("front", "ready"):
        host, _, port = str(fields.get(name, "")).rpartition(":")
        if host and port.isdigit():
            early.listen(host, int(port))
    own_host, peer_port = fields.get("host"), fields.get("peer_port")
    if isinstance(own_host, str) and isinstance(peer_port, int) and peer_port:
        early.listen(own_host, peer_port)
        early.receive(own_host, peer_port)
    return early
