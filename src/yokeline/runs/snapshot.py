"""The runs of a shard as bytes, for snapshots of its log."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import ormsgpack

from yokeline.identifiers import RunId
from yokeline.runs.model import Run
from yokeline.runs.recovery import Doubt


class ShardContent(msgspec.Struct, frozen=True):
    """All state of a shard.

    Attributes:
        runs: In the order of their ids.
        doubt: What is in doubt since the shard was recovered from a copy.
    """

    runs: tuple[Run, ...]
    doubt: Doubt = Doubt()


def encode_runs(runs: Mapping[RunId, Run], doubt: Doubt) -> bytes:
    """Return a shard's state as bytes: equal states give equal bytes."""
    ordered = tuple(runs[run] for run in sorted(runs))
    return ormsgpack.packb(msgspec.to_builtins(ShardContent(ordered, doubt)))


def decode_runs(data: bytes) -> ShardContent:
    """Return the state that :func:`encode_runs` was given.

    Raises:
        msgspec.ValidationError: The bytes are no such snapshot.
        ormsgpack.MsgpackDecodeError: They are not even MessagePack.
    """
    return msgspec.convert(ormsgpack.unpackb(data), ShardContent)
