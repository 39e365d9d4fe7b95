"""Counts the engines that may be running one request against the limit of its route.

A connection that was reset, closed, silent or never established does not show that the engine
stopped working on the request, so none of these failures gives an attempt back. An attempt is given
back only if the engine answers that it did not run the request, or if another engine answers at its
address.
"""

from __future__ import annotations

import msgspec


class Attempts(msgspec.Struct, kw_only=True):
    """Attempts of one request.

    Attributes:
        max_engines: Maximum number of engines that may be running the request.
        engine_ids: Engines that received the request and did not deny running it, oldest first.
        same_engine_retries: How often the request was sent to one of these engines again.
    """

    max_engines: int
    engine_ids: list[str] = msgspec.field(default_factory=list)
    same_engine_retries: int = 0

    def record_attempt(self, engine_id: str) -> None:
        """Count an engine that answered, failed, timed out or was abandoned."""
        self.discard(engine_id)
        self.engine_ids.append(engine_id)

    def discard(self, engine_id: str) -> None:
        """Stop counting an engine that is no longer at its address: it does not run the request."""
        if engine_id in self.engine_ids:
            self.engine_ids.remove(engine_id)

    def record_send(self, engine_id: str) -> None:
        """Count a send; one to an engine that had the request before is a same-engine retry."""
        if engine_id in self.engine_ids:
            self.same_engine_retries += 1

    @property
    def are_exhausted(self) -> bool:
        """Whether only engines that already had the request may receive it."""
        return bool(self.engine_ids) and len(self.engine_ids) >= self.max_engines

    def allow_another_after(self, engine_id: str) -> bool:
        """Return whether another engine may receive the request once this engine counts too."""
        return len({*self.engine_ids, engine_id}) < self.max_engines

    @property
    def latest_engine_id(self) -> str:
        """The engine counted last; empty if there is none."""
        return self.engine_ids[-1] if self.engine_ids else ""
