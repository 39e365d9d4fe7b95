"""An operator who evacuates zones in the soak, and the promise about their engines."""

from __future__ import annotations

import random
import threading
import time

import msgspec

from tests.processes.platform.deployment import Deployment
from tests.processes.platform.stand_ins import EngineStandIn
from tests.soak.faults import SharedFaults

ZONES = ("a", "b", "c")
"""Zones of the engines; each pool has an engine in each."""
EVACUATION_SECONDS = 5.0
"""Bound in the settings of all forwarding nodes."""
LONGEST_CHECKED_SECONDS = 2.5
"""Longest time that an order outlasts the bound; requests in this time are late."""
SERIES_SHARE = 0.4
"""Share of orders that are withdrawn and given again within a second."""
LONGEST_STEP_SECONDS = 0.4
LONGEST_PAUSE_SECONDS = 3.0


class Order(msgspec.Struct, frozen=True):
    """An evacuation: acknowledged at ``ordered_at``, removed after ``ended_at`` (monotonic)."""

    zone: str
    ordered_at: float
    ended_at: float


class ZoneOperator:
    """Evacuates one zone after the other; callers are served by the others meanwhile.

    Attributes:
        orders: What was ordered, in order.
    """

    def __init__(self, deployment: Deployment, shared: SharedFaults, seed: int) -> None:
        """Prepare the plan of a seed; it is independent of the injectors' plans."""
        self.orders: list[Order] = []
        self._deployment = deployment
        self._shared = shared
        self._random = random.Random(f"{seed}/zones")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """Withdraw the order in force, if any, and give no more."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            zone = self._random.choice(ZONES)
            if self._random.random() < SERIES_SHARE:
                self._order_in_series(zone)
            else:
                self._order_beyond_bound(zone)
            self._stop.wait(self._random.uniform(0.1, LONGEST_PAUSE_SECONDS))

    def _order_in_series(self, zone: str) -> None:
        """Give, withdraw and give an order again, whatever happens to the store meanwhile."""
        self._shared.note(f"zone {zone} is evacuated, not, and evacuated again")
        self._evacuate(zone, self._random.uniform(0.0, LONGEST_STEP_SECONDS))
        self._stop.wait(self._random.uniform(0.0, LONGEST_STEP_SECONDS))
        self._evacuate(zone, self._random.uniform(0.0, LONGEST_STEP_SECONDS))

    def _order_beyond_bound(self, zone: str) -> None:
        """Let an order outlast the bound, which holds while the store answers."""
        seconds = EVACUATION_SECONDS + self._random.uniform(0.5, LONGEST_CHECKED_SECONDS)
        with self._shared.holding("store", "proxy store") as is_free:
            if is_free:
                self._shared.note(f"zone {zone} is evacuated for {seconds:.2f} s")
                self._evacuate(zone, seconds)

    def _evacuate(self, zone: str, seconds: float) -> None:
        self._deployment.evacuate(zone)
        ordered_at = time.monotonic()
        self._stop.wait(seconds)
        self.orders.append(Order(zone, ordered_at, time.monotonic()))
        self._deployment.end_evacuation(zone)


def late_requests(
    engines: list[EngineStandIn], engine_zones: dict[str, str], orders: list[Order]
) -> list[str]:
    """Return the requests that an evacuated zone's engine got later than the bound."""
    return [
        f"{request.request_id} reached {engine.engine_id} {request.at - order.ordered_at:.2f} s"
        f" after the evacuation of zone {order.zone}"
        for engine in engines
        for request in engine.seen
        for order in orders
        if engine_zones[engine.engine_id] == order.zone
        and order.ordered_at + EVACUATION_SECONDS < request.at < order.ended_at
    ]
