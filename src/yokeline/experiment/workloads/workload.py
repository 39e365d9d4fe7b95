"""What a workload is: arrivals by seed and rate, and the engines that serve it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.experiment.script import Arrival

ArrivalMaker = Callable[[int, float], tuple[Arrival, ...]]
"""Makes the arrivals of a seed at a mean rate (programs a second over the horizon)."""


class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """A workload of the users.

    Attributes:
        engines: Number of model engines.
        warmup_seconds: Requests that arrive before are served but not measured.
        horizon_seconds: No program starts, and no new turn is measured, after this time.
        drain_seconds: Time after the horizon that open requests have; what is open then
            counts with its age as latency and is late.
        start_rate: Programs a second at which the search for the saturation starts.
        tool_timeout_seconds: Time after which a tool call is given up.
    """

    name: str
    engines: int
    warmup_seconds: float
    horizon_seconds: float
    drain_seconds: float
    start_rate: float
    tool_timeout_seconds: float
    arrivals: ArrivalMaker
