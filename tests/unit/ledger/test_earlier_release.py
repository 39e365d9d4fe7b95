"""Data written by an earlier release is decoded correctly."""

from __future__ import annotations

import unittest

from tests.unit.ledger import release_samples
from yokeline.ledger.codec import LedgerCodec, decode_command, decode_state
from yokeline.ledger.disk_records import recover
from yokeline.ledger.operations import Granted
from yokeline.ledger.state import LedgerCommand, LedgerState


def accounts(ledger: LedgerState) -> dict[str, object]:
    """Return the spent and reserved tokens and the contexts of each program."""
    return {
        name: (program.spent, program.reserved, program.settled, program.contexts)
        for name, program in ledger.programs.items()
    }


def texts(ledger: LedgerState) -> dict[str, object]:
    """Return the retained turns and their expiry."""
    return {name: (stored.turn, stored.expires) for name, stored in ledger.turns.items()}


class EarlierRelease(unittest.TestCase):
    def setUp(self) -> None:
        self.stored = release_samples.stored()

    def test_log_entries_are_read(self) -> None:
        read = [decode_command(data).unwrap() for data in self.stored["commands"]]
        self.assertEqual(read, release_samples.commands())

    def test_replaying_the_log_gives_the_same_programs_and_turns(self) -> None:
        read = [decode_command(data).unwrap() for data in self.stored["commands"]]
        replayed = LedgerState()
        for command in read:
            replayed.transition_apply(command)
        kept = decode_state(self.stored["state"][0]).unwrap()
        self.assertEqual(accounts(replayed), accounts(kept))
        self.assertEqual(texts(replayed), texts(kept))
        self.assertEqual(replayed.time, kept.time)

    def test_a_snapshot_can_be_continued(self) -> None:
        kept = decode_state(self.stored["state"][0]).unwrap()
        again = LedgerCommand(time=1003.0, operations=(release_samples.SETTLE,), passed=4.0)
        kept.transition_apply(again)
        program = kept.programs["p"]
        self.assertEqual((program.spent, program.committed_tokens()), (40, 90))
        known = kept.known_result(release_samples.OPEN)
        assert isinstance(known, Granted)
        self.assertEqual(kept.turns["k1"].turn, release_samples.TURN)

    def test_messages_are_read(self) -> None:
        codec = LedgerCodec()
        expected = release_samples.messages(self.stored["commands"][1])
        for data, message in zip(self.stored["messages"], expected, strict=True):
            with self.subTest(type(message).__name__):
                frame = codec.decode_peer(data).unwrap()
                self.assertEqual(frame.message, message)
        for data, message in zip(
            self.stored["datagrams"], release_samples.datagrams(), strict=True
        ):
            with self.subTest(type(message).__name__):
                self.assertEqual(codec.decode_datagram(data).unwrap(), message)

    def test_the_log_file_is_read_completely(self) -> None:
        data = self.stored["disk"][0]
        log = recover(data).unwrap()
        self.assertEqual(log.valid_bytes, len(data))
        self.assertEqual(log.replica, release_samples.SENDER)
        assert log.snapshot is not None
        members = (release_samples.SENDER, release_samples.RECIPIENT)
        self.assertEqual(log.snapshot.members, members)
        self.assertEqual(decode_state(log.snapshot.data).unwrap(), LedgerState())
        read = [decode_command(entry.command).unwrap() for entry in log.entries]
        self.assertEqual(read, release_samples.commands())
