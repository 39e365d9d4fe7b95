"""Sockets that listen, made with the standard library alone.

A process that starts opens them before it imports anything large: what connects meanwhile waits
in the kernel's queue, where a closed port would refuse it. See :mod:`yokeline.early_sockets`.
"""

from __future__ import annotations

import contextlib
import socket

LISTEN_BACKLOG = 4096
DATAGRAM_BUFFER_BYTES = 1024 * 1024


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a TCP socket that listens; ``port`` 0 takes a free one.

    Raises:
        OSError: The address cannot be used, or ``host`` is no IPv4 number.
    """
    check_ip_number(host)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock


def datagram_socket(host: str, port: int) -> socket.socket:
    """Return a bound UDP socket.

    Raises:
        OSError: The address cannot be used.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, DATAGRAM_BUFFER_BYTES)
        sock.bind((host, port))
    except BaseException:
        sock.close()
        raise
    return sock


def check_ip_number(host: str) -> None:
    """Refuse what is no IPv4 number: a name would be looked up, and block the event loop.

    Raises:
        OSError: It is none.
    """
    try:
        socket.inet_pton(socket.AF_INET, host)
    except ValueError as error:
        raise OSError(str(error)) from error
