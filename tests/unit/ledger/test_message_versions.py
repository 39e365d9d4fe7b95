"""Messages about engines between this release and the previous one, in both directions."""

from __future__ import annotations

import unittest

import msgspec

from yokeline.ledger.messages import EngineTurns, NodeTurns, TurnServed


class EarlierTurnServed(msgspec.Struct, frozen=True, array_like=True):
    """A turn's outcome in the previous release."""

    engine_id: str
    failed: bool
    slowness: float
    is_call: bool = False


class EarlierNodeTurns(msgspec.Struct, frozen=True, array_like=True):
    """A node's report in the previous release."""

    sequence: int
    loads: tuple[()]
    served: tuple[EarlierTurnServed, ...] = ()


class EarlierEngineTurns(msgspec.Struct, frozen=True, array_like=True):
    """The leader's data on an engine in the previous release."""

    engine_id: str
    running: int
    failed_percent: int
    slowness_percent: int


class EngineMessageVersions(unittest.TestCase):
    def test_an_earlier_leader_reads_a_report_that_holds_a_pace(self) -> None:
        report = NodeTurns(1, (), (TurnServed("e", False, 1.5, pace=4100),))
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(report), type=EarlierNodeTurns)
        self.assertEqual(read.served, (EarlierTurnServed("e", False, 1.5),))

    def test_this_leader_reads_a_report_without_paces(self) -> None:
        report = EarlierNodeTurns(1, (), (EarlierTurnServed("e", True, 1.5),))
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(report), type=NodeTurns)
        self.assertEqual(read.served, (TurnServed("e", True, 1.5),))
        self.assertEqual(read.served[0].pace, 0)

    def test_an_earlier_node_reads_engine_data_with_a_profile(self) -> None:
        told = EngineTurns("e", 3, 10, 120, pace=4100, samples=15, spell_percent=250)
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(told), type=EarlierEngineTurns)
        self.assertEqual(read, EarlierEngineTurns("e", 3, 10, 120))

    def test_this_node_reads_engine_data_of_an_earlier_leader(self) -> None:
        told = EarlierEngineTurns("e", 3, 10, 120)
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(told), type=EngineTurns)
        self.assertEqual((read.slowness_percent, read.pace, read.spell_percent), (120, 0, 100))
