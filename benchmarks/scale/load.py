"""Requests at a steady rate, and what came of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from benchmarks.scale.hollow import TENANTS, HollowCluster
from yokeline.effects import Framing, HttpResponse, HttpStreamEnded
from yokeline.simulation.objects import AGENT_PROGRAM, POSTING_PROGRAM, caller_token
from yokeline.simulation.port import Call, ClientPort, Steps
from yokeline.simulation.scripts import encode_app_body, encode_script, tool_steps

REQUEST_SECONDS = 60.0
OK_STATUSES = (200, 201, 202)


class RunRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to a program.

    Attributes:
        streamed: Watch the run by server-sent events instead of waiting for the answer.
    """

    program: str
    input: str
    streamed: bool = False


class _Body(msgspec.Struct, frozen=True, kw_only=True):
    input: msgspec.Raw | str
    wait: bool = True


RequestMaker = Callable[[int], RunRequest]


def posting(number: int) -> RunRequest:
    """Return a run of one app call that may not be repeated."""
    body = encode_app_body("post_finish", f"bib-{number}", number)
    return RunRequest(program=POSTING_PROGRAM, input=body)


def agent(tools: int, words: int, *, streamed: bool = False) -> RequestMaker:
    """Return a maker of agent runs with some tool calls and an answer of some words."""

    def make(number: int) -> RunRequest:
        steps = tool_steps(f"run-{number}", ("search",) * tools)
        text = " ".join(f"word{index % 100:02d}" for index in range(words))
        return RunRequest(
            program=AGENT_PROGRAM,
            input=encode_script(steps, f"{number} {text}"),
            streamed=streamed,
        )

    return make


def long_input(words: int) -> RequestMaker:
    """Return a maker of runs with one model call on a long input, answered in 20 words."""

    def make(number: int) -> RunRequest:
        text = " ".join(f"word{(number + index) % 1000:03d}" for index in range(words))
        return RunRequest(program=AGENT_PROGRAM, input=text)

    return make


class LoadGenerator:
    """Sends requests to all nodes in turn, in an open loop.

    Attributes:
        outcomes: Requests by HTTP status (0: no answer).
    """

    def __init__(self, cluster: HollowCluster, make: RequestMaker) -> None:
        """Prepare a load; nothing is sent before :meth:`start`."""
        self.outcomes: Counter[int] = Counter()
        self._cluster = cluster
        self._make = make
        self._port = ClientPort(cluster.simulation, "load")
        self._nodes = cluster.deployment.public_nodes()
        self._sent = 0

    def start(self, rate: float, seconds: float) -> None:
        """Send ``rate`` requests a second for a span of virtual time."""
        environment = self._cluster.simulation.schedule.environment
        environment.process(self._send_all(rate, int(rate * seconds)))

    def _send_all(self, rate: float, count: int) -> Steps:
        environment = self._cluster.simulation.schedule.environment
        for _ in range(count):
            environment.process(self._send(self._sent))
            self._sent += 1
            yield environment.timeout(1.0 / rate)

    def _send(self, number: int) -> Steps:
        request = self._make(number)
        pending = self._port.send(self._call(number, request))
        answer = yield pending.next()
        status = answer.status if isinstance(answer, HttpResponse) else 0
        if request.streamed and status in OK_STATUSES:
            while not isinstance(answer, HttpStreamEnded):
                answer = yield pending.next()
                if not hasattr(answer, "data") and not isinstance(answer, HttpStreamEnded):
                    status = 0
                    break
        self.outcomes[status] += 1

    def _call(self, number: int, request: RunRequest) -> Call:
        node = self._nodes[number % len(self._nodes)]
        headers = {
            "authorization": f"Bearer {caller_token(TENANTS[0])}",
            "idempotency-key": f"load-{number}",
            "content-type": "application/json",
        }
        if request.streamed:
            headers["accept"] = "text/event-stream"
        is_app = request.program == POSTING_PROGRAM
        body = _Body(input=msgspec.Raw(request.input.encode()) if is_app else request.input)
        return Call(
            address=node.address,
            method="POST",
            path=f"/v1/programs/{request.program}/runs",
            headers=headers,
            body=msgspec.json.encode(body),
            timeout=REQUEST_SECONDS,
            framing=Framing.SERVER_SENT_EVENTS if request.streamed else Framing.WHOLE,
        )
