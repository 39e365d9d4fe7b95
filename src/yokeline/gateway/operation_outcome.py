"""What became of a write whose answer was lost."""

from __future__ import annotations

import msgspec

from yokeline.gateway.object_requests import ABSENT_REVISION, OperationId
from yokeline.store.history import OperationStatus

OUTCOME_APPLIED = "applied"
OUTCOME_NOT_APPLIED = "not_applied"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_DETAILS = {
    OUTCOME_APPLIED: "the write is in the store",
    OUTCOME_NOT_APPLIED: "another write came first; this one cannot be applied any more",
    OUTCOME_UNKNOWN: "it may still be applied; ask again, or write the object anew with "
    "If-Match: its present revision, which settles it",
}


class OperationOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a write operation.

    Attributes:
        outcome: ``applied``, ``not_applied`` (it never will be) or ``unknown``.
        revision: Revision that it made, if it was applied.
        current_revision: Revision of the object as it stands; 0 if there is none.
    """

    operation: str
    kind: str
    name: str
    outcome: str
    revision: int
    current_revision: int
    detail: str


def applied_outcome(operation: OperationId, revision: int) -> OperationOutcome:
    """Return the outcome of an operation that made the object in force."""
    return _outcome(operation, OUTCOME_APPLIED, revision, revision)


def outcome_of(
    operation: OperationId, status: OperationStatus, *, deleted: bool
) -> OperationOutcome:
    """Return what became of an operation, from what the store tells.

    A compare-and-swap that was not applied may still be on its way as long as the object
    has the revision that it expects.

    Args:
        operation: The operation.
        status: What reading back told.
        deleted: The object is deleted, so that a creation may still be applied.
    """
    current = status.current_revision
    if status.applied:
        return _outcome(operation, OUTCOME_APPLIED, status.revision, current)
    creation = operation.expected_revision == ABSENT_REVISION
    still_possible = current == operation.expected_revision or (creation and deleted)
    if status.applied is False and not still_possible:
        return _outcome(operation, OUTCOME_NOT_APPLIED, 0, current)
    return _outcome(operation, OUTCOME_UNKNOWN, 0, current)


def _outcome(operation: OperationId, outcome: str, revision: int, current: int) -> OperationOutcome:
    return OperationOutcome(
        operation=operation.text,
        kind=operation.kind.value,
        name=operation.qualified_name,
        outcome=outcome,
        revision=revision,
        current_revision=current,
        detail=OUTCOME_DETAILS[outcome],
    )
