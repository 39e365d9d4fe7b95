"""Fault soak: real processes, faults from outside, promises checked from callers and back ends.

Run ``python -m tests.soak --seconds 120``; with ``--seed`` the plan of a seed is played again.
Regression seeds are in ``tests/soak/SEEDS.txt``, each with its cause.
"""

from __future__ import annotations

import secrets
import sys
import time
from pathlib import Path

import defopt

from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import Deployment
from tests.soak.callers import Caller
from tests.soak.faults import Injector
from tests.soak.proxy import Proxy
from tests.soak.records import Records, violations

CALLERS = 6
CALM_SECONDS = 3.0
SEED_SPAN = 10**9


class ProxiedDeployment(Deployment):
    """A deployment whose connections from callers, to engines and to the store pass proxies."""

    def __init__(self) -> None:
        """Prepare; the proxies are named by what lies behind them."""
        self.proxies: dict[str, Proxy] = {}

    def published(self, name: str, port: int) -> int:
        """Put a proxy before a port."""
        self.proxies[name] = Proxy(port)
        return self.proxies[name].port

    def close_proxies(self) -> None:
        """End the proxies."""
        for proxy in self.proxies.values():
            proxy.close()


def soak(*, seconds: float = 60.0, seed: int = -1, logs: str = "") -> int:
    """Play faults for a time and check the promises.

    :param seconds: How long faults are injected.
    :param seed: Plan to play; a fresh one if negative.
    :param logs: Folder that keeps the processes' logs if a promise was broken.
    """
    chosen = secrets.randbelow(SEED_SPAN) if seed < 0 else seed
    records = Records()
    with ProxiedDeployment() as deployment:
        injector = Injector(deployment, deployment.proxies, chosen)
        callers = [Caller(f"c{number}", deployment, records, chosen) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            injector.inject()
        wait_until(lambda: _is_served(deployment), "a turn is served after the last fault")
        time.sleep(CALM_SECONDS)
        for caller in callers:
            caller.stop()
        time.sleep(CALM_SECONDS)
        broken = violations(records.asked, [*deployment.models, deployment.app])
        if broken and logs:
            deployment.keep_logs(Path(logs))
        deployment.close_proxies()
    for line in injector.lines:
        print(line)
    print(f"seed {chosen}: {len(injector.lines)} faults, {len(records.asked)} requests")
    print(", ".join(f"{name}: {count}" for name, count in sorted(records.outcomes().items())))
    for line in broken:
        print(f"BROKEN {line}")
    print(f"{len(broken)} promises broken")
    return 1 if broken else 0


def _is_served(deployment: Deployment) -> bool:
    name = f"probe-{time.monotonic_ns()}"
    try:
        statuses = [
            deployment.turn(edge, "/turn/x", f"{name}-{edge}", program_id=f"{name}-{edge}")[0]
            for edge in range(len(deployment.fronts))
        ]
    except OSError:
        return False
    return statuses == [200] * len(statuses)


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
