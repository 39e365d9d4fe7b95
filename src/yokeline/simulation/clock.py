"""Local clocks of simulated machines: monotonic, with an offset and a drift."""

from __future__ import annotations

import msgspec


class LocalClock(msgspec.Struct, frozen=True, kw_only=True):
    """A machine's monotonic clock against virtual time.

    Attributes:
        offset: Local seconds at virtual time 0.
        drift: Relative error of its rate; 0.001 gains a millisecond a second.
        wall_offset: Wall seconds minus local seconds, as the machine believes.
    """

    offset: float = 0.0
    drift: float = 0.0
    wall_offset: float = 0.0

    def local(self, virtual: float) -> float:
        """Return the local monotonic time at a virtual time."""
        return self.offset + virtual * (1.0 + self.drift)

    def virtual(self, local: float) -> float:
        """Return the virtual time at a local monotonic time."""
        return (local - self.offset) / (1.0 + self.drift)
