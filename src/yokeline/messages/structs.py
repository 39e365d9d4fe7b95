"""Structs as MessagePack, packed with ``ormsgpack`` and checked at decode by ``msgspec``."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
import ormsgpack
from returns.result import Failure, Result, Success

from yokeline.errors import ErrorKind, YokelineError

_NATIVE = (bytes,)
_PACK_OPTIONS = ormsgpack.OPT_REPLACE_SURROGATES
"""Text with lone surrogates (legal in JSON escapes, not in UTF-8) must not stop a node."""
_REASON_LENGTH = 200

T = TypeVar("T")


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


def _malformed(expected: type, reason: str) -> YokelineError:
    """Return the error for bytes that are not an ``expected``."""
    return YokelineError(
        kind=ErrorKind.BAD_REQUEST,
        message=f"malformed {expected.__name__.lstrip('_')}: {reason[:_REASON_LENGTH]}",
        remedy="run the same release of yokeline on all nodes",
    )
