"""The configuration as one node knows it, and how knowledge from elsewhere is merged into it.

The **revision** R says that the view reflects every change up to R. Merging keeps that true:
an object counts only if its revision is above R (anything older that the view does not have
has been superseded), so the view never goes back, in whatever order knowledge arrives.

Whoever reads the configuration as a whole learns what exists, not what was deleted since the
revision it had before: deletions in that **gap** are known only for objects that it held. A
node whose own revision is inside a gap (or below the **floor**, where tombstones have been
forgotten) gets the whole configuration, in which an absent object is a deleted one.
"""

from __future__ import annotations

from collections.abc import Iterable

from yokeline.labels.objects import StoredObject
from yokeline.labels.view import ConfigurationView
from yokeline.messages.types import ConfigurationDelta, ConfigurationPull, RevisionGap

MAX_TOMBSTONES = 4096
MAX_GAPS = 64
PART_BYTES = 1_048_576
_OBJECT_OVERHEAD_BYTES = 128


class ConfigurationState:
    """The merged configuration of one node.

    Attributes:
        view: The current immutable view.
        floor: Tombstones up to this revision may have been forgotten.
    """

    def __init__(self, max_tombstones: int = MAX_TOMBSTONES, part_bytes: int = PART_BYTES) -> None:
        """Create the state of a node that knows nothing.

        Args:
            max_tombstones: Deleted objects that are remembered.
            part_bytes: About how much one delta may hold.
        """
        self.view = ConfigurationView()
        self.floor = 0
        self._gaps: list[RevisionGap] = []
        self._max_tombstones = max_tombstones
        self._part_bytes = part_bytes

    @property
    def revision(self) -> int:
        """Return the revision up to which every change is known."""
        return self.view.revision

    # ------------------------------------------------------------ merging

    def apply_changes(self, objects: Iterable[StoredObject], upto: int) -> bool:
        """Merge all changes of the store after the present revision up to ``upto``.

        Returns:
            Whether the view has changed.
        """
        return self._apply_changes(objects, self.revision, upto)

    def apply_delta(self, delta: ConfigurationDelta) -> bool:
        """Merge what another node knows, all parts in one.

        Args:
            delta: Its ``after`` is at most the present revision.

        Returns:
            Whether the view has changed.
        """
        if delta.after == 0:
            return self.apply_listing(delta.objects, delta.upto)
        if delta.upto <= self.revision:
            return False
        for gap in (*delta.gaps, RevisionGap(delta.after, delta.floor)):
            self._add_gap(gap)
        return self._apply_changes(delta.objects, delta.after, delta.upto)

    def _apply_changes(self, objects: Iterable[StoredObject], after: int, upto: int) -> bool:
        """Merge changes that are complete in ``(after, upto]``.

        A held object of a revision in there that is not among them has been deleted: it was
        written here ahead of the revision, or its deletion is in a gap of the sender.
        """
        if upto <= self.revision:
            return False
        changes = list(objects)
        newer = [item for item in changes if item.revision > self.revision]
        newer.extend(_deleted_since(self.view.objects_after(after), changes, upto))
        return self._replace(newer, upto)

    def _add_gap(self, gap: RevisionGap) -> None:
        """Note deletions that are not known; those up to the present revision are."""
        clipped = RevisionGap(max(gap.low, self.revision), gap.high)
        if clipped.low + 1 >= clipped.high:
            return
        self._gaps.append(clipped)
        if len(self._gaps) > MAX_GAPS:
            self.floor = max(self.floor, self._gaps.pop(0).high)

    def apply_listing(self, objects: Iterable[StoredObject], revision: int) -> bool:
        """Merge the whole configuration as it was at ``revision``; absent is deleted.

        Returns:
            Whether the view has changed.
        """
        if revision <= self.revision:
            return False
        listed = list(objects)
        newer = [item for item in listed if item.revision > self.revision]
        newer.extend(_deleted_since(self.view.stored_objects(), listed, revision))
        self._add_gap(RevisionGap(self.revision, revision))
        return self._replace(newer, revision)

    def apply_written(self, item: StoredObject) -> bool:
        """Merge one object that this node wrote; the revision stays, others may be missing.

        Returns:
            Whether the view has changed.
        """
        if item.revision <= self.revision:
            return False
        return self._replace([item], self.revision)

    def _replace(self, objects: list[StoredObject], revision: int) -> bool:
        before = self.view
        self.view = before.with_objects(objects, revision)
        self._prune_tombstones()
        return any(
            self.view.stored(o.kind, o.name) != before.stored(o.kind, o.name) for o in objects
        )

    def _prune_tombstones(self) -> None:
        """Forget the older half of the tombstones when there are too many."""
        count = self.view.tombstone_count()
        if count <= self._max_tombstones:
            return
        revisions = [item.revision for item in self.view.stored_objects() if item.deleted]
        upto = min(revisions[count // 2], self.revision)
        self.view = self.view.without_tombstones(upto)
        self.floor = max(self.floor, upto)

    # ------------------------------------------------------------ telling others

    def delta_since(self, after: int) -> ConfigurationDelta:
        """Return what a node at revision ``after`` lacks, or the first part of it."""
        known = self.revision
        if after >= known:
            return self._delta(after, known, ())
        in_gap = any(gap.low < after < gap.high for gap in self._gaps)
        if after < self.floor or in_gap:
            return self._whole()
        return self._first_part(after, self.view.objects_after(after))

    def answer(self, pull: ConfigurationPull) -> ConfigurationDelta:
        """Return the answer to a pull, which may continue a transfer from this state.

        A transfer starts over if deletions have been forgotten since it began: one of an
        object in an earlier part may be among them.
        """
        if not pull.continues:
            return self.delta_since(pull.after)
        if pull.after < self.floor and pull.floor != self.floor:
            return self._whole()
        return self._first_part(pull.after, self.view.objects_after(pull.after))

    def _whole(self) -> ConfigurationDelta:
        """Return the (first part of the) whole configuration; absent is deleted."""
        objects = self.view.stored_objects()
        known = self.revision
        return self._first_part(
            0, tuple(item for item in objects if not item.deleted or item.revision > known)
        )

    def _first_part(self, base: int, objects: tuple[StoredObject, ...]) -> ConfigurationDelta:
        latest = self.revision
        size = 0
        for position, item in enumerate(objects):
            before = objects[position - 1].revision if position else base
            # Only between two revisions, and never beyond what is known completely.
            if size > self._part_bytes and before < item.revision and before < latest:
                return self._delta(base, before, objects[:position])
            size += len(item.body) + len(item.name) + _OBJECT_OVERHEAD_BYTES
        return self._delta(base, latest, objects)

    def _delta(
        self, after: int, upto: int, objects: tuple[StoredObject, ...]
    ) -> ConfigurationDelta:
        return ConfigurationDelta(
            after=after,
            upto=upto,
            objects=objects,
            latest=self.revision,
            floor=self.floor,
            gaps=tuple(gap for gap in self._gaps if gap.high > after),
        )


def _deleted_since(
    held: Iterable[StoredObject], complete: Iterable[StoredObject], upto: int
) -> list[StoredObject]:
    """Return tombstones for the held objects that are not in what is complete at ``upto``."""
    known = {(item.kind, item.name): item.revision for item in complete}
    return [
        StoredObject(kind=item.kind, name=item.name, revision=upto, body="")
        for item in held
        if not item.deleted
        and item.revision <= upto
        and known.get((item.kind, item.name), 0) < item.revision
    ]
