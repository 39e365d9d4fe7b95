"""The ledger's records of the engine versions that began streams."""

from __future__ import annotations

import unittest

import msgspec
from msgspec import UNSET

from yokeline.ledger.codec import decode_state, encode_state
from yokeline.ledger.operations import (
    Granted,
    OperationResult,
    RecordedStream,
    Reserve,
    StreamVersion,
)
from yokeline.ledger.state import EXPIRY_PERIOD_SECONDS, EXPIRY_SLACK_SECONDS, LedgerCommand
from yokeline.ledger.state import LedgerState as State

SECONDS = 3.0


class EarlierReserve(msgspec.Struct, frozen=True, kw_only=True, tag="reserve"):
    """The operation as an earlier release knows it."""

    request_id: str
    program: str = ""


class EarlierGranted(msgspec.Struct, frozen=True, kw_only=True, tag="granted"):
    """Its result as an earlier release knows it."""

    spent: int = 0


class RecordedStreams(unittest.TestCase):
    def setUp(self) -> None:
        self.state = State()
        self.time = 1000.0

    def apply(self, operation: Reserve, *, after: float = 0.0) -> OperationResult:
        self.time += after
        command = LedgerCommand(time=self.time, operations=(operation,), passed=0.0)
        return self.state.transition_apply(command)[0]

    def record(self, version: str | None, stream: str = "a") -> None:
        rows = (StreamVersion(stream, version, SECONDS),)
        self.assertEqual(self.apply(Reserve(request_id="n/streams/1", streams=rows)), Granted())

    def look_up(self, stream: str = "a", *, after: float = 0.0) -> object:
        result = self.apply(Reserve(request_id="b", resumes=stream), after=after)
        assert isinstance(result, Granted)
        return result.stream

    def test_a_recorded_stream_is_found_with_its_age(self) -> None:
        self.record("v1")
        self.assertEqual(self.look_up(after=0.5), RecordedStream("v1", 0.5))
        self.assertIs(self.look_up("other"), UNSET)

    def test_a_reservation_and_its_repetition_find_it(self) -> None:
        reserve = Reserve(request_id="b", program="p", budget=10, tokens=5, resumes="a")
        first = self.apply(reserve)
        assert isinstance(first, Granted)
        self.assertIs(first.stream, UNSET)
        self.record("v2")
        again = self.state.known_result(reserve)
        assert isinstance(again, Granted)
        self.assertEqual(again.stream, RecordedStream("v2", 0.0))

    def test_different_records_make_a_stream_unknown_in_either_order(self) -> None:
        for first, second in (("v1", "v2"), ("v1", None), (None, "v1")):
            self.record(first, f"{first}{second}")
            self.record(second, f"{first}{second}")
            found = self.look_up(f"{first}{second}")
            self.assertEqual(found, RecordedStream(None, 0.0))
        self.record("v1")
        self.record("v1")
        self.assertEqual(self.look_up(), RecordedStream("v1", 0.0))

    def test_a_missing_record_tells_whether_several_versions_have_served(self) -> None:
        lookup = Reserve(request_id="b", program="p", budget=10, tokens=5, resumes="a")
        self.assertEqual(self.apply(lookup), Granted())
        self.apply(Reserve(request_id="c", program="p", budget=10, tokens=5, streams=()))
        known = self.state.known_result(lookup)
        assert isinstance(known, Granted)
        self.assertIs(known.has_mixed_versions, True)
        self.record("v1")
        found = self.state.known_result(lookup)
        assert isinstance(found, Granted)
        self.assertIs(found.has_mixed_versions, UNSET)
        late = self.apply(Reserve(request_id="d", resumes="x"), after=60.0)
        self.assertEqual(late, Granted())

    def test_a_record_lasts_as_long_as_its_caller_and_then_expires(self) -> None:
        self.record("v1")
        self.assertIsInstance(self.look_up(after=SECONDS + EXPIRY_SLACK_SECONDS), RecordedStream)
        self.look_up(after=EXPIRY_PERIOD_SECONDS)
        self.assertEqual(self.state.streams, {})

    def test_records_are_part_of_a_snapshot(self) -> None:
        self.record("v1")
        self.state = decode_state(encode_state(self.state)).unwrap()
        self.assertEqual(self.look_up(), RecordedStream("v1", 0.0))

    def test_an_operation_without_a_stream_takes_no_more_bytes(self) -> None:
        written = msgspec.msgpack.encode(Reserve(request_id="b"))
        for name in (b"resumes", b"streams"):
            self.assertNotIn(name, written)
        self.assertNotIn(b"stream", msgspec.msgpack.encode(Granted()))

    def test_an_earlier_release_reads_records_and_answers(self) -> None:
        rows = (StreamVersion("a", "v1", SECONDS),)
        written = msgspec.msgpack.encode(Reserve(request_id="b", streams=rows, resumes="a"))
        read = msgspec.msgpack.decode(written, type=EarlierReserve)
        self.assertEqual(read, EarlierReserve(request_id="b"))
        answer = msgspec.msgpack.encode(Granted(spent=3, stream=RecordedStream("v1", 0.1)))
        self.assertEqual(msgspec.msgpack.decode(answer, type=EarlierGranted).spent, 3)
