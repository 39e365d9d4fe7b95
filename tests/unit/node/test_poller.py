"""A turn of the event loop is bounded, however many sockets are ready and whatever each costs."""

from __future__ import annotations

import socket
import time
import unittest
from unittest import mock

from circuits.core.pollers import EPoll

from yokeline.node.poller import MAX_TURN_SECONDS, SocketPoller


class _CostlyWatcher:
    def __init__(self) -> None:
        self.served = 0

    def socket_ready(self, *, readable: bool, writable: bool) -> None:
        self.served += 1
        time.sleep(MAX_TURN_SECONDS / 4)

    def abandon(self) -> None:
        raise AssertionError("nothing fails")


class Turns(unittest.TestCase):
    def setUp(self) -> None:
        self.poller = SocketPoller()
        self.watchers = [_CostlyWatcher() for _ in range(20)]
        for watcher in self.watchers:
            ours, theirs = socket.socketpair()
            self.addCleanup(ours.close)
            self.addCleanup(theirs.close)
            theirs.send(b"x")
            self.poller.watch(ours, watcher, reading=True, writing=False)
        self.event = mock.Mock(time_left=0.0)

    def turn(self) -> int:
        """Run a turn; return how many sockets were served in it."""
        before = sum(watcher.served for watcher in self.watchers)
        with mock.patch.object(EPoll, "root", [], create=True):
            self.poller._generate_events(self.event)
        return sum(watcher.served for watcher in self.watchers) - before

    def test_costly_sockets_are_served_over_several_turns(self) -> None:
        self.assertLess(self.turn(), len(self.watchers))

    def test_all_are_served_before_any_is_served_again(self) -> None:
        while sum(watcher.served for watcher in self.watchers) < len(self.watchers):
            self.turn()
        self.assertEqual({watcher.served for watcher in self.watchers}, {1})

    def test_a_new_socket_does_not_get_the_readiness_of_an_earlier_one(self) -> None:
        self.turn()
        late = self.watchers[-1]
        self.assertEqual(late.served, 0)
        number = self.poller._ready[-1][0]
        alias = mock.Mock(fileno=mock.Mock(return_value=number))
        with mock.patch.object(self.poller, "_poller", mock.Mock()):
            self.poller.watch(alias, _CostlyWatcher(), reading=True, writing=False)
        self.assertNotIn(number, [item[0] for item in self.poller._ready])


if __name__ == "__main__":
    unittest.main()
