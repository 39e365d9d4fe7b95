"""What operators of the soak have in common that bring one fault after the other about."""

from __future__ import annotations

import random
import threading

from tests.processes.platform.deployment import Deployment
from tests.soak.faults import SharedFaults

FIRST_PAUSE_SECONDS = 2.0


class Operator:
    """Acts again and again in a thread; its plan is independent of the injectors' plans."""

    name = ""
    """What its plan is drawn by, beside the seed."""
    longest_pause_seconds = 0.0

    def __init__(self, deployment: Deployment, shared: SharedFaults, seed: int) -> None:
        """Prepare the plan of a seed."""
        self.deployment = deployment
        self.shared = shared
        self.random = random.Random(f"{seed}/{self.name}")
        self.stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """Take the fault back that is under way, if any, and act no more."""
        self.stopping.set()
        self._thread.join()

    def act(self) -> None:
        """Bring a fault about, wait, and take it back."""
        raise NotImplementedError

    def _run(self) -> None:
        self.stopping.wait(FIRST_PAUSE_SECONDS)
        while not self.stopping.is_set():
            self.act()
            self.stopping.wait(self.random.uniform(0.1, self.longest_pause_seconds))
