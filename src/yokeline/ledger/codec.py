"""Encoding of the ledger's frames, datagrams, log entries and snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Result

from yokeline.errors import YokelineError
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import LedgerFrame, LedgerMessage, LoadFrame, LoadMessage
from yokeline.messages.structs import decode_struct, encode_struct

if TYPE_CHECKING:
    from yokeline.ledger.state import LedgerCommand, LedgerState


class LedgerCodec:
    """Encodes the messages of :mod:`yokeline.ledger.messages`."""

    def encode_peer(
        self, sender: ReplicaId, recipient: ReplicaId, message: msgspec.Struct
    ) -> bytes:
        """Return the encoded frame."""
        assert isinstance(message, LedgerMessage)
        return encode_struct(LedgerFrame(sender, recipient, message))

    def decode_peer(self, data: bytes) -> Result[LedgerFrame, YokelineError]:
        """Return the frame in ``data``."""
        return decode_struct(data, LedgerFrame)

    def encode_datagram(self, message: msgspec.Struct) -> bytes:
        """Return the encoded datagram."""
        assert isinstance(message, LoadMessage)
        return encode_struct(LoadFrame(message))

    def decode_datagram(self, data: bytes) -> Result[LoadMessage, YokelineError]:
        """Return the message in a datagram."""
        return decode_struct(data, LoadFrame).map(lambda frame: frame.message)


def encode_command(command: LedgerCommand) -> bytes:
    """Return the encoded command of a log entry."""
    return encode_struct(command)


def decode_command(data: bytes) -> Result[LedgerCommand, YokelineError]:
    """Return the decoded command of a log entry."""
    # Forwarding nodes encode messages without loading the ledger's state machine.
    from yokeline.ledger.state import LedgerCommand

    return decode_struct(data, LedgerCommand)


def encode_state(state: LedgerState) -> bytes:
    """Return the encoded data of a snapshot."""
    return encode_struct(state)


def decode_state(data: bytes) -> Result[LedgerState, YokelineError]:
    """Return the state decoded from a snapshot's data."""
    from yokeline.ledger.state import LedgerState

    return decode_struct(data, LedgerState)
