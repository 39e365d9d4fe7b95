"""Callers of requests that end the engines that run them, and what became of these engines.

A caller does what the protocol page allows: each attempt has an id of its own and goes to the next
node, and a turn that has failed is sent again from its start.
"""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from tests.processes.cluster import HOST
from tests.processes.platform.deployment import CALLER_HOST, Deployment
from tests.processes.platform.stand_ins import EngineStandIn

MAX_ENDED_ENGINES = 3
"""Engines that may end under one request, over all of its attempts."""
ATTEMPTS = 3
TURNS = 3
"""How often a turn is sent: once, and twice again from its start."""
LEFT_TOGETHER_SECONDS = 0.05
"""Time after the first run within which attempts of several callers left at one moment."""
PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.3
ANSWER_SECONDS = 7.0
OK = 200
PROMISES_NOT_RUN = (429, 503)
FINAL = (400, 401, 404, 413, 431)
RETRIED_KINDS = ("/turn/", "/pair/", "/look/")
"""Routes whose requests are repeated after any failure; others only after a promise."""


@dataclass(frozen=True)
class Attempt:
    """One attempt of a caller and what it got.

    Attributes:
        status: None if the connection ended without a whole head.
        body: As far as it came.
        is_whole: Whether the answer came to its end.
        sent_at: Monotonic seconds.
    """

    request_id: str
    status: int | None
    body: bytes
    is_whole: bool
    sent_at: float


@dataclass
class LethalCaller:
    """One request of a program, over all of its attempts.

    Attributes:
        body: The same in each attempt.
        attempts: The oldest first.
        budget: Tokens that its program may generate; None for none.
        finish_ms: Time that its program states until it is to end; None for none.
        leaves_after: Seconds of silence after which the caller gives an attempt up.
        before_attempt: Called with the number of each attempt, from 0 on.
    """

    name: str
    path: str
    body: bytes
    program: str = ""
    key: str = ""
    deadline_ms: int = 5000
    budget: int | None = 100_000
    finish_ms: int | None = None
    leaves_after: float = ANSWER_SECONDS
    attempts: list[Attempt] = field(default_factory=list)
    before_attempt: Callable[[int], None] = lambda _number: None

    @property
    def statuses(self) -> list[int | None]:
        """Statuses of the attempts, the oldest first."""
        return [attempt.status for attempt in self.attempts]

    @property
    def is_turn(self) -> bool:
        return not self.path.startswith(("/look/", "/fix/"))

    @property
    def is_served(self) -> bool:
        return self.attempts[-1].is_whole and self.statuses[-1] == OK

    def was_refused_for(self, reason: str) -> bool:
        """Return whether an attempt was refused for a reason."""
        return any(reason.encode() in attempt.body for attempt in self.attempts)

    def run(self, deployment: Deployment, edges: Iterable[int]) -> None:
        """Ask until the request is served or the caller has no attempt left."""
        nodes = list(edges)
        for _ in range(TURNS):
            for _ in range(ATTEMPTS):
                edge = nodes[len(self.attempts) % len(nodes)]
                self.before_attempt(len(self.attempts))
                pause = self._attempt(deployment.fronts[edge], len(self.attempts))
                if self.is_served or self.statuses[-1] in FINAL:
                    return
                if not self._may_retry():
                    break
                time.sleep(pause)
            time.sleep(PAUSE_SECONDS)

    def run_together(
        self, deployment: Deployment, edges: Iterable[int], *, at_once: int, rounds: int
    ) -> None:
        """Ask with several attempts at a time, and once they have ended with as many again."""
        nodes = list(edges)
        with ThreadPoolExecutor(at_once) as pool:
            for number in range(rounds):
                first = len(self.attempts)
                self.before_attempt(number)
                attempts = [
                    pool.submit(self._attempt, deployment.fronts[nodes[item % len(nodes)]], item)
                    for item in range(first, first + at_once)
                ]
                time.sleep(max(attempt.result() for attempt in attempts))

    def attempt(self, deployment: Deployment, edge: int) -> float:
        """Ask once, at one node; return the pause before the next attempt."""
        return self._attempt(deployment.fronts[edge], len(self.attempts))

    def _may_retry(self) -> bool:
        if self.statuses[-1] in PROMISES_NOT_RUN:
            return True
        return self.path.startswith(RETRIED_KINDS)

    def _attempt(self, port: int, number: int) -> float:
        """Send the request once; return the pause before the next attempt."""
        request_id = f"{self.name}.{number}"
        fields = {
            "Host": CALLER_HOST,
            "X-Yokeline-Request-Id": request_id,
            "X-Yokeline-Deadline-Ms": str(self.deadline_ms),
        }
        if self.program:
            fields["X-Yokeline-Program-Id"] = self.program
            fields["X-Yokeline-Session-Id"] = f"{self.program}-line"
        if self.finish_ms is not None:
            fields["X-Yokeline-Finish-Ms"] = str(self.finish_ms)
        if self.is_turn and self.budget is not None:
            fields["X-Yokeline-Token-Budget"] = str(self.budget)
        if self.is_turn:
            fields["X-Yokeline-Token-Usage"] = "100,50"
        if self.key:
            fields["Authorization"] = f"Bearer {self.key}"
        status: int | None = None
        body = b""
        is_whole = False
        sent_at = time.monotonic()
        connection = http.client.HTTPConnection(HOST, port, timeout=self.leaves_after)
        pause = PAUSE_SECONDS
        try:
            connection.request("POST", self.path, body=self.body, headers=fields)
            response = connection.getresponse()
            status = response.status
            pause = float(response.headers.get("Retry-After", PAUSE_SECONDS))
            body = response.read()
            is_whole = True
        except http.client.IncompleteRead as error:
            body = error.partial
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.attempts.append(Attempt(request_id, status, body, is_whole, sent_at))
        return min(LONGEST_PAUSE_SECONDS, pause)


@dataclass(frozen=True)
class EnginesEnded:
    """What became of the engines under one request.

    Attributes:
        ended: Starts of engines that ended while they had it.
        sends_after: Runs that began after :data:`MAX_ENDED_ENGINES` of them had ended, without
            those that left together.
        left_together: First runs of attempts that left before any node could know of an end.
    """

    ended: int
    sends_after: int
    left_together: int = field(default=1, compare=False)

    @property
    def allowed(self) -> int:
        """Engines that may end."""
        return max(MAX_ENDED_ENGINES, self.left_together)


def engines_ended_under(
    body: bytes, engines: Iterable[EngineStandIn], *, known_seconds: float = 0.0
) -> EnginesEnded:
    """Return how many engines ended under the request with a body, and its runs after the bound.

    Nodes may know of an end only after ``known_seconds``.
    """
    known = list(engines)
    ends = sorted(end.at for engine in known for end in engine.ended if body in end.bodies)
    runs = sorted(
        (span.began, request_id)
        for engine in known
        for (request_id, run_body, _), span in zip(engine.runs, engine.spans, strict=False)
        if run_body == body
    )
    first_runs = {request_id: began for began, request_id in reversed(runs)}
    together = {
        (began, request_id)
        for request_id, began in first_runs.items()
        if began <= runs[0][0] + LEFT_TOGETHER_SECONDS
    }
    if len(ends) < MAX_ENDED_ENGINES:
        return EnginesEnded(len(ends), 0, len(together))
    bound = ends[MAX_ENDED_ENGINES - 1] + known_seconds
    after = sum(began > bound for began, request_id in runs if (began, request_id) not in together)
    return EnginesEnded(len(ends), after, len(together))
