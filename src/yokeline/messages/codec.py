"""Encodes and decodes messages with ``ormsgpack``; types are checked at decode.

``msgspec`` turns structs into plain values before ``ormsgpack`` packs them, and checks the
unpacked values against the expected type. A union is decoded through a one-field struct
around it, because ``msgspec`` caches the type information of a struct and builds that of a
bare union anew on each call (about 5 microseconds).
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
import ormsgpack
from returns.result import Failure, Result, Success

from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import ReplicaId
from yokeline.messages.types import PeerMessageBody
from yokeline.runs.events import RunEvent
from yokeline.runs.model import Command
from yokeline.shards.operations import Operation, OperationResult

_NATIVE = (bytes,)
_PACK_OPTIONS = ormsgpack.OPT_REPLACE_SURROGATES
"""Text with lone surrogates (legal in JSON escapes, not in UTF-8) must not stop a node."""
_REASON_LENGTH = 200

T = TypeVar("T")


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


def encode_struct(value: msgspec.Struct) -> bytes:
    """Return the MessagePack form of any struct.

    Raises:
        TypeError: A value does not fit MessagePack (an integer beyond 64 bits): a fault of
            the code that made the struct.
    """
    plain = msgspec.to_builtins(value, builtin_types=_NATIVE)
    return ormsgpack.packb(plain, option=_PACK_OPTIONS)


def decode_struct(data: bytes, expected: type[T]) -> Result[T, YokelineError]:
    """Return the value that ``data`` begins with, if it is a well-typed ``expected``.

    Bytes after a whole value are ignored, as ``ormsgpack`` does; frames say where a message
    ends, and records on disk carry a checksum.
    """
    try:
        plain: Any = ormsgpack.unpackb(data)
        return Success(msgspec.convert(plain, expected, builtin_types=_NATIVE))
    except (ormsgpack.MsgpackDecodeError, msgspec.ValidationError) as error:
        return Failure(_malformed(expected, str(error)))


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


def _malformed(expected: type, reason: str) -> YokelineError:
    """Return the error for bytes that are not an ``expected``."""
    return YokelineError(
        kind=ErrorKind.BAD_REQUEST,
        message=f"malformed {expected.__name__.lstrip('_')}: {reason[:_REASON_LENGTH]}",
        remedy="run the same release of yokeline on all nodes",
    )
