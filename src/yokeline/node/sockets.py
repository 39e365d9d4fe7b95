"""Opens the listening sockets of a service, with errors that name the remedy."""

from __future__ import annotations

import errno
import socket

import msgspec
from returns.result import Failure, Result, Success

from yokeline.effects import Address
from yokeline.errors import ErrorKind, YokelineError
from yokeline.node.plain_sockets import datagram_socket, listening_socket

_PAIR_ATTEMPTS = 20
_REMEDIES = {
    errno.EADDRINUSE: "stop the process that listens there, or set another port",
    errno.EADDRNOTAVAIL: "set node.host to an IP number of this machine",
    errno.EACCES: "set a port above 1023, or give the process the right to use this one",
}
_OTHER_REMEDY = "set node.host and the ports to an address this machine can listen on"


class OpenSockets(msgspec.Struct, kw_only=True):
    """The sockets a service will be served on; None for those it does not have."""

    http: socket.socket | None = None
    peer: socket.socket | None = None
    datagrams: socket.socket | None = None

    def http_address(self) -> Address | None:
        """Return the address that the HTTP server really listens on."""
        return _address_of(self.http)

    def peer_address(self) -> Address | None:
        """Return the address of the peer transport and of the datagrams."""
        return _address_of(self.peer)

    def close(self) -> None:
        """Close all of them."""
        for sock in (self.http, self.peer, self.datagrams):
            if sock is not None:
                sock.close()


def open_sockets(http: Address | None, peer: Address | None) -> Result[OpenSockets, YokelineError]:
    """Bind the addresses; port 0 takes a free port (the same for TCP and UDP of ``peer``).

    Returns:
        The sockets, or a failure (kind BAD_SETTING) when an address cannot be used.
    """
    sockets = OpenSockets()
    for address, open_one in ((http, _open_http), (peer, _open_peer)):
        if address is None:
            continue
        try:
            open_one(sockets, address)
        except (OSError, OverflowError, ValueError) as error:
            sockets.close()
            return Failure(_unusable(address, error))
    return Success(sockets)


def _open_http(sockets: OpenSockets, address: Address) -> None:
    sockets.http = listening_socket(address.host, address.port)


def _open_peer(sockets: OpenSockets, address: Address) -> None:
    """Open TCP and UDP on one port number; a free one may be taken for UDP, so try again."""
    for attempt in range(_PAIR_ATTEMPTS):
        listener = listening_socket(address.host, address.port)
        bound = Address(address.host, listener.getsockname()[1])
        try:
            sockets.datagrams = datagram_socket(bound.host, bound.port)
        except OSError:
            listener.close()
            if address.port != 0 or attempt == _PAIR_ATTEMPTS - 1:
                raise
            continue
        sockets.peer = listener
        return


def _address_of(sock: socket.socket | None) -> Address | None:
    if sock is None:
        return None
    host, port = sock.getsockname()[:2]
    return Address(host, port)


def _unusable(address: Address, error: Exception) -> YokelineError:
    number = error.errno if isinstance(error, OSError) else None
    reason = (error.strerror if isinstance(error, OSError) else None) or str(error)
    return YokelineError(
        kind=ErrorKind.BAD_SETTING,
        message=f"cannot listen on {address}: {reason}",
        remedy=_REMEDIES.get(number or 0, _OTHER_REMEDY),
    )
