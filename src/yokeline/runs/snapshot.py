"""Serialization of a shard's state for log snapshots."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import ormsgpack

from yokeline.identifiers import RunId
from yokeline.runs.model import Run
from yokeline.runs.recovery import DoubtWindow


class ShardContent(msgspec.Struct, frozen=True):
    """The state of a shard; the field names are stored in snapshots.

    Attributes:
        runs: Runs ordered by id.
        doubt: Doubt window of the last recovery.
    """

    runs: tuple[Run, ...]
    doubt: DoubtWindow = DoubtWindow()


def encode_runs(runs: Mapping[RunId, Run], doubt_window: DoubtWindow) -> bytes:
    """Encode a shard's state as MessagePack; equal states give equal bytes."""
    ordered = tuple(runs[run] for run in sorted(runs))
    return ormsgpack.packb(msgspec.to_builtins(ShardContent(ordered, doubt_window)))


def decode_runs(data: bytes) -> ShardContent:
    """Decode the bytes of :func:`encode_runs`.

    Raises:
        msgspec.ValidationError: The content does not match :class:`ShardContent`.
        ormsgpack.MsgpackDecodeError: The bytes are not MessagePack.
    """
    return msgspec.convert(ormsgpack.unpackb(data), ShardContent)
