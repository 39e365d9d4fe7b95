"""Callers that keep their connections to an edge until its process is gone."""

from __future__ import annotations

import http.client
import itertools
import math
import threading
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from tests.processes.cluster import HOST
from tests.processes.platform.deployment import CALLER_HOST, UNAVAILABLE, Deployment
from tests.processes.platform.stand_ins import EngineStandIn

LOSS_SLACK_SECONDS = 0.2
"""Time after its last byte within which a call that was not passed on may cross a close."""
DEADLINE_TOLERANCE_SECONDS = 0.1
"""Time before its deadline from which on the end of a stream counts as caused by it."""
ANSWER_SECONDS = 30.0
"""Bound that only ends a test that would never end."""
PAUSE_AFTER_REFUSAL_SECONDS = 0.05
CALL_FIELDS: dict[str, str] = {}
STREAM_FIELDS = {"X-Yokeline-Token-Usage": "100,50"}


@dataclass(frozen=True)
class KeptCall:
    """A call over a kept connection, and what its caller saw of it.

    Attributes:
        caller: The thread that made it.
        sent_at: When its last byte was sent (monotonic seconds).
        ended_at: When its answer was whole, or its connection ended.
        status: None without a whole head.
        is_whole: Whether the answer came to its end.
    """

    request_id: str
    path: str
    caller: int
    sent_at: float
    ended_at: float
    status: int | None
    is_whole: bool

    @property
    def seconds(self) -> float:
        """Time from the last byte of the call to its end."""
        return self.ended_at - self.sent_at

    @property
    def is_served(self) -> bool:
        return self.is_whole and self.status == 200

    @property
    def is_refused(self) -> bool:
        return self.is_whole and self.status == UNAVAILABLE


@dataclass
class KeptCallers:
    """Threads that ask one edge without a pause, each over connections that it keeps.

    Attributes:
        name: Begins the ids of their requests, for several groups at one edge.
        calls: What was asked, in the order of its end.
    """

    deployment: Deployment
    edge: int
    deadline_ms: int = 6000
    name: str = "s"
    calls: list[KeptCall] = field(default_factory=list)
    _threads: list[threading.Thread] = field(default_factory=list)
    _numbers: itertools.count[int] = field(default_factory=itertools.count)
    _leaving: threading.Event = field(default_factory=threading.Event)

    def start(self, path: str, count: int, fields: Mapping[str, str] = CALL_FIELDS) -> None:
        """Let ``count`` more callers ask for a path until the edge takes no connection."""
        for _ in range(count):
            thread = threading.Thread(target=self._run, args=(path, dict(fields)), daemon=True)
            self._threads.append(thread)
            thread.start()

    def wait(self) -> None:
        """Wait until the edge is gone for all callers."""
        for thread in self._threads:
            thread.join(ANSWER_SECONDS)

    def leave(self) -> None:
        """Let all callers end with their present call."""
        self._leaving.set()
        self.wait()

    def _run(self, path: str, fields: dict[str, str]) -> None:
        port = self.deployment.fronts[self.edge]
        while not self._leaving.is_set():
            connection = http.client.HTTPConnection(HOST, port, timeout=ANSWER_SECONDS)
            try:
                connection.connect()
            except OSError:
                return
            try:
                while not self._leaving.is_set() and self._call(connection, path, fields):
                    pass
            finally:
                connection.close()

    def _call(
        self, connection: http.client.HTTPConnection, path: str, fields: dict[str, str]
    ) -> bool:
        """Make a call; return whether its connection is kept."""
        request_id = f"{self.name}{self.edge}-{next(self._numbers)}"
        headers = {
            "Host": CALLER_HOST,
            "X-Yokeline-Request-Id": request_id,
            "X-Yokeline-Deadline-Ms": str(self.deadline_ms),
            **fields,
        }
        status: int | None = None
        is_whole = False
        is_kept = False
        sent_at = time.monotonic()
        try:
            connection.request("POST", path, body=f"input-{request_id}", headers=headers)
            sent_at = time.monotonic()
            response = connection.getresponse()
            status = response.status
            response.read()
            is_whole = True
            is_kept = not response.will_close
        except (OSError, http.client.HTTPException):
            pass
        ended_at = time.monotonic()
        caller = threading.get_ident()
        self.calls.append(KeptCall(request_id, path, caller, sent_at, ended_at, status, is_whole))
        if status == UNAVAILABLE:
            time.sleep(PAUSE_AFTER_REFUSAL_SECONDS)
        return is_kept


def cut_calls(
    calls: Iterable[KeptCall],
    engines: Iterable[EngineStandIn],
    deadline_seconds: float = math.inf,
) -> list[KeptCall]:
    """Return the calls that were taken, and whose connection ended without a whole answer.

    A call that no engine ran and that crossed the close of its connection was not taken. A stream
    that has begun can only be broken off at ``deadline_seconds``.
    """
    ran = {request_id for engine in engines for request_id, _, _ in engine.runs}
    return [
        call
        for call in calls
        if not call.is_whole
        and call.seconds < deadline_seconds - DEADLINE_TOLERANCE_SECONDS
        and (call.request_id in ran or call.seconds > LOSS_SLACK_SECONDS)
    ]


def falsely_refused(calls: Iterable[KeptCall], engines: Iterable[EngineStandIn]) -> list[KeptCall]:
    """Return the calls that an engine ran, although their callers were told that none did."""
    ran = {request_id for engine in engines for request_id, _, _ in engine.runs}
    return [call for call in calls if call.is_refused and call.request_id in ran]


def line(call: KeptCall, stopped_at: float) -> str:
    """Return a call for the reader of a report; its times count from the stop."""
    return (
        f"{call.request_id} {call.path} sent {call.sent_at - stopped_at:+.2f} s, "
        f"ended {call.ended_at - stopped_at:+.2f} s, status {call.status}"
    )
