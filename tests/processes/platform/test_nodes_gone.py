"""Attempts at engines that end after the node of the attempt has gone."""

from __future__ import annotations

import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import LAPSE_SECONDS, Deployment
from tests.processes.platform.lethal_requests import (
    MAX_ENDED_ENGINES,
    LethalCaller,
    engines_ended_under,
)

MODELS = 12
APPS = 12
MARK = b"lethal"
KNOWN_SECONDS = 0.05
REPORTS_SECONDS = 1.0
GRACE_SECONDS = 2.0
ATTEMPTS = 7


def callers_of(name: str) -> list[LethalCaller]:
    """Return a call, a stream that may be resumed, a turn with a budget, and a stranger's call."""
    found = []
    for path, budget, program in (
        ("/look/x", None, f"p-{name}l"),
        ("/pair/x", None, f"p-{name}s"),
        ("/turn/x", 100_000, f"p-{name}t"),
        ("/look/x", None, ""),
    ):
        kind = f"{name}{path[1]}{bool(program)}"
        found.append(LethalCaller(kind, path, MARK + b" " + kind.encode(), program, budget=budget))
    return found


class NodesGone(unittest.TestCase):
    def play(
        self, name: str, ends_in: float, gone_after: float, number: signal.Signals, most: int
    ) -> None:
        """Let each node go by turns while its attempts are at their engines."""
        with Deployment(models=MODELS, apps=APPS, grace_seconds=GRACE_SECONDS) as deployment:
            time.sleep(REPORTS_SECONDS)
            for engine in (*deployment.models, *deployment.apps):
                engine.ends_on = MARK
                engine.ends_in = ends_in
            callers = callers_of(name)
            for attempt in range(ATTEMPTS):
                self.attempt(deployment, callers, attempt % 2, gone_after, number)
            time.sleep(ends_in + LAPSE_SECONDS)
            for caller in callers:
                ended = engines_ended_under(
                    caller.body,
                    [*deployment.models, *deployment.apps],
                    known_seconds=KNOWN_SECONDS,
                )
                with self.subTest(caller.name):
                    self.assertEqual(ended.sends_after, 0, f"{ended} {caller.statuses}")
                    self.assertLessEqual(ended.ended, most, caller.statuses)

    def attempt(
        self,
        deployment: Deployment,
        callers: list[LethalCaller],
        edge: int,
        gone_after: float,
        number: signal.Signals,
    ) -> None:
        node = deployment.edges[edge]
        with ThreadPoolExecutor(len(callers)) as pool:
            running = [pool.submit(caller.attempt, deployment, edge) for caller in callers]
            time.sleep(gone_after)
            node.send(number)
            node.wait()
            for item in running:
                item.result()
        node.start(first_start=False)
        wait_until(lambda: deployment.is_ready(edge), "the node is ready")

    def test_attempts_of_a_node_that_has_stopped_count(self) -> None:
        self.play("t", 3.0, 0.3, signal.SIGTERM, MAX_ENDED_ENGINES)

    def test_attempts_of_a_node_that_was_killed_count(self) -> None:
        """One more may end: the node that keeps an attempt may go before it has told of it."""
        self.play("k", 1.5, 0.8, signal.SIGKILL, MAX_ENDED_ENGINES + 1)


if __name__ == "__main__":
    unittest.main()
