"""Real processes keep their requests to an engine that starts again within its bound."""

from __future__ import annotations

import threading
import time
import unittest

from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import Deployment
from tests.unit.scheduling.cold_replay import max_in_second

RATE = 4.0
BOUND = RATE * 1.5 + 5
CALLERS_PER_EDGE = 8
CALL_SECONDS = 2.0


class ColdEngines(unittest.TestCase):
    def test_an_engine_that_starts_again_under_load_gets_no_more_than_its_bound(self) -> None:
        """Sixteen callers would otherwise send it all that it answers."""
        with Deployment(models=1, apps=1, storage_nodes=1, cold_rate=RATE) as deployment:
            app = deployment.app
            self.assertEqual(deployment.ask(0, "/fix/x", "warm"), (200, b"done"))
            app.born += 1000
            deployment.list_engine(app, cold_left_ms=30_000)
            for edge in deployment.edges:
                wait_until(lambda e=edge: e.lines("engine_cold"), "the engine is cold")  # type: ignore[misc]
            known = len(app.run_times)
            outcomes = self.call_from_all_edges(deployment)
            arrivals = sorted(app.run_times.values())[known:]
            self.assertGreater(len(arrivals), 0)
            self.assertLessEqual(max_in_second(arrivals), BOUND)
            self.assertLessEqual(set(outcomes), {200, 503})
            deployment.list_engine(app)
            for edge in deployment.edges:
                wait_until(lambda e=edge: e.lines("engine_warm"), "the engine is warm")  # type: ignore[misc]
            self.assertEqual(deployment.ask(1, "/fix/x", "again"), (200, b"done"))
            for edge in deployment.edges:
                self.assertEqual(edge.lines("service_fault"), [])

    def call_from_all_edges(self, deployment: Deployment) -> list[int]:
        """Let callers ask one call after the other; return how the calls ended."""
        outcomes: list[int] = []
        end = time.monotonic() + CALL_SECONDS

        def call(edge: int, caller: int) -> None:
            number = 0
            while time.monotonic() < end:
                number += 1
                status, _ = deployment.ask(edge, "/fix/x", f"cold-{edge}-{caller}-{number}")
                outcomes.append(status)

        threads = [
            threading.Thread(target=call, args=(edge, caller))
            for edge in range(len(deployment.edges))
            for caller in range(CALLERS_PER_EDGE)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return outcomes


if __name__ == "__main__":
    unittest.main()
