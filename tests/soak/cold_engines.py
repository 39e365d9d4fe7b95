"""Engines of the soak that are cold after a start, and the promise about their arrivals."""

from __future__ import annotations

from tests.processes.platform.deployment import COLD_OVERAGE, COLD_SLACK
from tests.processes.platform.stand_ins import EngineStandIn
from tests.unit.scheduling.cold_replay import max_in_second

COLD_RATE = 1.0
"""Requests a second that a cold engine bears; without a bound 10 and more arrive in a second."""
MOST_ARRIVALS = COLD_RATE * COLD_OVERAGE + COLD_SLACK


def beyond_cold_rate(engines: list[EngineStandIn]) -> list[str]:
    """Return the starts of engines after which too many requests arrived in some second.

    Arrivals are summed over all nodes by the engines' own clocks; those that an engine answered
    with 421 are not among them.
    """
    found = []
    for engine in engines:
        arrivals = sorted(request.at for request in engine.seen)
        for began, ended in engine.cold_spans:
            inside = [at for at in arrivals if began <= at < ended]
            most = max_in_second(inside)
            if most > MOST_ARRIVALS:
                times = ", ".join(f"{at - began:.2f}" for at in inside)
                found.append(
                    f"{engine.engine_id}, cold from {began:.2f} on, got {most} requests in a"
                    f" second; {MOST_ARRIVALS} may arrive: after {times} s"
                )
    return found
