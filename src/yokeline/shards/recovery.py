"""The initial log of a recovered group: a copy, and two entries of a new lineage."""

from __future__ import annotations

import msgspec

from yokeline.consensus.messages import EntryKind, LogEntry
from yokeline.consensus.types import Snapshot
from yokeline.identifiers import ReplicaId
from yokeline.messages.codec import encode_command
from yokeline.runs.model import RecoverShard
from yokeline.shards.copy_format import StoredShard


class RecoveryLog(msgspec.Struct, frozen=True, kw_only=True):
    """The log that a recovered group starts from.

    Attributes:
        term: First term of the new lineage.
        snapshot: State to start from; None if the entries begin at index 1.
        entries: All entries after the snapshot.
    """

    term: int
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]


def recovery_log(
    copy: StoredShard, own: ReplicaId, term: int, command: RecoverShard
) -> RecoveryLog:
    """Return the log of ``copy``, extended so that ``own`` is the only member.

    The recovery command precedes the first entry of the new leader, so that it is applied
    before any run continues.
    """
    last = copy.last_index
    recovery_entry = LogEntry(last + 1, term, EntryKind.COMMAND, command=encode_command(command))
    membership_entry = LogEntry(last + 2, term, EntryKind.MEMBERSHIP, members=(own,))
    snapshot = copy.snapshot if copy.snapshot.last_index else None
    return RecoveryLog(
        term=term, snapshot=snapshot, entries=(*copy.entries, recovery_entry, membership_entry)
    )
