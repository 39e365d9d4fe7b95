"""Engine versions of the soak: an operator who replaces engines, callers who resume streams.

Every model engine marks its events with its version, so that each answer shows which ones sent it.
"""

from __future__ import annotations

import random
import re
import threading
import time
from collections import Counter

from tests.processes.platform.deployment import Deployment, TenantKeys
from tests.processes.platform.stand_ins import EngineStandIn
from tests.processes.platform.streams import (
    EVENTS,
    LINE_END,
    OK,
    STREAM_BUDGET,
    Answer,
    CallerStream,
)
from tests.soak.faults import ENGINE_START_SECONDS
from tests.soak.operators import Operator
from tests.soak.proxy import ProxyFault
from tests.soak.records import Asked, Records

VERSIONS = ("v1", "v2")
LONGEST_DRAIN_SECONDS = 2.0
LONGEST_RETURN_SECONDS = 0.1
"""Longest pause of a caller between the loss of a stream and its resumption."""
MOST_RESUMPTIONS = 3
LEAST_RESUMED = 12
"""Resumptions from which on their share of success is compared."""
LEAST_ENGINES = 2
_MARK = re.compile(rb"event: ([^\n]*)\n")


class VersionOperator(Operator):
    """Replaces one model engine after the other by an engine of either version."""

    name = "versions"
    longest_pause_seconds = 4.0

    def act(self) -> None:
        """Replace one engine of a random version; at times it drains first, or it crashes."""
        model = self.random.choice(self.deployment.models)
        version = self.random.choice(VERSIONS)
        drain_seconds = self.random.choice((0.0, self.random.uniform(0.1, LONGEST_DRAIN_SECONDS)))
        names = (f"proxy {model.engine_id}", f"entry {model.engine_id}")
        with self.shared.holding(*names) as is_free:
            if not is_free:
                return
            self.shared.note(
                f"{model.instance_id} {model.version} drains for {drain_seconds:.2f} s and is"
                f" replaced by {version}"
            )
            if drain_seconds:
                self.deployment.list_engine(model, state="draining")
                self.stopping.wait(drain_seconds)
            proxy = self.shared.proxies[model.engine_id]
            proxy.set_fault(ProxyFault.RESET)
            self.deployment.forget_engine(model)
            self.stopping.wait(self.random.uniform(0.0, ENGINE_START_SECONDS))
            model.be_replaced(version)
            proxy.set_fault(ProxyFault.NONE)
            self.deployment.list_engine(model)


class StreamRecords:
    """What callers saw of the streams that they dropped and resumed; threads add to it.

    Attributes:
        crossed: A line for each stream with events of two versions.
        counts: Attempts by kind and end, while two engines of the stream's version were listed.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self._lock = threading.Lock()
        self.crossed: list[str] = []
        self.counts: Counter[str] = Counter()

    def note_crossed(self, line: str) -> None:
        """Note a stream with events of two versions."""
        with self._lock:
            self.crossed.append(line)

    def count(self, what: str) -> None:
        """Count an attempt."""
        with self._lock:
            self.counts[what] += 1

    def violations(self) -> list[str]:
        """Return each broken promise in a line."""
        resumed = self.counts["resumed"]
        begun_share = self.counts["begun on"] / max(1, self.counts["begun"])
        resumed_share = self.counts["resumed on"] / max(1, resumed)
        found = list(self.crossed)
        if resumed >= LEAST_RESUMED and resumed_share < begun_share / 2:
            found.append(f"too few resumed streams go on: {dict(self.counts)}")
        return found


class ResumingCaller:
    """One thread whose streams break after each few events, and which resumes them elsewhere."""

    def __init__(
        self,
        name: str,
        deployment: Deployment,
        records: Records,
        streams: StreamRecords,
        seed: int,
        tenant: TenantKeys,
    ) -> None:
        """Prepare; ``seed`` decides what is asked, with the keys of ``tenant``."""
        self._name = name
        self._deployment = deployment
        self._records = records
        self._streams = streams
        self._tenant = tenant
        self._random = random.Random(f"{seed}/{name}")
        self._stop = threading.Event()
        self._count = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to ask."""
        self._thread.start()

    def stop(self) -> None:
        """Begin no further stream, and wait for the end of this one."""
        self._stop.set()
        self._thread.join(30)

    def _run(self) -> None:
        while not self._stop.is_set():
            self._count += 1
            self._play_stream(f"{self._name}-{self._count}")
            self._stop.wait(self._random.uniform(0.0, 0.2))

    def _play_stream(self, name: str) -> None:
        path = self._random.choice(("/turn/x", "/pair/x", "/line/x"))
        has_program = path == "/line/x" or self._random.random() < 0.7
        program = f"{name}-p" if has_program else ""
        stream = CallerStream(name, path, program, key=self._tenant.keys[0])
        answer = self._attempt(stream, self._random.randint(1, 3))
        seen = list(answer.versions)
        self._streams.count("begun")
        if not answer.event_ids:
            self._check(stream, seen)
            return
        self._streams.count("begun on")
        for _ in range(MOST_RESUMPTIONS):
            if len(stream.event_ids) >= EVENTS:
                break
            time.sleep(self._random.uniform(0.0, LONGEST_RETURN_SECONDS))
            is_counted = self._listed(seen[0]) >= LEAST_ENGINES
            answer = self._attempt(stream, self._random.randint(1, EVENTS))
            seen.extend(answer.versions)
            if is_counted and self._listed(seen[0]) >= LEAST_ENGINES:
                self._streams.count("resumed")
                self._streams.count(
                    "resumed on" if answer.event_ids else f"resumed and answered {answer.status}"
                )
        self._check(stream, seen)

    def _attempt(self, stream: CallerStream, events: int) -> Answer:
        """Begin or resume a stream at some node, and record the request with those of others."""
        sent_at = time.monotonic()
        answer = stream.attempt(self._deployment, self._edge(), events)
        asked = Asked(
            request_id=stream.attempts[-1],
            path=stream.path,
            status=answer.status,
            body=b"".join(f"id: {number}\n".encode() for number in answer.event_ids),
            is_whole=answer.is_whole and answer.status != OK,
            program=stream.program,
            budget=STREAM_BUDGET,
            tenant=self._tenant.name,
            key=self._tenant.keys[0],
            sent_at=sent_at,
            versions=answer.versions,
        )
        self._records.add(asked)
        return answer

    def _check(self, stream: CallerStream, seen: list[str]) -> None:
        if len(set(seen)) > 1:
            self._streams.note_crossed(
                f"the stream of {' '.join(stream.attempts)} holds events of {' '.join(seen)}"
            )

    def _edge(self) -> int:
        return self._random.randrange(len(self._deployment.fronts))

    def _listed(self, version: str) -> int:
        """Return how many engines of a version are listed and do not drain."""
        return sum(
            model.version == version and self._deployment.is_listed(model)
            for model in self._deployment.models
        )


def versions_in(body: bytes) -> list[str]:
    """Return the versions that the events of an answer are marked with."""
    return [mark.decode() for mark in _MARK.findall(with_line_feeds(body))]


def without_marks(body: bytes) -> bytes:
    """Return an answer without the marks of versions, its lines ended by line feeds."""
    return _MARK.sub(b"", with_line_feeds(body))


def with_line_feeds(body: bytes) -> bytes:
    """Return an answer whose lines end with line feeds, whatever they ended with."""
    return LINE_END.sub(b"\n", body)


def mark_versions(models: list[EngineStandIn]) -> None:
    """Let the engines mark their events, and run both versions."""
    for number, model in enumerate(models):
        model.marks_versions = True
        model.version = VERSIONS[number % len(VERSIONS)]
