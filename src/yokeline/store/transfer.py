"""Receives deltas of other nodes, whole or in parts, and merges what is complete."""

from __future__ import annotations

import enum

import msgspec

from yokeline.identifiers import ReplicaId
from yokeline.labels.objects import StoredObject
from yokeline.messages.types import ConfigurationDelta, ConfigurationPull
from yokeline.store.merge import ConfigurationState

TRANSFER_TIMEOUT_SECONDS = 2.0


class DeltaOutcome(enum.Enum):
    """What became of a delta."""

    MERGED = "merged"
    """It was complete and is merged."""
    CONTINUES = "continues"
    """It is a part; ask the sender for the next one."""
    STALE = "stale"
    """It holds nothing new."""
    GAP = "gap"
    """It starts beyond what is known here; ask the sender from our revision."""


class _Transfer(msgspec.Struct):
    """Parts of one sender that are not complete yet.

    Attributes:
        base: Where the first part started; 0 for a whole configuration.
        progress: Where the next part starts.
        floor: The sender's floor when the transfer began.
        expires: When another sender's parts may take its place.
    """

    sender: ReplicaId
    base: int
    progress: int
    floor: int
    objects: list[StoredObject]
    expires: float


class DeltaReceiver:
    """Merges deltas into a state; holds the parts of at most one transfer."""

    def __init__(self, state: ConfigurationState) -> None:
        """Merge into ``state``."""
        self._state = state
        self._transfer: _Transfer | None = None

    def receive(self, sender: ReplicaId, delta: ConfigurationDelta, now: float) -> DeltaOutcome:
        """Take a delta in and say what to do next."""
        latest = max(delta.latest, delta.upto)
        if latest <= self._state.revision:
            return DeltaOutcome.STALE
        transfer = self._transfer_for(sender, delta, now)
        if transfer is None:
            return DeltaOutcome.GAP if delta.after > self._state.revision else DeltaOutcome.STALE
        transfer.objects.extend(delta.objects)
        transfer.progress = delta.upto
        transfer.expires = now + TRANSFER_TIMEOUT_SECONDS
        if delta.upto < latest:
            self._transfer = transfer
            return DeltaOutcome.CONTINUES
        if self._transfer is transfer:
            self._transfer = None
        whole = msgspec.structs.replace(delta, after=transfer.base, objects=tuple(transfer.objects))
        self._state.apply_delta(whole)
        return DeltaOutcome.MERGED

    def pull_for(self, peer: ReplicaId) -> ConfigurationPull:
        """Return what to ask a peer for next."""
        if self._transfer is not None and self._transfer.sender == peer:
            transfer = self._transfer
            return ConfigurationPull(after=transfer.progress, continues=True, floor=transfer.floor)
        return ConfigurationPull(after=self._state.revision)

    def _transfer_for(
        self, sender: ReplicaId, delta: ConfigurationDelta, now: float
    ) -> _Transfer | None:
        """Return the transfer that a delta belongs to, a new one if it starts one."""
        held = self._transfer
        if held is not None and held.sender == sender and delta.after == held.progress:
            return held
        if delta.after > self._state.revision:
            return None
        is_part = delta.upto < delta.latest
        if is_part and held is not None and held.sender != sender and now < held.expires:
            return None
        return _Transfer(sender, delta.after, delta.after, delta.floor, [], now)
