"""A process start that a later one of the same node has replaced ends by itself."""

from __future__ import annotations

import random
import unittest

import msgspec

from yokeline.effects import Address, DatagramArrived, Exit, Tick
from yokeline.errors import EXIT_FAILURE
from yokeline.identifiers import ReplicaId
from yokeline.membership.messages import Ping
from yokeline.membership.view import MemberState
from yokeline.server.node import Node
from yokeline.settings import NodeSection, Settings

OTHER = Address("127.0.0.1", 7901)


class SupersededTest(unittest.TestCase):
    def test_an_older_process_start_exits_when_it_hears_of_its_successor(self) -> None:
        settings = Settings(node=NodeSection(name="node-1"))
        node = Node(settings, source=random.Random(1), now=10.0, wall_offset=1000.0)
        node.handle(Tick(), 10.0)
        later = msgspec.structs.replace(
            node.membership.own,
            replica=ReplicaId("node-1~ffffffffffffffff"),
            state=MemberState.ALIVE,
            started_wall=node.membership.own.started_wall + 5.0,
        )
        ping = Ping(sequence=1, target=node.replica, sender=later)
        effects = node.handle(DatagramArrived(source=OTHER, message=ping), 20.0)
        self.assertIn(Exit(EXIT_FAILURE), effects)


if __name__ == "__main__":
    unittest.main()
