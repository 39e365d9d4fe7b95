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

    allowed: int
    engines: list[str] = msgspec.field(default_factory=list)
    returns: int = 0

    def note_left(self, engine_id: str) -> None:
        """Count an engine that answered, broke off or fell silent, or was given up."""
        self.note_gone(engine_id)
        self.engines.append(engine_id)

    def note_gone(self, engine_id: str) -> None:
        """Count an engine no more: another one answers at its address, so it runs nothing."""
        if engine_id in self.engines:
            self.engines.remove(engine_id)

    def note_sent(self, engine_id: str) -> None:
        """Note that it is sent to an engine, which may have had it before."""
        if engine_id in self.engines:
            self.returns += 1

    @property
    def are_used_up(self) -> bool:
        """Whether it may go to no further engine, but back to those that had it."""
        return bool(self.engines) and len(self.engines) >= self.allowed

    def allow_leaving(self, engine_id: str) -> bool:
        """Return whether it may go elsewhere once this engine is left with it as well."""
        return len({*self.engines, engine_id}) < self.allowed

    @property
    def latest(self) -> str:
        """The engine that was left with it last; empty if there is none."""
        return self.engines[-1] if self.engines else ""
