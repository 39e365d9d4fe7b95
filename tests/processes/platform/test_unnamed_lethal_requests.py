"""Requests without a program that end their engines, beside those of programs and strangers."""

from __future__ import annotations

import signal
import threading
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import LAPSE_SECONDS, Deployment
from tests.processes.platform.lethal_requests import (
    MAX_ENDED_ENGINES,
    OK,
    LethalCaller,
    engines_ended_under,
)

EDGES = 6
APPS = 12
MARK = b"lethal"
KNOWN_SECONDS = 0.05
REPORTS_SECONDS = 1.0
LEFT_ATTEMPTS = 9
STAGGER_SECONDS = 0.012
STOPS_WITHIN_SECONDS = 0.4
STRANGERS = 24
CALL_SECONDS = (0.05, 0.3)
ASK_SECONDS = 8.0
CRASHES = 3
BETWEEN_CRASHES_SECONDS = 1.5
LONGEST_REST_SECONDS = 2.0
"""Longer than all engines are down, with the work of two calls; condemned callers rest for 60."""


def be_ended_by_requests(deployment: Deployment, ends_in: float) -> None:
    for engine in deployment.apps:
        engine.ends_on = MARK
        engine.ends_in = ends_in


def callers_of(name: str) -> list[LethalCaller]:
    """Return a call without a program, and the same of one."""
    return [
        LethalCaller(f"{name}{program}", "/look/x", MARK + f" {name}{program}".encode(), program)
        for program in ("", f"p-{name}")
    ]


class UnnamedLethalRequests(unittest.TestCase):
    def check(
        self, story: str, callers: list[LethalCaller], deployment: Deployment, most: int
    ) -> None:
        """Check how many engines have ended, and wait until all are back."""
        time.sleep(LAPSE_SECONDS)
        for caller in callers:
            ended = engines_ended_under(caller.body, deployment.apps, known_seconds=KNOWN_SECONDS)
            with self.subTest(story, program=caller.program):
                self.assertEqual(ended.sends_after, 0, f"{ended} {caller.statuses}")
                self.assertLessEqual(ended.ended, most, f"{ended} {caller.statuses}")

    def play(
        self, deployment: Deployment, story: str, run: Callable[[LethalCaller], None], most: int
    ) -> None:
        callers = callers_of(story.replace(" ", ""))
        with ThreadPoolExecutor(len(callers)) as pool:
            for running in [pool.submit(run, caller) for caller in callers]:
                running.result()
        self.check(story, callers, deployment, most)

    def test_attempts_that_their_callers_left_count(self) -> None:
        with Deployment(apps=APPS) as deployment:
            time.sleep(REPORTS_SECONDS)
            for ends_in, leaves_after in ((1.0, 0.6), (2.5, 1.0)):

                def run(caller: LethalCaller, leaves_after: float = leaves_after) -> None:
                    caller.leaves_after = leaves_after
                    for number in range(LEFT_ATTEMPTS):
                        caller.attempt(deployment, number % 2)

                be_ended_by_requests(deployment, ends_in)
                self.play(deployment, f"ends in {ends_in}", run, MAX_ENDED_ENGINES)
                time.sleep(ends_in)

    def test_attempts_at_a_time_end_no_more_engines_than_one_by_one(self) -> None:
        """Attempts that leave together end an engine each, and no further one is sent."""
        with Deployment(apps=APPS) as deployment:
            time.sleep(REPORTS_SECONDS)
            for ends_in, at_once in ((0.0, 2), (0.4, 2), (0.0, 4), (0.4, 4)):

                def run(caller: LethalCaller, at_once: int = at_once) -> None:
                    caller.run_together(deployment, (0, 1), at_once=at_once, rounds=5)

                be_ended_by_requests(deployment, ends_in)
                most = max(MAX_ENDED_ENGINES, at_once)
                self.play(deployment, f"{at_once} at once, {ends_in}", run, most)

    def test_attempts_that_reach_all_nodes_at_once_are_followed_by_none(self) -> None:
        with Deployment(edges=EDGES, apps=APPS) as deployment:
            time.sleep(REPORTS_SECONDS)
            be_ended_by_requests(deployment, 0.2)

            def run(caller: LethalCaller) -> None:
                def attempt(edge: int) -> None:
                    time.sleep(edge * STAGGER_SECONDS)
                    caller.attempt(deployment, edge)

                for _ in range(3):
                    with ThreadPoolExecutor(EDGES) as pool:
                        list(pool.map(attempt, range(EDGES)))
                    time.sleep(REPORTS_SECONDS)

            self.play(deployment, "at each node", run, EDGES)

    def test_nodes_that_are_killed_after_each_attempt_end_no_more_engines(self) -> None:
        with Deployment(apps=APPS) as deployment:
            time.sleep(REPORTS_SECONDS)
            be_ended_by_requests(deployment, 0.0)
            callers = callers_of("k")
            for number in range(5):
                edge = number % 2
                for caller in callers:
                    caller.attempt(deployment, edge)
                deployment.edges[edge].kill()
                deployment.edges[edge].start(first_start=False)
                wait_until(lambda edge=edge: deployment.is_ready(edge), "the node is ready")  # type: ignore[misc]
            self.check("nodes killed", callers, deployment, MAX_ENDED_ENGINES)

    def test_nodes_that_stop_beside_attempts_end_no_more_engines(self) -> None:
        with Deployment(edges=EDGES, apps=APPS) as deployment:
            time.sleep(REPORTS_SECONDS)
            be_ended_by_requests(deployment, 0.3)
            callers = callers_of("s")

            def stop_most() -> None:
                for node in deployment.edges[1:]:
                    node.send(signal.SIGTERM)
                    time.sleep(STOPS_WITHIN_SECONDS / EDGES)

            stopping = threading.Thread(target=stop_most)
            with ThreadPoolExecutor(6) as pool:
                running = [
                    pool.submit(caller.attempt, deployment, edge)
                    for caller in callers
                    for edge in (0, 1, 2)
                ]
                stopping.start()
                for item in running:
                    item.result()
            stopping.join()
            for node in deployment.edges[1:]:
                node.wait()
            deployment.start_killed()
            for caller in callers:
                caller.run(deployment, range(EDGES))
            self.check("nodes stop", callers, deployment, MAX_ENDED_ENGINES)


class Strangers(unittest.TestCase):
    """Callers that know nothing of each other send one and the same call again and again."""

    def ask(self, deployment: Deployment, crash: Callable[[], None]) -> tuple[int, int, float]:
        """Return the calls, those refused, and the longest time without an answer to a caller."""
        for app in deployment.apps:
            app.call_seconds = CALL_SECONDS
        until = time.monotonic() + ASK_SECONDS

        def ask_on(number: int) -> tuple[int, int, float]:
            caller = LethalCaller(f"s{number}", "/look/x", b"popular")
            served_at, longest = time.monotonic(), 0.0
            while time.monotonic() < until:
                pause = caller.attempt(deployment, number % 2)
                if caller.is_served:
                    longest = max(longest, time.monotonic() - served_at)
                    served_at = time.monotonic()
                else:
                    time.sleep(pause)
            refused = sum(status != OK for status in caller.statuses)
            return len(caller.attempts), refused, max(longest, time.monotonic() - served_at)

        with ThreadPoolExecutor(STRANGERS) as pool:
            running = [pool.submit(ask_on, number) for number in range(STRANGERS)]
            time.sleep(1.0)
            for _ in range(CRASHES):
                crash()
                time.sleep(BETWEEN_CRASHES_SECONDS)
            counts = [item.result() for item in running]
        calls, refused, longest = zip(*counts, strict=True)
        return sum(calls), sum(refused), max(longest)

    def test_strangers_are_served_while_engines_crash(self) -> None:
        with Deployment(apps=APPS) as deployment:
            time.sleep(REPORTS_SECONDS)
            turns = iter(range(100))

            def crash_two() -> None:
                first = 2 * next(turns) % APPS
                for app in deployment.apps[first : first + 2]:
                    deployment.crash(app)

            calls, refused, longest = self.ask(deployment, crash_two)
            self.assertEqual(refused, 0, f"of {calls}, longest without an answer {longest:.2f} s")

    def test_strangers_are_served_again_soon_after_all_engines_crash(self) -> None:
        with Deployment(apps=APPS) as deployment:
            time.sleep(REPORTS_SECONDS)

            def crash_all() -> None:
                for app in deployment.apps:
                    deployment.crash(app)

            calls, refused, longest = self.ask(deployment, crash_all)
            self.assertLess(longest, LONGEST_REST_SECONDS, f"{refused} of {calls} refused")


if __name__ == "__main__":
    unittest.main()
