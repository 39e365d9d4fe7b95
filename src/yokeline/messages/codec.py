"""Encodes and decodes messages with ``ormsgpack``; types are checked at decode.

``msgspec`` turns structs into plain values before ``ormsgpack`` packs them, and checks the
unpacked values against the expected type. A union is decoded through a one-field struct
around it, because ``msgspec`` caches the type information of a struct and builds that of a
bare union anew on each call (about 5 microseconds).
"""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import YokelineError
from yokeline.identifiers import ReplicaId
from yokeline.membership.messages import Datagram
from yokeline.messages.structs import decode_struct, encode_struct
from yokeline.messages.types import PeerMessageBody
from yokeline.runs.events import RunEvent
from yokeline.runs.model import Command
from yokeline.shards.operations import Operation, OperationResult

__all__ = [
    "MessageCodec",
    "PeerFrame",
    "decode_command",
    "decode_events",
    "decode_operation",
    "decode_peer",
    "decode_result",
    "decode_struct",
    "encode_command",
    "encode_events",
    "encode_operation",
    "encode_peer",
    "encode_result",
    "encode_struct",
]


class PeerFrame(msgspec.Struct, frozen=True, array_like=True):
    """What travels between two nodes in one frame.

    Attributes:
        sender: The process start that sent it.
        recipient: The process start that it is meant for; another one must drop it.
    """

    sender: ReplicaId
    recipient: ReplicaId
    message: PeerMessageBody


class _OperationBox(msgspec.Struct, frozen=True, array_like=True):
    value: Operation


class _ResultBox(msgspec.Struct, frozen=True, array_like=True):
    value: OperationResult


class _EventBox(msgspec.Struct, frozen=True, array_like=True):
    value: RunEvent


class _CommandBox(msgspec.Struct, frozen=True, array_like=True):
    value: Command


def encode_peer(sender: ReplicaId, recipient: ReplicaId, message: PeerMessageBody) -> bytes:
    """Return the payload of a frame from one node to another."""
    return encode_struct(PeerFrame(sender, recipient, message))


def decode_peer(data: bytes) -> Result[PeerFrame, YokelineError]:
    """Return the frame in ``data``."""
    return decode_struct(data, PeerFrame)


def encode_operation(operation: Operation) -> bytes:
    """Return an operation as the bytes of a ``ShardRequest``."""
    return encode_struct(_OperationBox(operation))


def decode_operation(data: bytes) -> Result[Operation, YokelineError]:
    """Return the operation of a ``ShardRequest``."""
    return decode_struct(data, _OperationBox).map(lambda box: box.value)


def encode_result(result: OperationResult) -> bytes:
    """Return an operation's result as the bytes of a ``ShardReply``."""
    return encode_struct(_ResultBox(result))


def decode_result(data: bytes) -> Result[OperationResult, YokelineError]:
    """Return the result of a ``ShardReply``."""
    return decode_struct(data, _ResultBox).map(lambda box: box.value)


def encode_events(events: tuple[RunEvent, ...]) -> tuple[bytes, ...]:
    """Return run events as the items of a ``RunEvents`` message."""
    return tuple(encode_struct(_EventBox(event)) for event in events)


def decode_events(items: tuple[bytes, ...]) -> Result[tuple[RunEvent, ...], YokelineError]:
    """Return the run events of a ``RunEvents`` message; all of them, or a failure."""
    events: list[RunEvent] = []
    for item in items:
        decoded = decode_struct(item, _EventBox)
        if not isinstance(decoded, Success):
            return Failure(decoded.failure())
        events.append(decoded.unwrap().value)
    return Success(tuple(events))


def encode_command(command: Command) -> bytes:
    """Return a command as the bytes of a log entry."""
    return encode_struct(_CommandBox(command))


def decode_command(data: bytes) -> Result[Command, YokelineError]:
    """Return the command of a log entry."""
    return decode_struct(data, _CommandBox).map(lambda box: box.value)


class DatagramFrame(msgspec.Struct, frozen=True, array_like=True):
    """What one membership datagram holds."""

    message: Datagram


class MessageCodec:
    """Messages and membership datagrams of the nodes that keep runs, for the transports."""

    def encode_peer(
        self, sender: ReplicaId, recipient: ReplicaId, message: msgspec.Struct
    ) -> bytes:
        """Return the payload of a frame."""
        return encode_peer(sender, recipient, message)  # type: ignore[arg-type]

    def decode_peer(self, data: bytes) -> Result[PeerFrame, YokelineError]:
        """Return the frame in ``data``."""
        return decode_peer(data)

    def encode_datagram(self, message: msgspec.Struct) -> bytes:
        """Return the bytes of a datagram."""
        return encode_struct(DatagramFrame(message))  # type: ignore[arg-type]

    def decode_datagram(self, data: bytes) -> Result[Datagram, YokelineError]:
        """Return the message in a datagram."""
        return decode_struct(data, DatagramFrame).map(lambda frame: frame.message)
