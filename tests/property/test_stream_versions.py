"""No stream holds events of two engine versions, whatever happens in whichever order.

Two nodes and one ledger serve callers that drop and resume streams of programs with a budget.
Engines are replaced by other versions under ids of their own; news of them and the ledger's answers
come late or never; nodes restart, and lose the operations that they have not sent.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.forwarding.support import Played
from yokeline.effects import Address, HttpFailed, HttpRequest, HttpResponse, HttpStreamItem
from yokeline.forwarding.model import Engine
from yokeline.ledger.messages import LedgerReply
from yokeline.ledger.state import LedgerCommand, LedgerState

NODES = 2
ENGINES = 3
VERSIONS = ("v1", "v2")
STEP_SECONDS = 0.02


class Stream:
    """One stream of a caller.

    Attributes:
        node: Where its present attempt is; None between two attempts.
        versions: Versions of the engines whose events the caller has.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.attempt = ""
        self.origin = ""
        self.node: int | None = None
        self.versions: list[str] = []


class World:
    """Engines, nodes, the ledger and callers."""

    def __init__(self) -> None:
        self.engines = {f"e{number}": VERSIONS[number % 2] for number in range(ENGINES)}
        self.replaced = 0
        self.asked = 0
        self.ledger = LedgerState()
        self.time = 1000.0
        self.nodes = [self.new_node() for _ in range(NODES)]
        self.answered: list[int] = [0] * NODES
        self.begun: set[tuple[str, str]] = set()
        self.streams: list[Stream] = []

    def new_node(self) -> Played:
        node = Played(engines_per_pool=0)
        self.sync(node)
        return node

    def sync(self, node: Played) -> None:
        """Let a node hear of all changes of engines."""
        for state in list(node.engines.all()):
            if state.engine.engine_id not in self.engines:
                node.engines.remove(state.engine.engine_id)
        for number, (engine_id, version) in enumerate(sorted(self.engines.items())):
            node.engines.put(
                Engine(
                    engine_id=engine_id,
                    pool="models",
                    address=Address(f"10.1.0.{number}", 80),
                    zone="a",
                    slots=4,
                    version=version,
                )
            )
        node.take(node.forwarder.tick(node.now))

    # ------------------------------------------------------------ steps

    def begin(self, node: int) -> None:
        stream = Stream(len(self.streams))
        self.streams.append(stream)
        self.ask(stream, node)

    def ask(self, stream: Stream, node: int) -> None:
        fields = {"last-event-id": str(len(stream.versions)), "resumes": stream.origin}
        self.asked += 1
        stream.node = node
        stream.attempt = f"s{stream.number}-{self.asked}"
        self.nodes[node].resume_turn(
            ("/turn/x", "/single/x")[stream.number % 2],
            fields if stream.origin else {},
            own_id=stream.attempt,
        )

    def sent(self, stream: Stream) -> HttpRequest | None:
        """Return the request to an engine that the stream's attempt has under way."""
        if stream.node is None:
            return None
        node = self.nodes[stream.node]
        for request in reversed(node.sent):
            if request.echo_value == stream.attempt:
                is_under_way = request.request in node.forwarder._state.by_engine_request
                return request if is_under_way else None
        return None

    def event(self, stream: Stream) -> None:
        """Let the stream's engine send its next event, if the engine still runs."""
        request = self.sent(stream)
        if request is None or stream.node is None:
            return
        node = self.nodes[stream.node]
        engine_id = dict(request.header_items)["x-yokeline-expect-instance"]
        if engine_id not in self.engines:
            failed = HttpFailed(request=request.request, sent=True, reason="reset", fresh=True)
            node.take(node.forwarder.handle_engine_event(failed, node.now))
            return
        sending = (stream.attempt, request.request)
        if sending not in self.begun:
            self.begun.add(sending)
            head = HttpResponse(request=request.request, status=200, headers={}, body=b"")
            node.take(node.forwarder.handle_engine_event(head, node.now))
        number = str(len(stream.versions) + 1)
        before = len(node.stream)
        item = HttpStreamItem(request=request.request, data=b"x", event_id=number)
        node.take(node.forwarder.handle_engine_event(item, node.now))
        if len(node.stream) > before:
            stream.versions.append(self.engines[engine_id])
            stream.origin = stream.origin or stream.attempt

    def break_off(self, stream: Stream) -> None:
        request = self.sent(stream)
        if request is not None and stream.node is not None:
            node = self.nodes[stream.node]
            failed = HttpFailed(request=request.request, sent=True, reason="reset", fresh=True)
            node.take(node.forwarder.handle_engine_event(failed, node.now))

    def drop(self, stream: Stream) -> None:
        if stream.node is not None:
            self.nodes[stream.node].leave(stream.attempt)
            stream.node = None

    def replace(self, number: int, version: str) -> None:
        """Let an engine be another one, of some version, under an id of its own."""
        engine_id = sorted(self.engines)[number % ENGINES]
        del self.engines[engine_id]
        self.replaced += 1
        self.engines[f"e{number}-{self.replaced}"] = version

    def restart(self, number: int) -> None:
        for stream in self.streams:
            if stream.node == number:
                stream.node = None
        now = self.nodes[number].now
        self.nodes[number] = self.new_node()
        self.nodes[number].now = now
        self.answered[number] = 0

    def answer(self, number: int, *, is_lost: bool) -> None:
        """Let the ledger apply what a node has asked, and answer unless the answer is lost."""
        node = self.nodes[number]
        pending, self.answered[number] = node.asked[self.answered[number] :], len(node.asked)
        for question, operation in pending:
            command = LedgerCommand(time=self.time, operations=(operation,), passed=0.0)
            known = self.ledger.known_result(operation)
            result = known or self.ledger.transition_apply(command)[0]
            if is_lost:
                continue
            reply = LedgerReply(number=question, results=(result,))
            node.take(node.ledger.take_reply(reply, node.now))
        node.take(node.forwarder.tick(node.now))

    def step(self, kind: str, first: int, second: int) -> None:
        """Do something; the numbers say with which stream, node or engine."""
        stream = self.streams[first % len(self.streams)] if self.streams else None
        if kind == "begin":
            self.begin(second % NODES)
        elif kind == "event" and stream is not None:
            self.event(stream)
        elif kind == "break" and stream is not None:
            self.break_off(stream)
        elif kind == "drop" and stream is not None:
            self.drop(stream)
        elif kind == "resume" and stream is not None:
            self.drop(stream)
            self.ask(stream, second % NODES)
        elif kind == "replace":
            self.replace(first, VERSIONS[second % 2])
        elif kind == "news":
            self.sync(self.nodes[first % NODES])
        elif kind == "restart":
            self.restart(first % NODES)
        elif kind == "ledger":
            self.answer(first % NODES, is_lost=second % 4 == 3)
        self.time += STEP_SECONDS
        for node in self.nodes:
            node.wait(STEP_SECONDS)


KINDS = (
    *("begin",) * 2,
    *("event",) * 4,
    "break",
    "drop",
    *("resume",) * 4,
    "replace",
    *("news",) * 2,
    "restart",
    *("ledger",) * 6,
)
STEPS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 11), st.integers(0, 11)),
    min_size=10,
    max_size=80,
)


class Versions(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(steps=STEPS)
    def test_no_stream_holds_events_of_two_versions(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        world = World()
        for kind, first, second in steps:
            world.step(kind, first, second)
        for stream in world.streams:
            self.assertLessEqual(len(set(stream.versions)), 1, f"{stream.number} {stream.versions}")
