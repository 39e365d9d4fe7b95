"""Whatever happens to the engines of one request, at whichever nodes, no attempt of it is sent once
three engines have ended under it, and none is condemned while fewer have ended.

Every bound on retries counted one attempt at one node, so up to twelve engines ended.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.losses.test_quarantine import STARTED_MS, Node
from yokeline.ledger.operations import EngineLoss
from yokeline.ledger.state import LedgerState
from yokeline.losses.engine_fates import MAX_ENDED_ENGINES
from yokeline.losses.quarantine import QUARANTINED

NODES = 3
ENGINES = 12
PAUSES = (0.05, 0.3, 1.0, 7.0)
STEPS = st.tuples(
    st.sampled_from(("end", "end", "end", "reset", "notice", "answer")),
    st.integers(0, NODES - 1),
    st.sampled_from(PAUSES),
)
KINDS = ("turn", "call")
LAPSE_SECONDS = 3.6
"""Time after its end after which the entry of an engine goes."""


class World:
    """Nodes that share a ledger and engines, and the attempts of one request at them.

    Attributes:
        ended: Engines that have ended under the request since it was last answered.
        sends_after: Sends that began after the bound was reached.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        ledger_state = LedgerState()
        self.nodes = [Node(ledger_state, engines=ENGINES) for _ in range(NODES)]
        self.ended: list[str] = []
        self._unnoticed: dict[str, float] = {}
        self.sends_after = 0

    def attempt(self, number: int) -> Node | None:
        """Let an attempt arrive at a node; return the node if an engine has it then."""
        node = self.nodes[number]
        sent = len(node.sent)
        if self._kind == "turn":
            node.begin("/once/x")
        else:
            node.call("/look/x")
        self.pass_time(0.6)
        # An engine that has ended, but is still listed, refuses connections.
        while len(node.sent) > sent and node.engine_of() in self._unnoticed:
            sent = len(node.sent)
            node.engine_breaks(sent=False)
            self.pass_time(0.3)
        if len(node.sent) == sent:
            return None
        self.sends_after += len(self.ended) >= MAX_ENDED_ENGINES
        return node

    def play(self, step: str, number: int, pause: float) -> None:
        if step == "notice":
            self._notice()
        else:
            node = self.attempt(number)
            if node is not None:
                self._happen(step, node)
        self.pass_time(pause)

    def _happen(self, step: str, node: Node) -> None:
        if step == "answer":
            self._answer(node)
            return
        if step == "end":
            self.ended.append(node.engine_of())
            self._unnoticed[node.engine_of()] = node.now
        node.engine_breaks()
        self.pass_time(0.05)
        # A route of one attempt goes back to the same engine, which refuses if it has ended.
        while node.forwarder.under_way:
            node.engine_breaks(sent=step != "end")
            self.pass_time(0.3)

    def _answer(self, node: Node) -> None:
        if self._kind == "turn":
            node.engine_begins()
            node.engine_sends(1)
            node.engine_ends()
        else:
            node.engine_answers()
        self.ended.clear()

    def _notice(self, seconds: float = 0.0) -> None:
        """Let the entries go of engines that ended so long ago, at all nodes."""
        now = self.nodes[0].now
        gone = [name for name, ended_at in self._unnoticed.items() if now - ended_at >= seconds]
        for engine_id in gone:
            del self._unnoticed[engine_id]
            for node in self.nodes:
                state = node.engines.get(engine_id)
                if state is not None:
                    node.engines.remove(engine_id)
                    node.forwarder.engine_ended(state.engine, node.now)

    def pass_time(self, seconds: float) -> None:
        for _ in range(max(1, round(seconds / 0.1))):
            for node in self.nodes:
                node.wait(0.1)
                self._tell_states(node)
                for other in self.nodes:
                    rows: tuple[EngineLoss, ...] = node.forwarder.losses.reported_rows()
                    if other is not node and rows:
                        other.forwarder.losses.apply_report(rows, other.now)
            self._notice(LAPSE_SECONDS)

    def _tell_states(self, node: Node) -> None:
        """Let each engine that is asked for its state answer, or refuse if it has ended."""
        for request in list(node.state_requests):
            node.state_requests[:] = [request]
            listed = {state.engine.address: state.engine.engine_id for state in node.engines.all()}
            engine_id = listed.get(request.address)
            if engine_id is None or engine_id in self._unnoticed:
                node.engines_refuse_connections()
            else:
                node.engines_tell_state(STARTED_MS)


class EngineLosses(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.sampled_from(KINDS), st.lists(STEPS, min_size=1, max_size=12))
    def test_no_attempt_is_sent_after_the_bound(
        self, kind: str, plan: list[tuple[str, int, float]]
    ) -> None:
        world = World(kind)
        for step, number, pause in plan:
            world.play(step, number, pause)
            if len(world.ended) < MAX_ENDED_ENGINES:
                condemned = [
                    reply
                    for node in world.nodes
                    for reply in node.replies
                    if QUARANTINED.encode() in reply.body
                ]
                self.assertEqual(condemned, [])
            self.assertEqual(world.sends_after, 0)


if __name__ == "__main__":
    unittest.main()
