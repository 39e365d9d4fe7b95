"""Names under which the attempts of a request are recorded."""

from __future__ import annotations

import msgspec

SHARED_MARK = "~"


class LossKey(msgspec.Struct, frozen=True, kw_only=True):
    """What the engines that a request was lost at are recorded under.

    Attributes:
        digest: Shared by all attempts of the request.
        line: The place of the request in its session, under which the ledger keeps its losses.
        retention: Seconds for which a loss counts.
    """

    digest: str
    line: str
    retention: float


def is_shared(digest: str) -> bool:
    """Return whether requests of several programs may have a name."""
    return digest.endswith(SHARED_MARK)
