"""Planned stops of edges beside engines that work, lose answers or leave them half."""

from __future__ import annotations

import contextlib
import signal
import threading
import time
import unittest
from collections.abc import Iterator, Mapping

from tests.processes.cluster import wait_until
from tests.processes.platform.crowds import Crowd, chunked_request, chunks_of
from tests.processes.platform.deployment import Deployment
from tests.processes.platform.planned_stops import (
    CALL_FIELDS,
    STREAM_FIELDS,
    KeptCall,
    KeptCallers,
    cut_calls,
    falsely_refused,
    line,
)
from tests.processes.platform.raw_callers import RawAnswer, ask_raw

BEFORE_STOP_SECONDS = 1.0
ONE_ANSWER_IN = 17
"""Of so many runs, one loses its answer."""
ROUTE_MS = 6000
LONG_ROUTE_MS = 20_000
CALLERS = 24
SIGNALS = (signal.SIGTERM, signal.SIGHUP) * 4
PAUSE_BETWEEN_SIGNALS_SECONDS = 0.3
LATE_SINCE_SECONDS = 2.4
"""Time after SIGTERM from which on no load balancer takes the edge for ready."""
STREAM_EVENTS = 5
CROWD = 120
CROWD_AFTER_SECONDS = 1.9
"""Time after SIGTERM; an idle edge exits 2.2 s after it."""
CROWD_CHUNKS = 10_000
"""Chunks of one byte that each connection of a crowd sends; they take long to read."""
LATE_PATHS: dict[str, dict[str, str]] = {
    "/fix/x": CALL_FIELDS,
    "/kept/x": STREAM_FIELDS,
    "/turn/x": STREAM_FIELDS,
    "/line/x": STREAM_FIELDS,
}
"""Routes of calls and of streams that may run once, and of streams that may be resumed."""
HELD_AFTER_SECONDS = 1.9
"""An idle node exits 2.8 s after SIGTERM, and a request is held for 1.5 s."""


class PlannedStops(unittest.TestCase):
    @contextlib.contextmanager
    def deployment(
        self, grace_seconds: float, *, timeout_ms: int = ROUTE_MS
    ) -> Iterator[Deployment]:
        """Run a deployment with routes of some length."""
        with Deployment(
            edges=3, models=3, apps=3, grace_seconds=grace_seconds, has_links=True
        ) as deployment:
            deployment.configure(2, timeout_ms=timeout_ms)
            for edge in deployment.edges:
                try:
                    wait_until(
                        lambda edge=edge: len(edge.lines("configuration_applied")) > 1,  # type: ignore[misc]
                        f"{edge.name} has the configuration",
                    )
                except AssertionError as error:
                    raise AssertionError(f"{error}: {deployment.logs()[edge.name]}") from error
            yield deployment

    def stop(
        self,
        deployment: Deployment,
        paths: Mapping[str, int],
        *,
        deadline_ms: int = ROUTE_MS,
        signals: tuple[signal.Signals, ...] = (signal.SIGTERM,),
        standstill_seconds: float = 0.0,
    ) -> KeptCallers:
        """Stop an edge that callers ask without a pause; assert that each call has its answer."""
        callers = KeptCallers(deployment, 0, deadline_ms)
        for path, count in paths.items():
            is_stream = path.startswith(("/turn/", "/kept/", "/line/", "/pair/"))
            callers.start(path, count, STREAM_FIELDS if is_stream else CALL_FIELDS)
        time.sleep(BEFORE_STOP_SECONDS)
        stopped_at = time.monotonic()
        if standstill_seconds:
            deployment.edges[0].send(signal.SIGSTOP)
        for number in signals:
            deployment.edges[0].send(number)
            if len(signals) > 1:
                time.sleep(PAUSE_BETWEEN_SIGNALS_SECONDS)
        if standstill_seconds:
            time.sleep(standstill_seconds)
            deployment.edges[0].send(signal.SIGCONT)
        self.assertEqual(deployment.edges[0].wait(), 0)
        self.assertLess(time.monotonic() - stopped_at, deployment.grace_seconds)
        callers.wait()
        engines = [*deployment.models, *deployment.apps]
        cut = cut_calls(callers.calls, engines, deadline_ms / 1000)
        self.assertEqual([line(call, stopped_at) for call in cut], [])
        self.assertEqual(falsely_refused(callers.calls, engines), [])
        self.assertTrue(any(call.is_served for call in callers.calls))
        return callers

    def lose_answers(self, deployment: Deployment, *, leave_half: bool = False) -> None:
        for engine in deployment.apps:
            engine.call_seconds = (0.02, 0.3)
            engine.loses_one_in = ONE_ANSWER_IN
            engine.leaves_half = leave_half

    def test_calls_whose_answers_are_lost_have_an_answer_before_the_exit(self) -> None:
        for grace_seconds in (6, 8):
            for leave_half in (False, True):
                with (
                    self.subTest(grace=grace_seconds, half=leave_half),
                    self.deployment(grace_seconds) as deployment,
                ):
                    self.lose_answers(deployment, leave_half=leave_half)
                    self.stop(deployment, {"/fix/x": CALLERS, "/look/x": CALLERS})

    def test_a_process_that_stands_still_at_its_signal_answers_within_its_grace_period(
        self,
    ) -> None:
        with self.deployment(8, timeout_ms=LONG_ROUTE_MS) as deployment:
            self.lose_answers(deployment)
            self.stop(
                deployment, {"/fix/x": CALLERS}, deadline_ms=LONG_ROUTE_MS, standstill_seconds=1.0
            )

    def test_signals_in_series_leave_no_call_without_an_answer(self) -> None:
        with self.deployment(6) as deployment:
            self.lose_answers(deployment)
            self.stop(deployment, {"/fix/x": CALLERS}, signals=SIGNALS)

    def test_streams_of_working_engines_are_not_broken_off_by_the_exit(self) -> None:
        """A stream that would outlast the grace period is not begun after the stop."""
        with self.deployment(8, timeout_ms=LONG_ROUTE_MS) as deployment:
            for model in deployment.models:
                model.event_seconds = 0.7
            paths = {"/turn/x": 4, "/kept/x": 4}
            self.stop(deployment, paths, deadline_ms=LONG_ROUTE_MS)

    def test_a_frozen_ledger_keeps_no_call_from_its_answer(self) -> None:
        with self.deployment(8, timeout_ms=LONG_ROUTE_MS) as deployment:
            for model in deployment.models:
                model.event_seconds = 0.1
            self.lose_answers(deployment)
            for process in deployment.storage:
                process.send(signal.SIGSTOP)
            try:
                self.stop(deployment, {"/fix/x": CALLERS, "/turn/x": 4}, deadline_ms=LONG_ROUTE_MS)
            finally:
                for process in deployment.storage:
                    process.send(signal.SIGCONT)

    def test_a_stream_that_the_exit_breaks_off_looks_so_and_its_budget_is_settled(self) -> None:
        """It had two of five events; a reservation that nobody settles counts in full."""
        with self.deployment(6, timeout_ms=LONG_ROUTE_MS) as deployment:
            for model in deployment.models:
                model.loses_one_in = 1
                model.leaves_half = True
            fields = {
                **STREAM_FIELDS,
                "X-Yokeline-Deadline-Ms": str(LONG_ROUTE_MS),
                "X-Yokeline-Token-Budget": "120",
            }
            answers: dict[str, RawAnswer] = {}

            def ask(version: str) -> None:
                own = {**fields, "X-Yokeline-Program-Id": version}
                front = deployment.fronts[0]
                answers[version] = ask_raw(front, "/kept/x", version, own, version=version)

            callers = [threading.Thread(target=ask, args=(item,)) for item in ("1.0", "1.1")]
            for caller in callers:
                caller.start()
            wait_until(lambda: len(runs_of(deployment)) == len(callers), "both streams run")
            deployment.edges[0].send(signal.SIGTERM)
            self.assertEqual(deployment.edges[0].wait(), 0)
            for caller in callers:
                caller.join()
            for model in deployment.models:
                model.loses_one_in = 0
            for version, answer in answers.items():
                self.assertEqual((answer.status, answer.event_ids), (200, [1, 2]), version)
                self.assertFalse(answer.looks_whole, version)
                statuses = [
                    deployment.turn(
                        1, "/kept/x", f"{version}-{n}", program_id=version, token_budget="120"
                    )[0]
                    for n in range(3)
                ]
                self.assertEqual(statuses, [200, 200, 402], version)

    def test_a_request_that_is_held_for_a_configuration_is_refused_before_the_exit(self) -> None:
        with self.deployment(8) as deployment:
            edge = deployment.edges[0]
            deployment.store.down = True
            for process in (*deployment.edges, *deployment.storage):
                process.kill()
            edge.start(first_start=False)
            wait_until(lambda: len(edge.lines("started")) > 1, "the edge has started")
            edge.send(signal.SIGTERM)
            wait_until(lambda: edge.lines("stopping"), "it stops")
            time.sleep(HELD_AFTER_SECONDS)
            status, _ = deployment.ask(0, "/fix/x", "held")
            self.assertEqual(status, 503)
            self.assertEqual(edge.wait(), 0)

    def test_requests_late_in_the_grace_period_are_not_cut_at_its_end(self) -> None:
        """Guards against requests that began on durations of before the stop and were cut.

        Engines are quick until the signal and slow after it. Once the load balancer knows of the
        stop, a request that may outlast it is served elsewhere.
        """
        for grace_seconds in (6, 8, 12):
            with (
                self.subTest(grace=grace_seconds),
                self.deployment(grace_seconds, timeout_ms=LONG_ROUTE_MS) as deployment,
            ):
                self.serve_quickly(deployment)
                late = self.ask_late(deployment)
                engines = [*deployment.models, *deployment.apps]
                run = {request_id for engine in engines for request_id, _, _ in engine.runs}
                lost = [call for call in late if not call.is_whole and call.request_id in run]
                self.assertEqual([line(call, 0.0) for call in lost], [], "cut")
                unknown = [call for call in late if call.is_whole and call.status in (502, 504)]
                self.assertEqual([line(call, 0.0) for call in unknown], [], "of unknown fate")
                self.assertEqual(falsely_refused(late, engines), [])
                self.assertTrue({call.path for call in late if call.is_refused} >= set(LATE_PATHS))

    def test_a_crowd_keeps_no_call_from_its_refusal_at_the_exit(self) -> None:
        """Guards against requests that lay unread behind those of a crowd, and were reset."""
        for _ in range(3):
            with self.deployment(8) as deployment, Crowd(deployment.fronts[0]) as crowd:
                edge = deployment.edges[0]
                crowd.open(CROWD)
                costly = chunked_request("/look/x", chunks_of(1, CROWD_CHUNKS))
                edge.send(signal.SIGTERM)
                time.sleep(CROWD_AFTER_SECONDS)
                for sock in crowd.sockets:
                    for part in costly:
                        sock.send(part)
                late = KeptCallers(deployment, 0, ROUTE_MS, "late")
                late.start("/fix/x", CALLERS)
                self.assertEqual(edge.wait(), 0)
                late.wait()
                cut = cut_calls(late.calls, deployment.apps, ROUTE_MS / 1000)
                self.assertEqual([line(call, 0.0) for call in cut], [])

    def serve_quickly(self, deployment: Deployment) -> None:
        """Let the edge learn that its routes are quick."""
        self.set_pace(deployment, call_seconds=0.02, event_seconds=0.02)
        callers = KeptCallers(deployment, 0, LONG_ROUTE_MS, "early")
        for path, fields in LATE_PATHS.items():
            callers.start(path, 2, fields)
        time.sleep(BEFORE_STOP_SECONDS)
        callers.leave()
        served = {call.path for call in callers.calls if call.is_served}
        self.assertEqual(served, set(LATE_PATHS))

    def ask_late(self, deployment: Deployment) -> list[KeptCall]:
        """Stop the edge, and return what callers of the last part of its service get."""
        edge = deployment.edges[0]
        grace = deployment.grace_seconds
        self.set_pace(deployment, call_seconds=LATE_SINCE_SECONDS + 0.6, event_seconds=grace)
        last = KeptCallers(deployment, 0, LONG_ROUTE_MS, "last")
        late = KeptCallers(deployment, 0, LONG_ROUTE_MS, "late")
        stopped_at = time.monotonic()
        edge.send(signal.SIGTERM)
        last.start("/look/x", 1)  # An edge without a request exits before the late ones come.
        time.sleep(LATE_SINCE_SECONDS)
        self.set_pace(deployment, call_seconds=2 * grace, event_seconds=grace / STREAM_EVENTS)
        for path, fields in LATE_PATHS.items():
            late.start(path, 3, fields)
        self.assertEqual(edge.wait(), 0)
        self.assertLess(time.monotonic() - stopped_at, grace)
        late.wait()
        last.leave()
        return late.calls

    def set_pace(
        self, deployment: Deployment, *, call_seconds: float, event_seconds: float
    ) -> None:
        for engine in (*deployment.models, *deployment.apps):
            engine.call_seconds = (call_seconds, call_seconds)
            engine.event_seconds = event_seconds


def runs_of(deployment: Deployment) -> list[str]:
    """Return the ids of the turns that engines ran."""
    return [request_id for model in deployment.models for request_id, _, _ in model.runs]
