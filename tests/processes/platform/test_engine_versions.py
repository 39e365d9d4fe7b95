"""Streams while engines of two software versions serve one pool, with real processes."""

from __future__ import annotations

import itertools
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import CALLER_HOST, Deployment
from tests.processes.platform.stand_ins import EngineStandIn
from tests.processes.platform.streams import EVENTS, OK, Answer, CallerStream, versions_of

VERSIONS = ("v1", "v2")
ENGINES = 4
EVENT_SECONDS = 0.12
STREAMS = 12
NOT_RUN = 503
REFUSAL_SECONDS = 0.5
"""Time within which a stream that cannot go on is refused."""
NEWS_SECONDS = 3.0
"""Time after which a node has taken an engine off whose entry has gone."""
PATHS = ("/turn/x", "/pair/x")


def two_versions() -> Deployment:
    return Deployment(models=ENGINES, versions=VERSIONS)


class EngineVersions(unittest.TestCase):
    def setUp(self) -> None:
        self.numbers = itertools.count(1)

    def begin(self, deployment: Deployment, count: int = STREAMS) -> list[CallerStream]:
        """Begin streams with a budget and without one, and drop each after its first event."""
        for model in deployment.models:
            model.event_seconds = EVENT_SECONDS
        numbers = list(itertools.islice(self.numbers, count))
        streams = [
            CallerStream(
                f"s{number}", PATHS[number % len(PATHS)], f"p{number}" if number % 3 else ""
            )
            for number in numbers
        ]
        for answer in together(lambda stream: stream.begin(deployment, 0), streams):
            self.assertEqual(answer.event_ids, [1])
        self.assertEqual(
            {version for item in streams for version in versions_of(item, deployment.models)},
            set(VERSIONS),
            "streams of both versions",
        )
        return streams

    def check(
        self, story: str, streams: list[CallerStream], deployment: Deployment, *, whole: int
    ) -> None:
        """Check that no stream holds events of two versions, and that enough are whole."""
        crossed = [item.name for item in streams if len(versions_of(item, deployment.models)) > 1]
        self.assertEqual(crossed, [], f"{story}: streams with events of two versions")
        complete = [item for item in streams if item.event_ids == list(range(1, EVENTS + 1))]
        self.assertGreaterEqual(len(complete), whole, f"{story}: whole streams")

    def test_a_resumed_stream_stays_at_the_version_that_began_it(self) -> None:
        with two_versions() as deployment:
            for edge in (1, 0):
                streams = self.begin(deployment)
                together(_resume(deployment, edge), streams)
                self.check(f"resumed at edge-{edge}", streams, deployment, whole=STREAMS)
            streams = self.begin(deployment)
            for edge, events in ((1, 1), (0, 1), (1, EVENTS)):
                together(_resume(deployment, edge, events), streams)
            self.check("resumed three times", streams, deployment, whole=STREAMS)
            streams = self.begin(deployment)
            deployment.edges[0].kill()
            together(_resume(deployment, 1), streams)
            self.check("its node was killed", streams, deployment, whole=STREAMS // 2)
            self.start_edges(deployment, 0)
            streams = self.begin(deployment)
            for process in deployment.edges:
                process.kill()
            self.start_edges(deployment, 0, 1)
            together(_resume(deployment, 1), streams)
            self.check("all nodes were killed", streams, deployment, whole=STREAMS // 2)

    def test_a_turn_whose_history_is_fetched_stays_at_its_version(self) -> None:
        """Guards against a resumed turn that was sent as soon as its history had come."""
        with two_versions() as deployment:
            programs = [f"p{number}" for number in range(STREAMS)]
            first = [CallerStream(f"first-{name}", "/line/x", name) for name in programs]
            together(lambda stream: stream.begin(deployment, 0, events=EVENTS + 1), first)
            streams = [
                CallerStream(f"next-{item.program}", "/line/x", item.program, item.attempts[-1])
                for item in first
            ]
            for model in deployment.models:
                model.event_seconds = EVENT_SECONDS
            together(lambda stream: stream.begin(deployment, 0), streams)
            together(_resume(deployment, 1), streams)
            self.check("history fetched", streams, deployment, whole=STREAMS)

    def test_an_answer_that_goes_on_at_another_engine_keeps_its_version(self) -> None:
        with two_versions() as deployment:
            streams = []
            for number in range(STREAMS):
                for model in deployment.models:
                    model.break_after = 2
                stream = CallerStream(f"s{number}", "/pair/x", f"p{number}")
                answer = stream.begin(deployment, 0, events=EVENTS + 1)
                self.assertEqual(answer.status, OK)
                for model in deployment.models:
                    model.break_after = None
                streams.append(stream)
            self.check("its engines break off", streams, deployment, whole=STREAMS)

    def test_a_stream_whose_version_has_no_engine_is_refused_at_once(self) -> None:
        with two_versions() as deployment:
            streams = self.begin(deployment)
            gone = [model for model in deployment.models if model.version == "v1"]
            for model in gone:
                deployment.forget_engine(model)
            wait_until(
                lambda: len(deployment.edges[1].lines("engine_gone")) == len(gone),
                "edge-1 has taken the engines off",
            )
            began = [versions_of(stream, deployment.models) for stream in streams]
            answers = together(_resume(deployment, 1), streams)
            for stream, began_at, answer in zip(streams, began, answers, strict=True):
                if began_at == {"v1"}:
                    self.assertEqual(answer.status, NOT_RUN, f"{stream.name} at {CALLER_HOST}")
                    self.assertLess(answer.seconds, REFUSAL_SECONDS)
                    self.assert_not_run(stream.attempts[-1], deployment.models)
            self.check("no engine is left", streams, deployment, whole=1)

    def test_a_stream_stays_at_its_version_while_its_engine_is_replaced(self) -> None:
        """Guards against an address, or an id, that returns with another version."""
        with two_versions() as deployment:
            for keeps_id in (False, True):
                streams = self.begin(deployment)
                replaced = [model for model in deployment.models if model.version == "v1"][0]
                began_there = {span.request_id for span in replaced.spans}
                if keeps_id:
                    replaced.start_again(time.monotonic(), down_seconds=1.0, cold_seconds=0.0)
                    replaced.version = "v2"
                else:
                    deployment.forget_engine(replaced)
                    replaced.be_replaced("v2")
                deployment.list_engine(replaced)
                time.sleep(NEWS_SECONDS)
                together(_resume(deployment, 1), streams)
                self.assertTrue(any(item.origin in began_there for item in streams))
                self.check(f"keeps its id: {keeps_id}", streams, deployment, whole=STREAMS // 2)
                replaced.version = "v1"
                deployment.list_engine(replaced)
                time.sleep(NEWS_SECONDS)

    def assert_not_run(self, request_id: str, engines: list[EngineStandIn]) -> None:
        self.assertNotIn(request_id, {run for engine in engines for run, _, _ in engine.runs})

    def start_edges(self, deployment: Deployment, *numbers: int) -> None:
        for number in numbers:
            deployment.edges[number].start(first_start=False)
        for number in numbers:
            wait_until(_ready(deployment, number), f"edge-{number} is ready")


def together(action: Callable[[CallerStream], Answer], streams: list[CallerStream]) -> list[Answer]:
    """Do something with all streams at once, as callers of their own."""
    with ThreadPoolExecutor(len(streams)) as callers:
        return list(callers.map(action, streams))


def _resume(
    deployment: Deployment, edge: int, events: int = EVENTS
) -> Callable[[CallerStream], Answer]:
    return lambda stream: stream.resume(deployment, edge, events=events)


def _ready(deployment: Deployment, number: int) -> Callable[[], bool]:
    return lambda: deployment.is_ready(number)
