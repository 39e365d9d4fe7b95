"""Tenants on real processes: what engines get of a request, keys that go, and limits."""

from __future__ import annotations

import http.client
import signal
import time
import unittest

from tests.processes.cluster import HOST, wait_until
from tests.processes.platform.deployment import (
    CALLER_HOST,
    REVOKE_SECONDS,
    Deployment,
    TenantKeys,
)
from tests.processes.platform.stand_ins import SeenRequest
from tests.soak.tenants import FORGED, FORGED_FIELDS

UNAUTHORIZED = 401
TOO_MANY = 429
OK = 200
UNAVAILABLE = 503


def tenants() -> list[TenantKeys]:
    return [
        TenantKeys("amber", ["key-of-amber"]),
        TenantKeys("birch", ["key-of-birch", "second-key-of-birch"]),
        TenantKeys("cedar", ["key-of-cedar"], rate=1.0, burst=3.0),
    ]


def seen(deployment: Deployment) -> dict[str, SeenRequest]:
    """Return the requests that engines ran, by id."""
    engines = [*deployment.models, *deployment.apps]
    return {request.request_id: request for engine in engines for request in engine.seen}


class Boundary(unittest.TestCase):
    def test_engines_get_the_tenant_and_neither_the_key_nor_forged_fields(self) -> None:
        with Deployment(tenants=tenants()) as deployment:
            connection = http.client.HTTPConnection(HOST, deployment.fronts[0], timeout=30)
            fields = {
                **FORGED_FIELDS,
                "Host": CALLER_HOST,
                "Authorization": "Bearer key-of-amber",
                "X-Yokeline-Request-Id": "r1",
            }
            connection.request("POST", "/look/x", body=b"", headers=fields)
            self.assertEqual(connection.getresponse().status, OK)
            got = seen(deployment)["r1"].fields
            self.assertEqual(got["x-yokeline-tenant"], "amber")
            self.assertNotIn("authorization", got)
            self.assertFalse([value for value in got.values() if FORGED in value])
            self.assertFalse([text for text in deployment.logs().values() if "key-of" in text])

    def test_a_turn_of_another_tenant_is_not_found(self) -> None:
        with Deployment(tenants=tenants()) as deployment:
            fields = {"program_id": "p", "token_budget": "200", "token_usage": "100,50"}
            kept = deployment.ask(0, "/kept/x", "k1", key="key-of-amber", **fields)
            self.assertEqual(kept[0], OK)
            stolen = {**fields, "previous_turn": "k1"}
            for edge in range(2):
                status, _ = deployment.ask(
                    edge, "/kept/x", f"s{edge}", key="key-of-birch", **stolen
                )
                self.assertEqual(status, 404)
            own, _ = deployment.ask(1, "/kept/x", "k2", key="key-of-amber", **stolen)
            self.assertEqual(own, OK)
            self.assertNotIn("s0", seen(deployment))


class Revocation(unittest.TestCase):
    def test_a_key_that_is_taken_away_stops_everywhere_also_while_the_service_is_away(self) -> None:
        with Deployment(tenants=tenants()) as deployment:
            for edge in range(2):
                status, _ = deployment.ask(edge, "/look/x", f"a{edge}", key="key-of-birch")
                self.assertEqual(status, OK)
            paused = deployment.edges[1]
            paused.send(signal.SIGSTOP)
            deployment.tenants[1].in_force = ["second-key-of-birch"]
            deployment.configure(2)
            taken_at = time.monotonic()
            wait_until(
                lambda: self.status(deployment, 0, "key-of-birch") == UNAUTHORIZED,
                "the key is unknown",
            )
            deployment.store.down = True
            time.sleep(max(0.0, taken_at + REVOKE_SECONDS - time.monotonic()))
            paused.send(signal.SIGCONT)
            # It wakes with the old configuration, and nobody can tell it which one is in force.
            self.assertIn(self.status(deployment, 1, "key-of-birch"), (UNAUTHORIZED, UNAVAILABLE))
            deployment.store.down = False
            wait_until(
                lambda: self.status(deployment, 1, "second-key-of-birch") == OK, "it serves again"
            )
            self.assertEqual(self.status(deployment, 1, "key-of-birch"), UNAUTHORIZED)

    def status(self, deployment: Deployment, edge: int, key: str) -> int:
        return deployment.ask(edge, "/look/x", f"q{time.monotonic_ns()}", key=key)[0]


class Limits(unittest.TestCase):
    def test_a_limit_holds_over_all_edges_and_costs_others_nothing(self) -> None:
        with Deployment(tenants=tenants()) as deployment:
            statuses = [
                deployment.ask(n % 2, "/look/x", f"c{n}", key="key-of-cedar")[0] for n in range(40)
            ]
            served = statuses.count(OK)
            self.assertGreaterEqual(served, 3)
            self.assertIn(TOO_MANY, statuses)
            self.assertEqual(set(statuses), {OK, TOO_MANY})
            other, _ = deployment.ask(0, "/look/x", "other", key="key-of-amber")
            self.assertEqual(other, OK)
            ran = [name for name in seen(deployment) if name.startswith("c")]
            self.assertEqual(len(ran), served)
