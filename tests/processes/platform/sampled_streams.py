"""Callers of kept turns that leave their streams and resume them, and what became of the words."""

from __future__ import annotations

import http.client
import re
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from tests.processes.cluster import HOST
from tests.processes.platform.deployment import CALLER_HOST, Deployment
from tests.processes.platform.stand_ins import SAMPLED_INPUT, EngineStandIn
from tests.processes.platform.streams import LINE_END

OK = 200
UNAVAILABLE = 503
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
READ_BYTES = 65536
DEADLINE_MS = 5000
NEXT_INPUT = b" then"
ALL_EVENTS = 1_000_000


@dataclass(frozen=True)
class Word:
    """An event as its caller got it."""

    number: int
    text: str

    @property
    def run(self) -> str:
        """Name of the engine's run that drew the word."""
        return self.text.rpartition("/")[0]


@dataclass
class SampledStream:
    """A stream of a turn on a route that keeps turns, over the attempts of its caller.

    Attributes:
        path: Its route.
        attempts: Request ids, the oldest first.
        statuses: What each was answered; None without a head.
        words: What the caller has.
        is_whole: Whether the latest attempt came to its end.
        resumes: The attempt that it names, if not the one that brought its first event.
    """

    name: str
    path: str = "/line/x"
    fields: Mapping[str, str] = field(default_factory=dict)
    attempts: list[str] = field(default_factory=list)
    statuses: list[int | None] = field(default_factory=list)
    words: list[Word] = field(default_factory=list)
    is_whole: bool = False
    resumes: str = ""

    @property
    def body(self) -> bytes:
        return SAMPLED_INPUT + self.name.encode()

    def copied(self) -> SampledStream:
        """Return the stream as a second caller that has the same of it."""
        return SampledStream(
            self.name,
            self.path,
            self.fields,
            list(self.attempts),
            list(self.statuses),
            list(self.words),
        )

    def forget(self, count: int) -> None:
        """Let the caller name an earlier event than the last one that it was sent."""
        del self.words[len(self.words) - count :]

    def attempt(
        self, deployment: Deployment, edge: int, *, events: int = ALL_EVENTS, mark: str = ""
    ) -> SampledStream:
        """Begin or resume the stream, and leave it once the caller has ``events`` of it."""
        turn = f"{self.name}.{len(self.attempts)}{mark}"
        fields = {
            "Host": CALLER_HOST,
            "X-Yokeline-Request-Id": turn,
            "X-Yokeline-Deadline-Ms": str(DEADLINE_MS),
            **program_fields(self.name),
            **self.fields,
        }
        if self.words:
            fields["Last-Event-Id"] = str(self.words[-1].number)
            fields["Resumes"] = self.resumes or self.attempts[0]
        self.attempts.append(turn)
        self.is_whole = False
        status: int | None = None
        connection = http.client.HTTPConnection(HOST, deployment.fronts[edge], timeout=8)
        try:
            connection.request("POST", self.path, body=self.body, headers=fields)
            response = connection.getresponse()
            status = response.status
            if status == OK:
                self._read(response, events)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            self.statuses.append(status)
            connection.close()
        return self

    def _read(self, response: http.client.HTTPResponse, events: int) -> None:
        data = b""
        before = len(self.words)
        while len(self.words) < events:
            piece = response.read1(READ_BYTES)
            if not piece:
                self.is_whole = True
                return
            data += piece
            found = EVENT.findall(LINE_END.sub(b"\n", data))
            for number, text in found[len(self.words) - before :]:
                if len(self.words) < events:
                    self.words.append(Word(int(number), text.decode()))


def program_fields(program: str, previous: str = "") -> dict[str, str]:
    """Return the fields of a turn of a program with an ample budget."""
    fields = {
        "X-Yokeline-Program-Id": program,
        "X-Yokeline-Session-Id": f"{program}-line",
        "X-Yokeline-Finish-Ms": "100000",
        "X-Yokeline-Token-Budget": "100000",
        "X-Yokeline-Token-Usage": "100,500",
    }
    if previous:
        fields["X-Yokeline-Previous-Turn"] = previous
    return fields


def joined(stream: SampledStream, engines: Iterable[EngineStandIn]) -> list[str]:
    """Return where a caller's words change to a run that did not continue after its last one."""
    began_after = {span.run: span.after for engine in engines for span in list(engine.spans)}
    faults = []
    last = Word(0, "")
    for word in stream.words:
        if word.number != last.number + 1:
            faults.append(f"{stream.name}: event {word.number} follows event {last.number}")
        if word.run != last.run and began_after.get(word.run) != last.number:
            after = began_after.get(word.run)
            faults.append(
                f"{stream.name}: after event {last.number} of {last.run or 'no run'} comes"
                f" {word.run}, which began after event {after}"
            )
        last = word
    return faults


def next_body(
    deployment: Deployment,
    stream: SampledStream,
    edge: int,
    *,
    tries: int = 50,
    asked: list[tuple[str, int | None]] | None = None,
) -> bytes | int | None:
    """Return the body with which an engine ran the turn after a stream, or the last status.

    The ids of the requests and their statuses are added to ``asked``.
    """
    status: int | None = None
    for number in range(tries):
        turn = f"{stream.attempts[-1]}.next{number}"
        fields = {
            "Host": CALLER_HOST,
            "X-Yokeline-Request-Id": turn,
            "X-Yokeline-Deadline-Ms": str(DEADLINE_MS),
            **program_fields(stream.name, stream.attempts[-1]),
            **stream.fields,
        }
        connection = http.client.HTTPConnection(HOST, deployment.fronts[edge], timeout=8)
        try:
            connection.request("POST", stream.path, body=NEXT_INPUT, headers=fields)
            response = connection.getresponse()
            status = response.status
            response.read1(1)
        except (OSError, http.client.HTTPException):
            status = None
        finally:
            connection.close()
        if asked is not None:
            asked.append((turn, status))
        for engine in deployment.models:
            for request_id, body, _ in list(engine.runs):
                if request_id == turn:
                    return body
        if status != UNAVAILABLE:
            return status
        time.sleep(0.1)
    return status


def kept_body(stream: SampledStream) -> bytes:
    """Return the body of the turn after a stream, made of what its caller was given."""
    words = b"".join(word.text.encode() + b"\n" for word in stream.words)
    return stream.body + words + NEXT_INPUT
