"""Checks of Raft's safety properties over all replicas of a test cluster."""

from __future__ import annotations

from collections.abc import Iterable

from yokeline.consensus.group import Committed, RaftGroup, RaftRole, Restored, RoleChanged
from yokeline.consensus.messages import EntryKind, LogEntry
from yokeline.identifiers import ReplicaId


class InvariantError(AssertionError):
    """A safety property does not hold."""


def encode_state(entries: Iterable[LogEntry]) -> bytes:
    """Return the test state machine's snapshot: all commands in order."""
    commands = [entry.command for entry in entries if entry.kind is EntryKind.COMMAND]
    return b",".join(commands)


class InvariantChecker:
    """Sees every effect and, after each event, every replica."""

    def __init__(self) -> None:
        self.committed: dict[int, LogEntry] = {}
        self._commit_terms: dict[int, int] = {}
        self._leaders: dict[int, ReplicaId] = {}
        self._next_index: dict[ReplicaId, int] = {}
        self._previous_terms: dict[tuple[int, int], tuple[LogEntry, int | None]] = {}
        self._read_floors: dict[str, int] = {}

    @property
    def highest_committed(self) -> int:
        return max(self.committed, default=0)

    def forgot(self, replica: ReplicaId) -> None:
        """A removed replica starts anew."""
        self._next_index.pop(replica, None)

    def saw_role(self, group: RaftGroup, effect: RoleChanged) -> None:
        """Election safety and leader completeness."""
        if effect.role is not RaftRole.LEADER:
            return
        if self._leaders.setdefault(effect.term, group.replica) != group.replica:
            raise InvariantError(f"two leaders in term {effect.term}")
        log = group._state.log
        for index, entry in self.committed.items():
            earlier = self._commit_terms[index] < effect.term
            if earlier and index > log.base_index and log.term_at(index) != entry.term:
                raise InvariantError(f"leader of {effect.term} lacks committed {index}")

    def saw_committed(self, group: RaftGroup, effect: Committed) -> None:
        """State machine safety: same entries, in order, without gaps."""
        for entry in effect.entries:
            expected = self._next_index.get(group.replica, 1)
            if entry.index != expected:
                raise InvariantError(f"{group.replica} applied {entry.index}, not {expected}")
            self._next_index[group.replica] = expected + 1
            if self.committed.setdefault(entry.index, entry) != entry:
                raise InvariantError(f"committed entry {entry.index} differs")
            self._commit_terms.setdefault(entry.index, group.term)

    def saw_restored(self, group: RaftGroup, effect: Restored) -> None:
        """A snapshot is the state after the committed prefix."""
        last = effect.snapshot.last_index
        prefix = [self.committed[index] for index in range(1, last + 1)]
        if effect.snapshot.data != encode_state(prefix):
            raise InvariantError(f"snapshot at {last} differs from the committed entries")
        self._next_index[group.replica] = last + 1

    def read_asked(self, token: str) -> None:
        self._read_floors[token] = self.highest_committed

    def read_ready(self, token: str, index: int) -> None:
        """Linearizable reads: nothing that was committed before the read is missing."""
        if index < self._read_floors[token]:
            raise InvariantError(f"stale read {token}")

    def check_logs(self, groups: Iterable[RaftGroup]) -> None:
        """Log matching: index and term determine the entry and the entry before it."""
        for group in groups:
            log = group._state.log
            previous: int | None = log.base_term
            for entry in log.between(log.first_index, log.last_index):
                known = self._previous_terms.setdefault(
                    (entry.index, entry.term), (entry, previous)
                )
                if known != (entry, previous):
                    raise InvariantError(f"logs differ at {entry.index}")
                previous = entry.term

    def check_leases(self, holders: Iterable[RaftGroup]) -> None:
        """Who believes that it surely leads is the leader of the highest term of all."""
        highest = max(self._leaders, default=0)
        for holder in holders:
            if holder.term != highest or self._leaders[highest] != holder.replica:
                raise InvariantError(f"lease of {holder.replica} outlives its leadership")
