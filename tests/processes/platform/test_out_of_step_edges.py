"""Streams resumed at an edge that was out of step while engines of a new version joined."""

from __future__ import annotations

import signal
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from tests.processes.platform.deployment import Deployment
from tests.processes.platform.streams import CallerStream, versions_of

VERSIONS = ("v1", "v2")
ENGINES = 4
STREAMS = 12
EVENT_SECONDS = 0.12
UNHEARD_SECONDS = 1.5
"""Time after a cut until the nodes know that they hear no reports."""
LISTED_SECONDS = 0.6
"""Time after which the nodes in step have read of the engines that join."""
HELD_SECONDS = 0.3
"""Time in which the requests to a frozen node have reached its socket."""
Action = Callable[[Deployment], None]


def cut_out(deployment: Deployment) -> None:
    """Lose what edge-1 sends to other nodes; it hears them."""
    deployment.links.cut(
        {pair for pair in deployment.links_of(deployment.edges[1]) if pair[0] == "edge-1"}
    )


def cut_in(deployment: Deployment) -> None:
    """Lose what other nodes send to edge-1; they hear it."""
    deployment.links.cut(
        {pair for pair in deployment.links_of(deployment.edges[1]) if pair[1] == "edge-1"}
    )


def restore(deployment: Deployment) -> None:
    deployment.links.restore(deployment.links_of(deployment.edges[1]))


def freeze(deployment: Deployment) -> None:
    deployment.edges[1].send(signal.SIGSTOP)


def wake(deployment: Deployment) -> None:
    deployment.edges[1].send(signal.SIGCONT)


def nothing(_deployment: Deployment) -> None:
    pass


class OutOfStepEdges(unittest.TestCase):
    def play(self, story: str, disturb: Action, beside: Action, mend: Action) -> None:
        """Let engines of v2 join while edge-1 is out of step, and resume their streams there."""
        for has_budget in (True, False):
            with (
                self.subTest(story, has_budget=has_budget),
                Deployment(
                    models=ENGINES, versions=VERSIONS, listed_versions=("v1",), has_links=True
                ) as deployment,
            ):
                for model in deployment.models:
                    model.event_seconds = EVENT_SECONDS
                deployment.turn(1, "/pair/x", "warm")
                disturb(deployment)
                time.sleep(UNHEARD_SECONDS)
                for model in deployment.models:
                    if model.version == "v2":
                        deployment.list_engine(model)
                time.sleep(LISTED_SECONDS)
                beside(deployment)
                streams = [
                    CallerStream(f"s{number}", "/pair/x", f"p{number}" if has_budget else "")
                    for number in range(STREAMS)
                ]
                self.resume_while(deployment, streams, mend)
                engines = deployment.models
                held = [versions_of(item, engines) for item in streams]
                self.assertIn({"v2"}, held, "no stream began at the new version")
                crossed = [
                    item.name for item, found in zip(streams, held, strict=True) if len(found) > 1
                ]
                self.assertEqual(crossed, [], "streams with events of two versions")

    def resume_while(
        self, deployment: Deployment, streams: list[CallerStream], mend: Action
    ) -> None:
        """Begin all streams at edge-0, and resume them at edge-1, which is mended meanwhile."""
        with ThreadPoolExecutor(STREAMS) as callers:
            list(callers.map(lambda item: item.begin(deployment, 0), streams))
            resumed = [callers.submit(item.resume, deployment, 1) for item in streams]
            time.sleep(HELD_SECONDS)
            mend(deployment)
            for item in resumed:
                item.result()

    def test_an_edge_that_is_not_heard(self) -> None:
        self.play("what it sends is lost", cut_out, nothing, restore)

    def test_an_edge_that_hears_nobody(self) -> None:
        self.play("what it is sent is lost", cut_in, nothing, restore)

    def test_an_edge_that_is_asked_in_the_moment_in_which_it_wakes(self) -> None:
        self.play("frozen", freeze, nothing, wake)

    def test_an_edge_that_hears_nobody_beside_a_change_of_leader(self) -> None:
        self.play(
            "what it is sent is lost, and the leader is killed",
            cut_in,
            lambda deployment: deployment.leader().kill(),
            restore,
        )


if __name__ == "__main__":
    unittest.main()
