"""A resumed stream of a kept turn is run anew, and its pieces are joined with those of another run."""

from __future__ import annotations

import http.client
import re
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from review.support_2 import (
    HAS_TROUBLE,
    Record,
    SmallDeployment,
    run_case,
    send,
    turn_fields,
)
from tests.processes.cluster import HOST
from tests.processes.platform.deployment import CALLER_HOST
from tests.processes.platform.stand_ins import EngineStandIn
from yokeline.identifiers import ExchangeId

STREAMS = 8
EVENTS = 11
EVENT_SECONDS = 0.1
KILL_AFTER_SECONDS = 0.45
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class SamplingEngine(EngineStandIn):
    """A model engine: each run draws its own words, as runs of a language model do."""

    def _event(self, exchange: ExchangeId, number: int) -> bytes:
        run = self._open_spans[exchange].request_id
        return b"id: %d\ndata: %s/%d\n\n" % (number, run.encode(), number)


@dataclass
class Stream:
    """What a client has of a stream, over its attempts."""

    name: str
    attempts: list[str] = field(default_factory=list)
    pieces: list[tuple[int, str]] = field(default_factory=list)
    is_whole: bool = False

    def attempt(self, deployment: SmallDeployment, edge: int) -> None:
        """Begin the stream, or take it up after its last event (PROTOCOL.md)."""
        turn = f"{self.name}.{len(self.attempts)}"
        fields = {
            "Host": CALLER_HOST,
            "X-Yokeline-Request-Id": turn,
            "X-Yokeline-Deadline-Ms": "5000",
            **{key.replace("_", "-"): text for key, text in turn_fields(self.name).items()},
        }
        if self.pieces:
            fields["Last-Event-Id"] = str(self.pieces[-1][0])
            fields["Resumes"] = self.attempts[0]
        self.attempts.append(turn)
        connection = http.client.HTTPConnection(HOST, deployment.fronts[edge], timeout=8)
        data = b""
        taken = 0
        try:
            connection.request(
                "POST", "/line/x", body=b"input " + self.name.encode(), headers=fields
            )
            response = connection.getresponse()
            while response.status == 200:
                piece = response.read1(65536)
                if not piece:
                    self.is_whole = True
                    break
                data += piece
                found = EVENT.findall(data)
                self.pieces += [(int(number), word.decode()) for number, word in found[taken:]]
                taken = len(found)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()


def play(record: Record) -> bool:
    with SmallDeployment() as deployment:
        deployment.change_configuration(2, lambda document: None)
        for engine in deployment.models:
            engine.__class__ = SamplingEngine
            engine.events = EVENTS
            engine.event_seconds = EVENT_SECONDS
        time.sleep(1)
        streams = [Stream(f"stream{number}") for number in range(STREAMS)]
        threads = [
            threading.Thread(target=stream.attempt, args=(deployment, 0)) for stream in streams
        ]
        for thread in threads:
            thread.start()
        time.sleep(KILL_AFTER_SECONDS)
        if HAS_TROUBLE:
            deployment.edges[0].kill()
            record("edge-0 was killed")
        for thread in threads:
            thread.join()
        for stream in streams:
            record(f"{stream.name}: {stream.is_whole}, {stream.pieces}")
            for _ in range(5):
                if stream.is_whole:
                    break
                stream.attempt(deployment, 1)
                record(f"{stream.name} resumed as {stream.attempts[-1]}: {stream.pieces}")
        given = {
            seen.request_id: seen.fields.get("last-event-id", "none")
            for engine in deployment.models
            for seen in engine.seen
        }
        record(f"Last-Event-Id that the engines got, by request: {given}")
        broken = [stream for stream in streams if not _is_one_run(stream, given, record)]
        next_turn = f"{streams[0].name}.next"
        last = streams[0].attempts[-1]
        fields = turn_fields(streams[0].name, last)
        send(deployment.fronts[1], "/line/x", next_turn, b" then", **fields)
        bodies = [
            body
            for engine in deployment.models
            for name, body, _ in engine.runs
            if name == next_turn
        ]
        record(f"the turn after {last} has the body {bodies}")
        return not broken


def _is_one_run(stream: Stream, given: dict[str, str], record: Record) -> bool:
    """Return whether each later run in a stream continued from the event before its first one."""
    for (number, word), (_, next_word) in zip(stream.pieces, stream.pieces[1:], strict=False):
        run, next_run = word.partition("/")[0], next_word.partition("/")[0]
        if run != next_run and given.get(next_run) != str(number):
            record(
                f"{stream.name}: event {number} is of run {run}, the next one of run {next_run},"
                f" which got Last-Event-Id {given.get(next_run)}"
            )
            return False
    return True


if __name__ == "__main__":
    sys.exit(run_case(Path(sys.argv[1]), play))
