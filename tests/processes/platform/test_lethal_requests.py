"""Requests that end the engines that run them, with real processes."""

from __future__ import annotations

import json
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from tests.processes.platform.deployment import (
    LAPSE_SECONDS,
    UNAVAILABLE,
    Deployment,
    RoleProcess,
)
from tests.processes.platform.lethal_requests import (
    MAX_ENDED_ENGINES,
    EnginesEnded,
    LethalCaller,
    engines_ended_under,
)
from tests.processes.platform.stand_ins import EngineStandIn
from yokeline.losses.quarantine import QUARANTINED

MODELS = 6
APPS = 4
MARK = b"lethal"
PATHS = ("/turn/x", "/pair/x", "/kept/x", "/line/x", "/look/x")
MIDWAY = 2
"""Events after which a lethal request ends its engine."""


def engines_of(deployment: Deployment) -> list[EngineStandIn]:
    return [*deployment.models, *deployment.apps]


def be_ended_by_requests(deployment: Deployment, events: int | None) -> None:
    """Let lethal requests end their engines, before the head or after some events."""
    for engine in engines_of(deployment):
        engine.ends_on = MARK
        engine.ends_after = events


class LethalRequests(unittest.TestCase):
    def play(
        self, deployment: Deployment, path: str, name: str, edges: tuple[int, ...] = (0, 1)
    ) -> tuple[LethalCaller, EnginesEnded]:
        """Ask for a lethal request until its caller gives up; wait until all engines are back."""
        caller = LethalCaller(name, path, MARK + name.encode(), f"p-{name}")
        caller.run(deployment, edges)
        ended = engines_ended_under(caller.body, engines_of(deployment))
        time.sleep(LAPSE_SECONDS)
        return caller, ended

    def test_a_request_is_not_sent_again_once_three_engines_have_ended_under_it(self) -> None:
        with Deployment(models=MODELS, apps=APPS) as deployment:
            for events in (None, MIDWAY):
                be_ended_by_requests(deployment, events)
                for path in PATHS:
                    with self.subTest(path=path, events=events):
                        name = f"{path.strip('/x')}-{events}"
                        caller, ended = self.play(deployment, path, name)
                        self.assertEqual(ended.sends_after, 0, caller.statuses)
                        self.assertEqual(ended.ended, MAX_ENDED_ENGINES, caller.statuses)

    def test_the_bound_holds_beside_other_faults(self) -> None:
        with Deployment(models=MODELS, apps=APPS) as deployment:
            be_ended_by_requests(deployment, None)
            faults: dict[str, Callable[[], None]] = {
                "the ledger's leader is killed": lambda: deployment.leader().kill(),
                "the node that saw the first end is killed": deployment.edges[0].kill,
                "the key-value service is down": lambda: setattr(deployment.store, "down", True),
                "all nodes of the ledger are killed": lambda: _kill(deployment.storage),
            }
            for number, (fault, strike) in enumerate(faults.items()):
                for path in ("/pair/x", "/look/x"):
                    with self.subTest(fault=fault, path=path):
                        caller = LethalCaller(
                            f"f{number}{path[1]}",
                            path,
                            MARK + f"{fault} {path}".encode(),
                            f"p{number}",
                        )
                        caller.before_attempt = lambda attempt, strike=strike: (  # type: ignore[misc]
                            strike() if attempt == 1 else None
                        )
                        caller.run(deployment, (0, 1))
                        deployment.store.down = False
                        _start_again(deployment)
                        caller.before_attempt = lambda _attempt: None
                        caller.run(deployment, (1, 0))
                        ended = engines_ended_under(caller.body, engines_of(deployment))
                        self.assertEqual(ended.sends_after, 0, caller.statuses)
                        time.sleep(LAPSE_SECONDS)

    def test_a_request_that_returns_after_a_restart_of_all_nodes_is_not_sent(self) -> None:
        with Deployment(models=MODELS) as deployment:
            be_ended_by_requests(deployment, None)
            caller, ended = self.play(deployment, "/pair/x", "returns")
            self.assertEqual(ended, EnginesEnded(MAX_ENDED_ENGINES, 0))
            for process in (*deployment.edges, *deployment.storage):
                process.kill()
            _start_again(deployment)
            caller.run(deployment, (1, 0))
            ended = engines_ended_under(caller.body, engines_of(deployment))
            self.assertEqual(ended, EnginesEnded(MAX_ENDED_ENGINES, 0), caller.statuses)
            self.assertTrue(caller.was_refused_for(QUARANTINED))

    def test_starts_of_one_engine_under_its_id_count_one_by_one(self) -> None:
        with Deployment(models=1) as deployment:
            deployment.keeps_ids = True
            be_ended_by_requests(deployment, None)
            caller = LethalCaller("one", "/turn/x", MARK, "p")
            for _ in range(MAX_ENDED_ENGINES):
                caller.run(deployment, (0, 1))
                time.sleep(LAPSE_SECONDS)
            ended = engines_ended_under(caller.body, engines_of(deployment))
            self.assertEqual(ended, EnginesEnded(MAX_ENDED_ENGINES, 0), caller.statuses)

    def test_a_request_whose_connections_break_is_served(self) -> None:
        """Engines that run on condemn no request, however often their connections break."""
        with Deployment(models=MODELS) as deployment:
            for model in deployment.models:
                model.break_after = MIDWAY
                model.breaks = 2
            caller = LethalCaller("breaks", "/turn/x", b"plain", "p")
            for _ in range(5):
                caller.run(deployment, (0, 1))
                if caller.is_served:
                    break
            self.assertTrue(caller.is_served, caller.statuses)
            self.assertFalse(caller.was_refused_for(QUARANTINED))

    def play_beside(
        self, deployment: Deployment, lethal: int, crashes: int
    ) -> tuple[list[LethalCaller], list[LethalCaller]]:
        """Ask for plain requests beside lethal ones while all engines end at once, some times."""
        for model in deployment.models:
            model.event_seconds = 0.05
        beside = [
            LethalCaller(f"beside{number}", "/pair/x", f"plain {number}".encode(), f"b{number}")
            for number in range(20)
        ]
        callers = [
            LethalCaller(f"lethal{number}", "/pair/x", MARK + bytes([48 + number]), f"l{number}")
            for number in range(lethal)
        ]
        with ThreadPoolExecutor(len(beside) + lethal) as pool:
            running = [
                pool.submit(caller.run, deployment, (number % 2, 1 - number % 2))
                for number, caller in enumerate([*beside, *callers])
            ]
            for _ in range(crashes):
                time.sleep(0.1)
                for model in deployment.models:
                    deployment.crash(model)
                time.sleep(0.5)
            for item in running:
                item.result()
        return beside, callers

    def test_requests_are_served_through_mass_crashes(self) -> None:
        with Deployment(models=MODELS) as deployment:
            beside, _ = self.play_beside(deployment, lethal=0, crashes=2)
            condemned = [item.name for item in beside if item.was_refused_for(QUARANTINED)]
            self.assertEqual(condemned, [])
            unserved = [(item.name, item.statuses) for item in beside if not item.is_served]
            self.assertEqual(unserved, [])

    def test_requests_that_stood_beside_are_served(self) -> None:
        """One is condemned only if three engines have ended with it, as its node must suppose.

        While no engine runs it is refused for that, and served once it comes back.
        """
        with Deployment(models=MODELS) as deployment:
            be_ended_by_requests(deployment, 0)
            beside, lethal = self.play_beside(deployment, lethal=2, crashes=1)
            for caller in lethal:
                ended = engines_ended_under(caller.body, engines_of(deployment))
                self.assertEqual(ended.sends_after, 0, caller.statuses)
            self.assertGreaterEqual(sum(caller.is_served for caller in beside), len(beside) // 2)
            time.sleep(LAPSE_SECONDS)
            for caller in beside:
                ended = engines_ended_under(caller.body, engines_of(deployment))
                if caller.was_refused_for(QUARANTINED):
                    self.assertGreaterEqual(
                        ended.ended, MAX_ENDED_ENGINES, _story(caller, deployment)
                    )
                    continue
                if not caller.is_served:
                    caller.run(deployment, (0, 1))
                self.assertTrue(caller.is_served, _story(caller, deployment))

    def test_callers_and_operators_can_read_why(self) -> None:
        with Deployment(models=MODELS) as deployment:
            be_ended_by_requests(deployment, None)
            caller, _ = self.play(deployment, "/pair/x", "why")
            last = caller.attempts[-1]
            self.assertEqual(last.status, UNAVAILABLE)
            self.assertEqual(json.loads(last.body)["error"], QUARANTINED)
            lines = [
                line for edge in deployment.edges for line in edge.lines("request_quarantined")
            ]
            own = [line for line in lines if line["request"] == last.request_id]
            self.assertEqual([line["ended"] for line in own], [MAX_ENDED_ENGINES])
            losses = {
                line["engine"]
                for edge in deployment.edges
                for line in edge.lines("engine_connection_failed")
                if line["request_digest"] == own[0]["request_digest"] and line["sent"]
            }
            self.assertEqual(losses, set(str(own[0]["ended_engines"]).split()))
            metric = "yokeline_forwarding_requests_quarantined_total"
            self.assertTrue(any(metric in deployment.metrics(edge) for edge in (0, 1)))


def _story(caller: LethalCaller, deployment: Deployment) -> str:
    """Return what a caller got, and what the nodes say of its attempts."""
    answers = [(attempt.status, attempt.body[:80]) for attempt in caller.attempts]
    ids = {attempt.request_id for attempt in caller.attempts}
    events = ("engine_connection_failed", "request_quarantined", "request_ended")
    lines = [
        line
        for edge in deployment.edges
        for event in events
        for line in edge.lines(event)
        if line["request"] in ids
    ]
    return "\n".join(
        map(str, (caller.name, answers, *sorted(lines, key=lambda item: item["time"])))
    )


def _kill(processes: list[RoleProcess]) -> None:
    for process in processes:
        process.kill()


def _start_again(deployment: Deployment) -> None:
    """Start the processes that were killed, and wait until the deployment serves."""
    deployment.start_killed()
    deployment.turn(0, "/turn/x", f"served-{time.monotonic_ns()}", program_id="served")


if __name__ == "__main__":
    unittest.main()
