"""The right of one of two members of the ledger's group to continue without the other one.

Either may continue alone, but not both, so the key-value service decides: a member claims the right
by a conditional write of one key for each configuration of the group. It holds the right only if
its own write took effect while it knew no leader, and gives it back once both members are in touch
again. So a record that remains from an earlier silence does not let its member continue, and keeps
the other one waiting only until its member has taken it back.
"""

from __future__ import annotations

from collections.abc import Callable

from yokeline.effects import LogRecord
from yokeline.identifiers import ReplicaId
from yokeline.registry.client import RegistryClient
from yokeline.registry.nodes import SURVIVOR_PREFIX
from yokeline.registry.protocol import StoredItem

RELEASED = b"none"
"""Value of a record that names no member; a replica id contains a tilde."""


class SurvivorClaim:
    """The claims of one member.

    Attributes:
        blocked_by: The other member, if it holds the right, so that this one has to wait for it;
            empty otherwise.
    """

    def __init__(self, replica: ReplicaId, registry: RegistryClient, stamp: str) -> None:
        """Claim for ``replica``; ``stamp`` tells the starts of its process apart."""
        self.blocked_by = ""
        self._replica = replica
        self._registry = registry
        self._stamp = stamp
        self._claims = 0
        self._key = ""
        self._is_pending = False
        self._is_granted = False
        self._refused_revision: int | None = None

    @property
    def needs_registry(self) -> bool:
        """Whether this member has to see its record, which it may have to give back."""
        is_named = self._holder(self._record()) == self._replica
        return self._is_pending or self._is_granted or is_named

    def may_continue(self, configuration_index: int, now: float) -> bool:
        """Claim the right for a configuration; return whether it is held.

        Called while this member knows no leader.
        """
        self._follow(configuration_index)
        if self._is_pending or self._is_granted:
            return self._is_granted
        record = self._record()
        holder = self._holder(record)
        self.blocked_by = holder if holder != self._replica else ""
        revision = record.revision if record is not None else 0
        if not self.blocked_by and revision != self._refused_revision:
            self._claim(revision, now)
        return False

    def release(self, configuration_index: int, now: float) -> list[LogRecord]:
        """Give the right back, and take the record back.

        Called while there is a leader, and this member holds nothing that the other one lacks.
        """
        self._follow(configuration_index)
        self.blocked_by = ""
        self._is_granted = False
        record = self._record()
        if self._is_pending or record is None or self._holder(record) != self._replica:
            return []
        if record.revision == self._refused_revision:
            return []
        self._write(RELEASED, record.revision, self._note_released, now)
        fields: dict[str, str | int | float | bool | None] = {
            "key": self._key,
            "revision": record.revision,
        }
        return [LogRecord(event="survivor_released", fields=fields)]

    def _follow(self, configuration_index: int) -> None:
        """Turn to the key of a configuration, unless a write of an earlier one is pending."""
        key = f"{SURVIVOR_PREFIX}{configuration_index}"
        if key != self._key and not self._is_pending:
            self._key, self._is_granted, self._refused_revision = key, False, None

    def _claim(self, revision: int, now: float) -> None:
        self._claims += 1
        value = f"{self._replica} {self._stamp}/{self._claims}".encode()
        self._write(value, revision, self._note_claimed, now)

    def _write(
        self, value: bytes, revision: int, done: Callable[[bool, int], None], now: float
    ) -> None:
        self._is_pending = True
        self._registry.write(
            self._key, value, now, expected=revision, done=lambda took: done(took, revision)
        )

    def _note_claimed(self, took_effect: bool, revision: int) -> None:
        self._is_pending = False
        self._is_granted = took_effect
        self._refused_revision = None if took_effect else revision

    def _note_released(self, _took_effect: bool, revision: int) -> None:
        """A refused write changes nothing: the record is not the one that was seen."""
        self._is_pending = False
        self._refused_revision = revision

    def _record(self) -> StoredItem | None:
        item = self._registry.item(self._key) if self._key else None
        return item if item is not None and item.value is not None else None

    def _holder(self, record: StoredItem | None) -> str:
        """Return the member that a record names; empty if it names none."""
        if record is None or record.value is None or record.value == RELEASED:
            return ""
        return record.value.decode(errors="replace").partition(" ")[0]
