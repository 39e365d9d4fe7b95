"""The runs of a shard as bytes, for snapshots of its log."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import ormsgpack

from yokeline.identifiers import RunId
from yokeline.runs.model import Run


class _Snapshot(msgspec.Struct, frozen=True):
    runs: tuple[Run, ...]


def encode_runs(runs: Mapping[RunId, Run]) -> bytes:
    """Return all runs as bytes, in the order of their ids: equal runs give equal bytes."""
    ordered = tuple(runs[run] for run in sorted(runs))
    return ormsgpack.packb(msgspec.to_builtins(_Snapshot(ordered)))


def decode_runs(data: bytes) -> dict[RunId, Run]:
    """Return the runs that :func:`encode_runs` was given.

    Raises:
        msgspec.ValidationError: The bytes are no such snapshot.
    """
    snapshot = msgspec.convert(ormsgpack.unpackb(data), _Snapshot)
    return {run.run: run for run in snapshot.runs}
