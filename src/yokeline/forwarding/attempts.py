"""The engines that a request was left with, counted against the limit of its route.

A node sees its connections, never the engine behind them. A reset, a close, a silence or a failed
attempt to connect tells nothing of whether the engine still works on a request, so none of them
gives an attempt back. Only an engine's own word does: it has not run the request, or another one
answers at its address.
"""

from __future__ import annotations

import msgspec


class Attempts(msgspec.Struct, kw_only=True):
    """What one request has used up of its route's limit.

    Attributes:
        allowed: Most engines that may be left with it.
        engines: Those that got it and have not said that they did not run it, the latest last.
        returns: How often it went back to one of them.
    """

    max_engines: int
    engine_ids: list[str] = msgspec.field(default_factory=list)
    same_engine_retries: int = 0

    def record_attempt(self, engine_id: str) -> None:
        """Count an engine that answered, broke off or fell silent, or was given up."""
        self.discard(engine_id)
        self.engine_ids.append(engine_id)

    def discard(self, engine_id: str) -> None:
        """Count an engine no more: another one answers at its address, so it runs nothing."""
        if engine_id in self.engine_ids:
            self.engine_ids.remove(engine_id)

    def record_send(self, engine_id: str) -> None:
        """Note that it is sent to an engine, which may have had it before."""
        if engine_id in self.engine_ids:
            self.same_engine_retries += 1

    @property
    def are_exhausted(self) -> bool:
        """Whether it may go to no further engine, but back to those that had it."""
        return bool(self.engine_ids) and len(self.engine_ids) >= self.max_engines

    def allow_another_after(self, engine_id: str) -> bool:
        """Return whether it may go elsewhere once this engine is left with it as well."""
        return len({*self.engine_ids, engine_id}) < self.max_engines

    @property
    def latest_engine_id(self) -> str:
        """The engine that was left with it last; empty if there is none."""
        return self.engine_ids[-1] if self.engine_ids else ""
