from __future__ import annotations

import unittest
from unittest import mock

import msgspec
import ormsgpack

from tests.unit.ledger import release_samples
from yokeline.ledger import disk_records
from yokeline.ledger.messages import LedgerFrame, LoadFrame
from yokeline.ledger.state import LedgerCommand, LedgerState
from yokeline.messages import structs
from yokeline.messages.structs import decode_struct, encode_struct


class Text(msgspec.Struct, frozen=True):
    value: str
    number: int = 0


def in_two_passes(value: msgspec.Struct) -> bytes:
    """Return the bytes that earlier releases write."""
    return ormsgpack.packb(msgspec.to_builtins(value, builtin_types=(bytes,)))


def samples() -> list[msgspec.Struct]:
    entry = in_two_passes(release_samples.commands()[1])
    frames: list[msgspec.Struct] = [
        LedgerFrame(release_samples.SENDER, release_samples.RECIPIENT, message)  # type: ignore[arg-type]
        for message in release_samples.messages(entry)
    ]
    loads = [LoadFrame(message) for message in release_samples.datagrams()]  # type: ignore[arg-type]
    return [*frames, *loads, *release_samples.commands(), release_samples.state()]


class OnePass(unittest.TestCase):
    """Messages are encoded and decoded in one pass, with the bytes of the earlier two passes."""

    def test_the_bytes_are_those_of_earlier_releases(self) -> None:
        for value in samples():
            self.assertEqual(encode_struct(value), in_two_passes(value), type(value))

    def test_the_values_are_those_that_were_encoded(self) -> None:
        for value in samples():
            decoded = decode_struct(in_two_passes(value), type(value)).unwrap()
            self.assertEqual(msgspec.to_builtins(decoded), msgspec.to_builtins(value))

    def test_a_sound_message_is_not_encoded_or_decoded_twice(self) -> None:
        values = samples()
        with (
            mock.patch.object(structs.ormsgpack, "packb") as packed,
            mock.patch.object(structs.ormsgpack, "unpackb") as unpacked,
        ):
            for value in values:
                decode_struct(encode_struct(value), type(value)).unwrap()
        self.assertEqual((packed.call_count, unpacked.call_count), (0, 0))

    def test_decoders_are_made_once_for_each_type(self) -> None:
        structs._decoders.clear()
        for value in samples() * 2:
            decode_struct(encode_struct(value), type(value)).unwrap()
        self.assertEqual(
            set(structs._decoders), {LedgerFrame, LoadFrame, LedgerCommand, LedgerState}
        )

    def test_text_with_a_lone_surrogate_is_encoded_as_before(self) -> None:
        data = encode_struct(Text("a\ud800b"))
        plain = {"value": "a\ud800b", "number": 0}
        self.assertEqual(data, ormsgpack.packb(plain, option=ormsgpack.OPT_REPLACE_SURROGATES))
        self.assertEqual(decode_struct(data, Text).unwrap().number, 0)

    def test_an_integer_beyond_64_bits_is_a_type_error(self) -> None:
        with self.assertRaises(TypeError):
            encode_struct(Text("a", 2**70))

    def test_bytes_after_a_value_are_ignored(self) -> None:
        data = encode_struct(Text("a", 1)) + b"\x01"
        self.assertEqual(decode_struct(data, Text).unwrap(), Text("a", 1))

    def test_malformed_bytes_fail_with_the_reason(self) -> None:
        for data in (b"", b"\xc1", encode_struct(Text("a"))[:-1], b"\x91" * 5000):
            self.assertIn("malformed Text", decode_struct(data, Text).failure().message)
        wrong = ormsgpack.packb({"value": 1})
        self.assertIn("Expected `str`", decode_struct(wrong, Text).failure().message)


class LogRecords(unittest.TestCase):
    def test_a_log_is_read_in_one_pass(self) -> None:
        """A start decodes the whole log: a second pass takes two thirds of the time."""
        data = release_samples.disk()
        with mock.patch.object(disk_records.ormsgpack, "unpackb") as unpacked:
            log = disk_records.recover(data).unwrap()
        self.assertEqual(unpacked.call_count, 0)
        self.assertEqual(log.valid_bytes, len(data))
        self.assertEqual(len(log.entries), len(release_samples.commands()))

    def test_a_record_of_another_program_is_refused(self) -> None:
        payload = ormsgpack.packb([{"type": "unknown"}])
        prefix = disk_records._PREFIX.pack(
            len(payload), disk_records.xxhash.xxh32_intdigest(payload)
        )
        failure = disk_records.recover(prefix + payload).failure()
        self.assertIn("cannot be decoded at byte 0", failure.message)
