"""Engines of the soak that are cold after a start, and the promise about their arrivals."""

from __future__ import annotations

import time

from tests.processes.platform.deployment import COLD_OVERAGE, COLD_SECONDS, COLD_SLACK
from tests.processes.platform.stand_ins import EngineStandIn
from tests.soak.faults import ENGINE_START_SECONDS
from tests.soak.operators import Operator
from tests.soak.proxy import ProxyFault
from tests.unit.scheduling.cold_replay import max_in_second

COLD_RATE = 1.0
"""Requests a second that a cold engine bears; without a bound 10 and more arrive in a second."""
MOST_ARRIVALS = COLD_RATE * COLD_OVERAGE + COLD_SLACK


class PoolOperator(Operator):
    """Starts all engines of a pool again at once, so that no warm one takes the load."""

    name = "pools"
    longest_pause_seconds = 8.0

    def act(self) -> None:
        """Let the engines of a pool crash together and start again, as after a loss of power."""
        pool = self.random.choice([self.deployment.models, self.deployment.apps])
        ids = [engine.engine_id for engine in pool]
        names = [f"{kind} {engine_id}" for kind in ("proxy", "entry") for engine_id in ids]
        with self.shared.holding(*names) as is_free:
            if not is_free:
                return
            self.shared.note(f"{' '.join(ids)} crash and start again")
            for engine_id in ids:
                self.shared.proxies[engine_id].set_fault(ProxyFault.RESET)
            time.sleep(ENGINE_START_SECONDS)
            for engine in pool:
                engine.start_again(
                    time.monotonic(),
                    down_seconds=ENGINE_START_SECONDS,
                    cold_seconds=COLD_SECONDS,
                )
                self.deployment.list_engine(engine)
                self.shared.proxies[engine.engine_id].set_fault(ProxyFault.NONE)


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
