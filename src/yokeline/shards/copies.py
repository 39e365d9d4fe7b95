"""Copies of shards that earlier process starts of this node left in its data folder.

Copies are separate from the groups of the current process: a copy is used only by an
operator's recovery, and dropped once this process writes its own copy of the shard.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

import msgspec
import ormsgpack
from returns.result import Failure, Result, Success

from yokeline.consensus.messages import EntryKind, LogEntry
from yokeline.effects import WriteFile
from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.codec import decode_command
from yokeline.runs.model import Command, Run, RunStatus
from yokeline.runs.state_machine import RunStateMachine
from yokeline.shards.copy_format import (
    StoredShard,
    decode_shard,
    encode_entries,
    encode_snapshot,
    log_file,
    snapshot_file,
)

SET_ASIDE_FOLDER = "set-aside"
"""Subfolder for damaged or obsolete copies; nodes never read it, operators may delete files."""
_FILE_NAME = re.compile(r"shards/([0-9]{1,9})\.(snapshot|log)")


class ShardCopy(msgspec.Struct, frozen=True, kw_only=True):
    """A copy that a group can be recovered from.

    Attributes:
        runs: Number of runs in the copy; ``active`` of them are in progress.
        latest_wall: Wall seconds of the latest change in the copy; 0 if there is none.
    """

    stored: StoredShard
    runs: int
    active: int
    latest_wall: float

    @property
    def position(self) -> tuple[int, int]:
        """Term and index of the last entry; the greatest position is the most advanced copy."""
        return (self.stored.last_term, self.stored.last_index)


class DamagedCopy(msgspec.Struct, frozen=True, kw_only=True):
    """Files of a copy that cannot be read; never used, and kept unchanged."""

    shard: ShardId
    error: YokelineError
    snapshot: bytes
    log: bytes


class StoredCopies:
    """Copies found in the data folder at the start of the process.

    Attributes:
        usable: Readable copies by shard.
        damaged: Unreadable copies by shard.
    """

    def __init__(self) -> None:
        self.usable: dict[ShardId, ShardCopy] = {}
        self.damaged: dict[ShardId, DamagedCopy] = {}


def read_copies(files: Mapping[str, bytes]) -> StoredCopies:
    """Return the copies in the files of a data folder; files of other names are ignored."""
    found = StoredCopies()
    matches = [_FILE_NAME.fullmatch(name) for name in files]
    numbers = sorted({int(match.group(1)) for match in matches if match is not None})
    for shard in map(ShardId, numbers):
        snapshot = files.get(snapshot_file(shard), b"")
        log = files.get(log_file(shard), b"")
        copy = decode_shard(shard, snapshot, log).bind(replay_copy)
        if isinstance(copy, Failure):
            error = copy.failure()
            found.damaged[shard] = DamagedCopy(shard=shard, error=error, snapshot=snapshot, log=log)
        else:
            found.usable[shard] = copy.unwrap()
    return found


def replay_copy(stored: StoredShard) -> Result[ShardCopy, YokelineError]:
    """Replay a copy on a state machine, to check that it applies and to summarize it."""
    try:
        state_machine = RunStateMachine.restore(stored.snapshot.data)
    except (msgspec.ValidationError, ormsgpack.MsgpackDecodeError) as error:
        return Failure(_unreadable_copy_error(stored.shard, f"its snapshot: {error}"))
    walls = [_latest_wall(run) for run in state_machine.runs.values()]
    for entry in stored.entries:
        if entry.kind is not EntryKind.COMMAND:
            continue
        command = _command_of(entry)
        if command is None:
            return Failure(_unreadable_copy_error(stored.shard, f"its entry {entry.index}"))
        state_machine.apply(command)
        walls.append(command.wall)
    active = sum(1 for run in state_machine.runs.values() if run.status is RunStatus.ACTIVE)
    return Success(
        ShardCopy(
            stored=stored,
            runs=len(state_machine.runs),
            active=active,
            latest_wall=max(walls, default=0.0),
        )
    )


def _command_of(entry: LogEntry) -> Command | None:
    return decode_command(entry.command).value_or(None)


def _latest_wall(run: Run) -> float:
    times = [run.created_wall, run.turn_started_wall, run.finished_wall or 0.0]
    times += [max(call.started_wall, call.finished_wall or 0.0) for call in run.calls]
    return max(times)


def set_aside_writes(copy: StoredShard) -> tuple[WriteFile, WriteFile]:
    """Return the file writes that save a copy under names that are never used again."""
    name = f"{SET_ASIDE_FOLDER}/{copy.shard}-{copy.replica}-{copy.last_term}"
    snapshot = encode_snapshot(copy.shard, copy.replica, copy.snapshot)
    return (
        WriteFile(name=f"{name}.snapshot", data=snapshot),
        WriteFile(name=f"{name}.log", data=encode_entries(copy.entries)),
    )


def set_aside_damaged_writes(copy: DamagedCopy, by: ReplicaId) -> tuple[WriteFile, WriteFile]:
    """Return the file writes that save unreadable files unchanged before they are replaced."""
    name = f"{SET_ASIDE_FOLDER}/{copy.shard}-{by}-damaged"
    return (
        WriteFile(name=f"{name}.snapshot", data=copy.snapshot),
        WriteFile(name=f"{name}.log", data=copy.log),
    )


def _unreadable_copy_error(shard: ShardId, what: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.INTERNAL,
        message=f"the copy of shard {shard} cannot be applied: {what}",
        remedy="keep the files and start the release of yokeline that wrote them",
    )
