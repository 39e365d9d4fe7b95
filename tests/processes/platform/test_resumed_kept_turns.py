"""Streams of kept turns that their callers resume, over the ways in which a stream ends."""

from __future__ import annotations

import signal
import time
import unittest
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import Deployment
from tests.processes.platform.sampled_streams import (
    OK,
    SampledStream,
    joined,
    kept_body,
    next_body,
)
from tests.processes.platform.stand_ins import AnswerEnd, BreakOff

STREAMS = 6
EVENTS = 9
LEFT_AFTER = 4
EVENT_SECONDS = 0.06
LATER_SECONDS = 1.5
NEWS_SECONDS = 3.0


def each(
    streams: Iterable[SampledStream], action: Callable[[SampledStream], SampledStream]
) -> list[SampledStream]:
    """Do something with all streams at once."""
    with ThreadPoolExecutor(STREAMS * 2) as callers:
        return list(callers.map(action, streams))


class ResumedKeptTurns(unittest.TestCase):
    """Guards against turns that were kept with words of a run that their callers never saw."""

    def deployment(self, **settings: object) -> Deployment:
        values = {"models": 3, "edges": 3, **settings}
        return Deployment(**values)  # type: ignore[arg-type]

    def begin(
        self, deployment: Deployment, story: str, *, events: int = LEFT_AFTER, edge: int = 0
    ) -> list[SampledStream]:
        """Begin streams, and let their callers leave after some events."""
        streams = self.prepare(deployment, story)
        return each(streams, lambda item: item.attempt(deployment, edge, events=events))

    def prepare(self, deployment: Deployment, story: str) -> list[SampledStream]:
        """Return streams that have not begun."""
        for model in deployment.models:
            model.samples_words = True
            model.events = EVENTS
            model.event_seconds = EVENT_SECONDS
        name = story.replace(" ", "-").replace(",", "")
        return [SampledStream(f"{name}-{number}") for number in range(STREAMS)]

    def check(
        self, deployment: Deployment, streams: Iterable[SampledStream], *, edge: int = 1
    ) -> None:
        """Expect whole streams without a joint, and next turns of exactly their words."""
        streams = list(streams)
        refused = [item.name for item in streams if set(item.statuses) != {OK}]
        self.assertEqual(refused, [], "refused or cut before their first event")
        joints = [fault for item in streams for fault in joined(item, deployment.models)]
        self.assertEqual(joints, [], "joined of two runs")
        broken = [item.name for item in streams if not item.is_whole or len(item.words) != EVENTS]
        self.assertEqual(broken, [], "not whole")
        bodies = each_body(deployment, streams, edge)
        self.assertEqual(bodies, [kept_body(item) for item in streams], "kept as not given")

    # ------------------------------------------------------------ callers that leave

    def test_the_caller_leaves(self) -> None:
        ways: dict[str, tuple[int, float, int]] = {
            "the same edge, at once": (0, 0.0, 0),
            "the same edge, later": (0, LATER_SECONDS, 0),
            "another edge, at once": (1, 0.0, 0),
            "another edge, later": (1, LATER_SECONDS, 0),
            "a part of an event, same edge": (0, 0.0, 1),
            "a part of an event, another edge": (1, 0.0, 1),
            "two events earlier, another edge": (1, 0.0, 2),
        }
        with self.deployment() as deployment:
            for story, (edge, seconds, forgotten) in ways.items():
                with self.subTest(story):
                    streams = self.begin(deployment, story)
                    time.sleep(seconds)
                    for stream in streams:
                        stream.forget(forgotten)
                    each(streams, lambda item, to=edge: item.attempt(deployment, to))
                    self.check(deployment, streams, edge=2)

    def test_the_caller_leaves_again(self) -> None:
        with self.deployment() as deployment:
            streams = self.begin(deployment, "twice", events=3)
            each(streams, lambda item: item.attempt(deployment, 1, events=6))
            for stream in streams:
                stream.forget(1)
            each(streams, lambda item: item.attempt(deployment, 2, events=7))
            each(streams, lambda item: item.attempt(deployment, 0))
            self.check(deployment, streams)

    def test_two_callers_resume_the_same_stream(self) -> None:
        """Each gets a whole stream, and each turn is kept as its own caller was given it."""
        with self.deployment() as deployment:
            streams = self.begin(deployment, "both")
            pairs = [*streams, *(stream.copied() for stream in streams)]
            marked = list(zip(pairs, [0] * STREAMS + [1] * STREAMS, strict=True))
            with ThreadPoolExecutor(2 * STREAMS) as callers:
                list(
                    callers.map(
                        lambda row: row[0].attempt(deployment, row[1], mark=f"at{row[1]}"), marked
                    )
                )
            self.check(deployment, pairs, edge=2)

    def test_the_caller_resumes_a_turn_that_is_kept(self) -> None:
        with self.deployment() as deployment:
            streams = self.begin(deployment, "kept", events=10 * EVENTS)
            self.check(deployment, streams)
            each(streams, lambda item: item.attempt(deployment, 1))
            self.check(deployment, streams)

    # ------------------------------------------------------------ edges that go

    def test_the_edge_is_killed(self) -> None:
        with self.deployment() as deployment:
            killed = self.cut(deployment, "killed", deployment.edges[0].kill)
            each(killed, lambda item: item.attempt(deployment, 1))
            self.check(deployment, killed, edge=2)

    def test_the_edge_is_killed_and_only_one_is_left(self) -> None:
        with self.deployment(edges=2) as deployment:
            killed = self.cut(deployment, "only one left", deployment.edges[0].kill)
            each(killed, lambda item: item.attempt(deployment, 1))
            self.check(deployment, killed)

    def test_the_edge_is_paused(self) -> None:
        with self.deployment() as deployment:
            streams = self.begin(deployment, "paused")
            deployment.edges[0].send(signal.SIGSTOP)
            try:
                each(streams, lambda item: item.attempt(deployment, 1))
            finally:
                deployment.edges[0].send(signal.SIGCONT)
            self.check(deployment, streams, edge=2)

    def test_the_edge_is_stopped_as_planned(self) -> None:
        with self.deployment() as deployment:
            stop = deployment.edges[0].send
            streams = self.cut(deployment, "stopped", lambda: stop(signal.SIGTERM))
            unfinished = [stream for stream in streams if not stream.is_whole]
            each(unfinished, lambda item: item.attempt(deployment, 1))
            self.check(deployment, streams)

    def test_all_edges_are_killed(self) -> None:
        """Nobody knows the beginnings: the streams are refused, and their turns begin anew."""
        with self.deployment(edges=2) as deployment:

            def kill_all() -> None:
                for edge in deployment.edges:
                    edge.kill()

            streams = self.cut(deployment, "all killed", kill_all)
            for edge in deployment.edges:
                edge.start(first_start=False)
            wait_until(lambda: all(map(deployment.is_ready, (0, 1))), "edges are back")
            each(streams, lambda item: item.attempt(deployment, 1))
            for stream in streams:
                self.assertEqual(stream.statuses[-1], 503, stream.name)
                self.assertEqual(joined(stream, deployment.models), [])
            again = self.begin(deployment, "all killed again", events=10 * EVENTS)
            self.check(deployment, again)

    def cut(
        self, deployment: Deployment, story: str, action: Callable[[], None]
    ) -> list[SampledStream]:
        """Begin streams, and do something in the middle of them."""
        streams = self.prepare(deployment, story)
        with ThreadPoolExecutor(1) as callers:
            begun = callers.submit(each, streams, lambda item: item.attempt(deployment, 0))
            wait_until(
                lambda: all(len(stream.words) >= LEFT_AFTER for stream in streams),
                "all streams have begun",
            )
            action()
            return begun.result()

    # ------------------------------------------------------------ engines that go

    def test_an_engine_breaks_a_stream_off_within_one_answer(self) -> None:
        for end in (AnswerEnd.RESET, AnswerEnd.ORDERLY):
            with self.subTest(end.value), self.deployment() as deployment:
                for model in deployment.models:
                    model.break_after = LEFT_AFTER
                    model.breaks = 2
                    model.break_off = BreakOff(end=end, partial=5)
                streams = self.begin(deployment, f"broken {end.value}", events=10 * EVENTS)
                self.check(deployment, streams)

    def test_the_engines_are_gone(self) -> None:
        with self.deployment() as deployment:
            streams = self.begin(deployment, "engines gone")
            for model in deployment.models[:2]:
                deployment.crash(model)
                deployment.forget_engine(model)
            each(streams, lambda item: _until_served(item, deployment, 1))
            for stream in streams:
                stream.statuses = [status for status in stream.statuses if status == OK]
                stream.attempts = [stream.attempts[0], stream.attempts[-1]]
            self.check(deployment, streams)

    def test_only_another_version_serves(self) -> None:
        with self.deployment(versions=("v1", "v2", "v2"), listed_versions=("v1",)) as deployment:
            streams = self.begin(deployment, "version")
            for model in deployment.models[1:]:
                deployment.list_engine(model)
            time.sleep(NEWS_SECONDS)
            deployment.forget_engine(deployment.models[0])
            time.sleep(NEWS_SECONDS)
            for edge in (0, 1):
                each(streams, lambda item, to=edge: item.attempt(deployment, to))
            for stream in streams:
                self.assertEqual(stream.statuses, [OK, 503, 503], stream.name)
                self.assertEqual(joined(stream, deployment.models), [])

    # ------------------------------------------------------------ what callers name

    def test_a_stream_that_nobody_began_is_not_run(self) -> None:
        with self.deployment() as deployment:
            streams = self.begin(deployment, "unknown")
            runs = sum(len(model.runs) for model in deployment.models)
            for stream in streams:
                stream.resumes = "nobody"
            each(streams, lambda item: item.attempt(deployment, 1))
            others = self.begin(deployment, "others")
            for stream, other in zip(streams, others, strict=True):
                stream.resumes = other.attempts[0]
            each(streams, lambda item: item.attempt(deployment, 1))
            for stream in streams:
                self.assertEqual(stream.statuses, [OK, 503, 503], stream.name)
            after = sum(len(model.runs) for model in deployment.models)
            self.assertEqual(after, runs + STREAMS)

    def test_an_event_number_on_a_route_without_resumption_begins_anew(self) -> None:
        with self.deployment() as deployment:
            streams = self.begin(deployment, "no resumption")
            for stream in streams:
                stream.path = "/kept/x"
            each(streams, lambda item: item.attempt(deployment, 1))
            for stream in streams:
                del stream.words[:LEFT_AFTER]
                self.assertEqual(joined(stream, deployment.models), [])
            self.check(deployment, streams)


def _until_served(stream: SampledStream, deployment: Deployment, edge: int) -> SampledStream:
    """Resume a stream until it is not refused or cut any more."""
    for _ in range(100):
        if stream.attempt(deployment, edge).is_whole:
            break
        time.sleep(0.1)
    return stream


def each_body(
    deployment: Deployment, streams: Iterable[SampledStream], edge: int
) -> list[bytes | int | None]:
    """Return the bodies of the turns after some streams."""
    with ThreadPoolExecutor(STREAMS) as callers:
        return list(callers.map(lambda item: next_body(deployment, item, edge), streams))


if __name__ == "__main__":
    unittest.main()
