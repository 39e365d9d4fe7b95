"""Zone evacuation with real processes: order, restart of a node, all zones, end."""

from __future__ import annotations

import itertools
import unittest

from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import Deployment
from tests.processes.platform.stand_ins import EngineStandIn, SeenRequest
from tests.soak.evacuations import EVACUATION_SECONDS, Order, late_requests

OK = 200
UNAVAILABLE = 503
ROUNDS = 6


class Evacuations(unittest.TestCase):
    def setUp(self) -> None:
        self._numbers = itertools.count()

    def ask(self, deployment: Deployment, edge: int) -> int:
        """Ask for a call and a turn; return the status of the turn."""
        number = next(self._numbers)
        deployment.ask(edge, "/look/x", f"call-{number}")
        status, _ = deployment.turn(edge, "/turn/x", f"turn-{number}", program_id=f"p{number}")
        return status

    def requests_of_zone(self, deployment: Deployment, zone: str) -> int:
        engines = [*deployment.models, *deployment.apps]
        return sum(
            len(engine.seen)
            for engine in engines
            if deployment.engine_zones[engine.engine_id] == zone
        )

    def test_a_zone_gets_nothing_between_an_order_and_its_end(self) -> None:
        """Also after a restart of a node, which knows of the order by the first list only."""
        with Deployment(
            models=2, apps=2, zones=("a", "b"), evacuation_seconds=EVACUATION_SECONDS
        ) as deployment:
            self.assertEqual(self.ask(deployment, 0), OK)
            deployment.evacuate("a")
            wait_until(
                lambda: all(edge.lines("zone_evacuation_began") for edge in deployment.edges),
                "edges know of the order",
            )
            self.assertIn("yokeline_forwarding_zones_evacuated 1", deployment.metrics(0))
            before = self.requests_of_zone(deployment, "a")
            for _ in range(ROUNDS):
                self.assertEqual({self.ask(deployment, edge) for edge in (0, 1)}, {OK})
            deployment.edges[0].kill()
            deployment.edges[0].start()
            wait_until(lambda: deployment.is_ready(0), "the edge is ready again")
            for _ in range(ROUNDS):
                self.assertEqual(self.ask(deployment, 0), OK)
            self.assertEqual(self.requests_of_zone(deployment, "a"), before)

            deployment.evacuate("b")
            wait_until(
                lambda: all(
                    any(line["zone"] == "b" for line in edge.lines("zone_evacuation_began"))
                    for edge in deployment.edges
                ),
                "edges know of the second order",
            )
            fields = {"program_id": "q", "token_budget": "200", "token_usage": "100,50"}
            for edge, path in itertools.product((0, 1), ("/turn/x", "/fix/x", "/look/x")):
                status, _ = deployment.ask(edge, path, f"none-{edge}{path}", **fields)
                self.assertEqual(status, UNAVAILABLE)

            deployment.end_evacuation("a")
            wait_until(
                lambda: all(edge.lines("zone_evacuation_ended") for edge in deployment.edges),
                "edges know of the end",
            )
            self.assertEqual({self.ask(deployment, edge) for edge in (0, 1)}, {OK})
            self.assertGreater(self.requests_of_zone(deployment, "a"), before)


class LateRequests(unittest.TestCase):
    """The soak's check finds what it is to find."""

    def found(self, at: float, engine_zone: str = "a") -> list[str]:
        engine = EngineStandIn("model-0")
        engine.seen.append(SeenRequest("r", at, {}))
        order = Order("a", 100.0, 110.0)
        return late_requests([engine], {"model-0": engine_zone}, [order])

    def test_a_request_after_the_bound_and_before_the_end_is_late(self) -> None:
        self.assertEqual(len(self.found(105.1)), 1)
        self.assertEqual(len(self.found(109.9)), 1)

    def test_others_are_not(self) -> None:
        self.assertEqual(self.found(104.9), [])
        self.assertEqual(self.found(110.1), [])
        self.assertEqual(self.found(105.1, engine_zone="b"), [])
