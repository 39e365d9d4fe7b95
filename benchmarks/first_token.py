"""Measures time to first token and per token through yokeline against the engine itself.

Usage: ``python -m benchmarks.first_token [REQUESTS] [ANSWER_TOKENS]``

Starts a deployment of its own on loopback (five nodes, two emulated engines, a process each)
and one caller that sends its requests one after the other, each once to an engine directly
and once through a node, in turns. Both are streamed over a kept connection. The five nodes
are used one after the other, so that most requests go through a node that does not lead the
run's shard. The engine's time is emulated, so the difference is what yokeline adds.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPResponse
from typing import Any

import msgspec
from tests.processes.case import AGENT, TENANT_TOKEN, agent_input, configuration
from tests.processes.cluster import Cluster

from yokeline.commands.client import parse_events, path_of

DEFAULT_REQUESTS = 200
DEFAULT_ANSWER_TOKENS = 64
WARM_UP_REQUESTS = 20
MILLISECONDS = 1000.0
TIMEOUT_SECONDS = 60.0
PERCENTILES = 100
NINETY_FIFTH = 94
ENGINE_SETTINGS = '[parameters]\nmodels = ["small-1"]\nsteps_per_event = 1\n'
MODEL = "small-1"


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One streamed answer; times in milliseconds."""

    first_token: float
    per_token: float


class Arrivals:
    """Notes when the words of one answer arrive."""

    def __init__(self) -> None:
        """Start the clock: the request goes out now."""
        self._sent = time.perf_counter()
        self._times: list[float] = []
        self._texts: list[str] = []

    def note(self, text: str) -> None:
        """Note a piece of text that arrived now."""
        self._times.append(time.perf_counter())
        self._texts.append(text)

    def sample(self, wanted_tokens: int) -> Sample:
        """Return the times; the answer must be whole."""
        tokens = len("".join(self._texts).split())
        if tokens != wanted_tokens:
            raise SystemExit(f"an answer has {tokens} of {wanted_tokens} tokens")
        later = tokens - len(self._texts[0].split())
        elapsed = self._times[-1] - self._times[0]
        return Sample(
            first_token=(self._times[0] - self._sent) * MILLISECONDS,
            per_token=elapsed / later * MILLISECONDS,
        )


class Caller:
    """Sends streamed requests over one kept connection."""

    def __init__(self, address: str, headers: dict[str, str]) -> None:
        """Prepare to call ``ip:port``."""
        host, _, port = address.partition(":")
        self._connection = HTTPConnection(host, int(port), timeout=TIMEOUT_SECONDS)
        self._headers = {"content-type": "application/json", **headers}

    def post(self, path: str, document: dict[str, Any]) -> HTTPResponse:
        """Send a request; the answer's body is still to be read."""
        body = json.dumps(document).encode()
        self._connection.request("POST", path, body=body, headers=self._headers)
        response = self._connection.getresponse()
        if response.status != 200:
            raise SystemExit(f"{path}: {response.status} {response.read()!r}")
        return response


class Direct:
    """Calls an engine as yokeline itself does."""

    def __init__(self, address: str) -> None:
        """Prepare to call the engine at ``ip:port``."""
        self._caller = Caller(address, {"accept": "text/event-stream"})

    def measure(self, name: str, answer_tokens: int) -> Sample:
        """Measure one answer."""
        document = {
            "model": MODEL,
            "messages": [{"role": "user", "content": json.dumps(_input(name, answer_tokens))}],
            "max_tokens": 1024,
            "stream": True,
            "call_id": name,
            "cache_key": name,
            "cache_salt": "benchmark",
            "fence": 1,
        }
        arrivals = Arrivals()
        response = self._caller.post("/v1/chat/completions", document)
        for text in _engine_texts(response):
            arrivals.note(text)
        return arrivals.sample(answer_tokens)


class Through:
    """Calls a node of yokeline as a caller does."""

    def __init__(self, address: str) -> None:
        """Prepare to call the node at ``ip:port``."""
        headers = {"authorization": f"Bearer {TENANT_TOKEN}", "accept": "text/event-stream"}
        self._caller = Caller(address, headers)

    def measure(self, name: str, answer_tokens: int) -> Sample:
        """Measure one answer."""
        arrivals = Arrivals()
        path = path_of("v1", "programs", AGENT, "runs")
        response = self._caller.post(path, {"input": _input(name, answer_tokens)})
        for event in parse_events(response):
            if event.kind == "text":
                arrivals.note(json.loads(event.data)["text"])
        return arrivals.sample(answer_tokens)


def main(arguments: list[str]) -> int:
    """Run the measurement and print it."""
    requests = int(arguments[0]) if arguments else DEFAULT_REQUESTS
    answer_tokens = int(arguments[1]) if len(arguments) > 1 else DEFAULT_ANSWER_TOKENS
    cluster = Cluster({"engine": ENGINE_SETTINGS})
    try:
        cluster.start()
        cluster.load(configuration(cluster))
        _measure(cluster, WARM_UP_REQUESTS, answer_tokens, "warm-up")
        direct, through = _measure(cluster, requests, answer_tokens, "measured")
    finally:
        cluster.stop()
    print(f"n = {requests} each, {answer_tokens} tokens an answer, one caller; milliseconds")
    print(f"{'':<16}{'direct':>18}{'through yokeline':>20}{'added (median)':>18}")
    print(f"{'':<16}{'median':>10}{'p95':>8}{'median':>12}{'p95':>8}")
    for title, field in (("first token", "first_token"), ("per token", "per_token")):
        print(_row(title, _values(direct, field), _values(through, field)))
    return 0


def _measure(
    cluster: Cluster, requests: int, answer_tokens: int, title: str
) -> tuple[list[Sample], list[Sample]]:
    engines = [Direct(engine.address) for engine in cluster.engines]
    nodes = [Through(node.url.removeprefix("http://")) for node in cluster.nodes]
    direct: list[Sample] = []
    through: list[Sample] = []
    for number in range(requests):
        name = f"{title}-{number}"
        direct.append(engines[number % len(engines)].measure(name, answer_tokens))
        through.append(nodes[number % len(nodes)].measure(name, answer_tokens))
    return direct, through


def _input(name: str, answer_tokens: int) -> dict[str, Any]:
    return {**agent_input(answer_tokens=answer_tokens), "text": name}


def _engine_texts(response: HTTPResponse) -> Iterator[str]:
    for event in parse_events(response):
        if event.data == "[DONE]":
            continue
        for choice in json.loads(event.data)["choices"]:
            text = choice["delta"].get("content")
            if text:
                yield text


def _values(samples: list[Sample], field: str) -> list[float]:
    return [getattr(sample, field) for sample in samples]


def _row(title: str, direct: list[float], through: list[float]) -> str:
    added = statistics.median(through) - statistics.median(direct)
    return (
        f"{title:<16}{statistics.median(direct):>10.2f}{_p95(direct):>8.2f}"
        f"{statistics.median(through):>12.2f}{_p95(through):>8.2f}{added:>18.2f}"
    )


def _p95(values: list[float]) -> float:
    return statistics.quantiles(values, n=PERCENTILES)[NINETY_FIFTH]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
