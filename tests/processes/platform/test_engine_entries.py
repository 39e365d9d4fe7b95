"""Entries of engines that change under the real processes: other starts, and other writers."""

from __future__ import annotations

import unittest

from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import Deployment
from tests.processes.platform.stand_ins import EngineStandIn

OK = (200, b"done")
BAD_VALUES = (b"\xff", b"{}", b"[" * 5000, b'{"service":"apps"}')


class Entries(unittest.TestCase):
    def wait_for_lines(self, deployment: Deployment, event: str, count: int) -> None:
        for edge in deployment.edges:
            wait_until(lambda e=edge: len(e.lines(event)) >= count, f"{count} of {event}")  # type: ignore[misc]

    def served_by(self, deployment: Deployment, name: str) -> EngineStandIn:
        """Let an edge serve a call, and return the engine that ran it."""
        self.assertEqual(deployment.ask(0, "/fix/x", name), OK)
        return next(app for app in deployment.apps if any(run[0] == name for run in app.runs))

    def test_an_engine_that_starts_again_is_another_one_and_is_used(self) -> None:
        with Deployment(models=1, apps=1, storage_nodes=1) as deployment:
            self.served_by(deployment, "before")
            for number in range(1, 4):
                deployment.app.born += 1000
                deployment.list_engine(deployment.app)
                self.wait_for_lines(deployment, "engine_restarted", number)
                self.assertIs(self.served_by(deployment, f"after-{number}"), deployment.app)

    def test_an_entry_of_another_writer_is_not_used_and_costs_one_line(self) -> None:
        with Deployment(models=1, apps=2, storage_nodes=1) as deployment:
            bad, good = deployment.apps
            for number, value in enumerate(BAD_VALUES * 3):
                deployment.store.put_bytes(f"servers/{bad.engine_id}", value)
                deployment.store.put_bytes(f"yokeline/nodes/{number}", value)
            self.wait_for_lines(deployment, "node_refused", len(BAD_VALUES) * 3)
            for number in range(4):
                self.assertIs(self.served_by(deployment, f"one-{number}"), good)
            deployment.forget_engine(good)
            deployment.list_engine(bad)
            self.wait_for_lines(deployment, "engine_gone", 1)
            self.assertIs(self.served_by(deployment, "again"), bad)
            for edge in deployment.edges:
                self.assertEqual(len(edge.lines("engine_refused")), 1)
                self.assertEqual(edge.lines("service_fault"), [])
