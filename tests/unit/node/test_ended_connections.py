"""What an ended connection held is freed at once, without a garbage collection."""

from __future__ import annotations

import gc
import socket
import unittest
import weakref

from yokeline.node.connection import Connection
from yokeline.node.poller import SocketPoller


class _Owner:
    """An owner that refers to its connection, as all owners do."""

    def __init__(self, poller: SocketPoller, sock: socket.socket) -> None:
        self.reason = ""
        self.connection = Connection(poller, sock, self, max_unsent_bytes=1 << 20)

    def connection_made(self) -> None:
        raise AssertionError("an accepted connection is there from the start")

    def data_received(self, data: bytes) -> None:
        raise AssertionError("nothing is sent")

    def connection_lost(self, reason: str) -> None:
        self.reason = reason


class EndedConnections(unittest.TestCase):
    def setUp(self) -> None:
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        self.poller = SocketPoller()
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        ours.setblocking(False)
        self.owner: _Owner | None = _Owner(self.poller, ours)

    def assert_freed(self) -> None:
        assert self.owner is not None
        owner = weakref.ref(self.owner)
        self.owner = None
        self.poller.settle()
        self.assertIsNone(owner())

    def test_a_closed_connection_frees_its_owner(self) -> None:
        assert self.owner is not None
        self.owner.connection.close()
        self.assert_freed()

    def test_a_connection_that_was_cut_off_frees_its_owner(self) -> None:
        assert self.owner is not None
        self.owner.connection.write(b"x" * 1000)
        self.owner.connection.cut_off("test")
        self.assertEqual(self.owner.reason, "test")
        self.assertEqual(self.owner.connection.unsent_bytes(), 0)
        self.assert_freed()
