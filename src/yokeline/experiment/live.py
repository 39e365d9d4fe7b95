"""The same arrivals against a real deployment, measured from outside.

Each arrival's first turn becomes one request ``POST /v1/programs/{name}/runs`` whose input is
a script for the emulated model (``emulator.engine.script``). A fixed number of threads sends
them, each when it is due; what a request is sent late by is the tool's own overhead and is
reported beside the latencies. Loopback only, and bounded in requests, threads and time.
"""

from __future__ import annotations

import ipaddress
import json
import queue
import threading
import time
from collections.abc import Sequence
from urllib.parse import urlsplit

import msgspec

from yokeline.commands.client import ERROR_STATUS, Client, error_of, path_of
from yokeline.errors import ErrorKind, YokelineError, YokelineException
from yokeline.experiment.metrics import MILLISECONDS, histogram
from yokeline.experiment.script import Arrival, ChildUse, ToolUse, Turn

THREADS = 16
MAX_REQUESTS = 500
MAX_SECONDS = 300.0
ANSWER_SECONDS = 120.0
PADDING_WORD = "x"
PERCENTILES = (50.0, 95.0, 99.0)


class LivePlan(msgspec.Struct, frozen=True, kw_only=True):
    """What is sent.

    Attributes:
        program: Program of the deployment that all requests start.
        tool: Tool of that program that stands for every tool of the scripts; empty: the
            scripts run without tools.
        child: Child program that stands for every child run; empty: without child runs.
        time_scale: Factor by which the arrivals come faster than on the virtual clock.
        requests: Most requests that are sent.
    """

    url: str
    token: str
    program: str
    tool: str = ""
    child: str = ""
    time_scale: float = 1.0
    requests: int = 100


class LiveSummary(msgspec.Struct, frozen=True, kw_only=True):
    """What was measured; all times in seconds.

    Attributes:
        latency: Mean and percentiles from the time a request was due to its whole answer.
        service: The same from the time it was sent.
        send_lag: The same of the time between: the tool's own overhead.
        failures: Requests without an answer, by kind of error.
    """

    sent: int
    answered: int
    failures: dict[str, int]
    seconds: float
    latency: dict[str, float]
    service: dict[str, float]
    send_lag: dict[str, float]


class _Sample(msgspec.Struct, frozen=True, kw_only=True):
    due: float
    sent: float
    done: float
    error: str = ""


def run_live(plan: LivePlan, arrivals: Sequence[Arrival]) -> LiveSummary:
    """Send the arrivals and wait for the answers.

    Raises:
        YokelineException: The URL does not lead to this machine.
    """
    _check_loopback(plan.url)
    limit = min(plan.requests, MAX_REQUESTS)
    due = [
        (arrival.at / plan.time_scale, arrival)
        for arrival in arrivals[:limit]
        if arrival.at / plan.time_scale <= MAX_SECONDS
    ]
    work: queue.SimpleQueue[tuple[float, Arrival]] = queue.SimpleQueue()
    for item in due:
        work.put(item)
    samples: list[_Sample] = []
    started = time.monotonic()
    threads = [
        threading.Thread(target=_send_all, args=(plan, work, started, samples), daemon=True)
        for _ in range(min(THREADS, max(1, len(due))))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return summarize(samples, time.monotonic() - started)


def _send_all(
    plan: LivePlan,
    work: queue.SimpleQueue[tuple[float, Arrival]],
    started: float,
    samples: list[_Sample],
) -> None:
    client = Client(plan.url, plan.token)
    while True:
        try:
            due, arrival = work.get_nowait()
        except queue.Empty:
            return
        time.sleep(max(0.0, started + due - time.monotonic()))
        sent = time.monotonic() - started
        error = _send(client, plan, arrival)
        done = time.monotonic() - started
        samples.append(_Sample(due=due, sent=sent, done=done, error=error))


def _send(client: Client, plan: LivePlan, arrival: Arrival) -> str:
    """Send one request and wait for its answer; return the kind of error, empty if none."""
    body = {
        "input": json.dumps(script_of(arrival.script.turns[0], plan.tool, plan.child)),
        "wait": True,
        "deadline_seconds": arrival.script.deadline_seconds,
    }
    try:
        reply = client.request(
            "POST",
            path_of("v1", "programs", plan.program, "runs"),
            body=json.dumps(body).encode(),
            seconds=ANSWER_SECONDS,
        )
    except YokelineException as error:
        return error.error.kind.value
    if reply.status >= ERROR_STATUS:
        return error_of(reply).kind.value
    status = str(reply.json().get("status", ""))
    return "" if status in ("succeeded", "idle") else status


def script_of(turn: Turn, tool: str, child: str) -> dict[str, object]:
    """Return a turn as a script for the emulated model.

    The lengths of the first message and of the answer are kept; results of tools have the
    length that the deployment's tools give.
    """
    steps: list[dict[str, object]] = []
    for number, step in enumerate(turn.steps):
        if isinstance(step.follow_up, ToolUse) and tool:
            steps.append({"tool": tool, "arguments": {"step": number}})
        elif isinstance(step.follow_up, ChildUse) and child:
            inner = script_of(step.follow_up.child.turns[0], tool, "")
            steps.append({"child": child, "input": json.dumps(inner)})
    return {
        "steps": steps,
        "answer_tokens": turn.steps[-1].answer_tokens,
        "padding": " ".join([PADDING_WORD] * turn.steps[0].input_tokens),
    }


def summarize(samples: Sequence[_Sample], seconds: float) -> LiveSummary:
    """Return the summary of all requests."""
    answered = [sample for sample in samples if not sample.error]
    failures: dict[str, int] = {}
    for sample in samples:
        if sample.error:
            failures[sample.error] = failures.get(sample.error, 0) + 1
    return LiveSummary(
        sent=len(samples),
        answered=len(answered),
        failures=failures,
        seconds=seconds,
        latency=_distribution([sample.done - sample.due for sample in answered]),
        service=_distribution([sample.done - sample.sent for sample in answered]),
        send_lag=_distribution([sample.sent - sample.due for sample in samples]),
    )


def _distribution(values: Sequence[float]) -> dict[str, float]:
    if not values:
        return {}
    found = histogram(values)
    measures = {"mean": sum(values) / len(values)}
    for percentile in PERCENTILES:
        value = found.get_value_at_percentile(percentile)
        measures[f"p{percentile:g}"] = value / MILLISECONDS
    return measures


def _check_loopback(url: str) -> None:
    host = urlsplit(url if "//" in url else f"//{url}").hostname or ""
    try:
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError:
        loopback = False
    if not loopback:
        raise YokelineException(
            YokelineError(
                kind=ErrorKind.BAD_SETTING,
                message=f"--live {url} does not lead to this machine",
                remedy="give http://127.0.0.1:PORT of a node that runs here",
            )
        )
