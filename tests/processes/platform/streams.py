"""Callers that drop a stream after an event and resume it, and what engines of it ran where."""

from __future__ import annotations

import http.client
import re
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from tests.processes.cluster import HOST
from tests.processes.platform.deployment import CALLER_HOST, REFUSALS_BORNE, UNAVAILABLE, Deployment
from tests.processes.platform.stand_ins import EngineStandIn, Span

OK = 200
EVENTS = 5
READ_BYTES = 65536
LINE_END = re.compile(rb"\r\n|\n|\r")
STREAM_BUDGET = 100_000
DEADLINE_SECONDS = 5.0
REFUSAL_PAUSE_SECONDS = 0.1


@dataclass
class Answer:
    """What a caller got of one attempt.

    Attributes:
        versions: Marks of its events, if the engines mark them.
        seconds: Until the answer ended, or until the caller dropped it.
    """

    status: int | None
    event_ids: list[int]
    is_whole: bool
    seconds: float
    versions: list[str] = field(default_factory=list)


@dataclass
class CallerStream:
    """A stream of one caller, over its attempts.

    Attributes:
        attempts: Request ids, the oldest first.
        event_ids: Ids of the events that the caller has.
        program: Its program with a budget; empty for a stream without one.
        previous: The turn that it continues; empty for none.
    """

    name: str
    path: str
    program: str = ""
    previous: str = ""
    key: str = ""
    attempts: list[str] = field(default_factory=list)
    event_ids: list[int] = field(default_factory=list)
    origin: str = ""

    def begin(self, deployment: Deployment, edge: int, *, events: int = 1) -> Answer:
        """Begin the stream and drop it after some events; a refusal is repeated."""
        answer = Answer(None, [], is_whole=False, seconds=0.0)
        for _ in range(REFUSALS_BORNE):
            answer = self.attempt(deployment, edge, events)
            if answer.status != UNAVAILABLE:
                break
            time.sleep(REFUSAL_PAUSE_SECONDS)
        return answer

    def resume(self, deployment: Deployment, edge: int, *, events: int = EVENTS) -> Answer:
        """Resume the stream after the last event that the caller has."""
        return self.attempt(deployment, edge, events)

    def attempt(self, deployment: Deployment, edge: int, events: int) -> Answer:
        """Begin the stream, or resume it, and drop it after some events."""
        request_id = f"{self.name}.{len(self.attempts)}"
        self.attempts.append(request_id)
        fields = {
            "Host": CALLER_HOST,
            "X-Yokeline-Request-Id": request_id,
            "X-Yokeline-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
            "X-Yokeline-Token-Usage": "100,50",
        }
        if self.program:
            fields["X-Yokeline-Program-Id"] = self.program
            fields["X-Yokeline-Token-Budget"] = str(STREAM_BUDGET)
        if self.previous:
            fields["X-Yokeline-Previous-Turn"] = self.previous
        if self.key:
            fields["Authorization"] = f"Bearer {self.key}"
        if self.event_ids:
            fields["Last-Event-Id"] = str(self.event_ids[-1])
            fields["Resumes"] = self.origin
        answer = read_stream(deployment.fronts[edge], self.path, request_id, fields, events)
        if answer.event_ids and not self.event_ids:
            self.origin = request_id
        self.event_ids.extend(answer.event_ids)
        return answer


def read_stream(
    port: int, path: str, request_id: str, fields: dict[str, str], events: int
) -> Answer:
    """Send a request and read until its stream ends, breaks off or has brought ``events``."""
    began = time.monotonic()
    status: int | None = None
    event_ids: list[int] = []
    versions: list[str] = []
    is_whole = False
    connection = http.client.HTTPConnection(HOST, port, timeout=DEADLINE_SECONDS + 2)
    try:
        connection.request("POST", path, body=f"input-{request_id}", headers=fields)
        response = connection.getresponse()
        status = response.status
        pending = b""
        while len(event_ids) < events:
            piece = response.read1(READ_BYTES)
            if not piece:
                is_whole = True
                break
            *lines, pending = LINE_END.split(pending + piece)
            for line in lines:
                if len(event_ids) < events:
                    _read_line(line, event_ids, versions)
    except (OSError, http.client.HTTPException):
        is_whole = False
    finally:
        connection.close()
    return Answer(status, event_ids, is_whole, time.monotonic() - began, versions)


def _read_line(line: bytes, event_ids: list[int], versions: list[str]) -> None:
    """Add what a line of an event tells."""
    if line.startswith(b"event: "):
        versions.append(line.removeprefix(b"event: ").decode())
    if line.startswith(b"id: "):
        event_ids.append(int(line.removeprefix(b"id: ")))


def versions_of(stream: CallerStream, engines: Iterable[EngineStandIn]) -> set[str]:
    """Return the versions of the engines whose events the stream holds."""
    return versions_in(stream.attempts, (span for engine in engines for span in engine.spans))


def versions_in(attempts: Iterable[str], spans: Iterable[Span]) -> set[str]:
    """Return the versions of the engines that sent events to any of some attempts."""
    ids = set(attempts)
    return {span.version for span in spans if span.events and span.request_id in ids}
