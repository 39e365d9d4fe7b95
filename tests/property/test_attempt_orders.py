"""The fate of an attempt follows from what happened, in whichever order nodes hear of it.

An attempt that was left after the end of its engine had been noticed counted nowhere, so that up to
twelve engines ended under one request.
"""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Iterable

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.ledger.operations import EngineLoss
from yokeline.losses.attempt_book import AttemptBook
from yokeline.losses.attempt_stages import AttemptStage
from yokeline.losses.engine_fates import (
    MAX_ENDED_ENGINES,
    EngineEnds,
    EngineView,
    Loss,
    LossFate,
    Verdict,
)
from yokeline.losses.left_attempts import LeftAttempt
from yokeline.losses.loss_keys import LossKey
from yokeline.losses.request_losses import row_of

NODES = 2
ATTEMPTS = 4
WORK_SECONDS = 5.0
STEP_SECONDS = 0.01
"""Time between two facts that become known."""
TOLD_SECONDS = 1.5
"""Time after an end in which the node of an attempt tells what became of it."""
RETENTION = 60.0
KEY = LossKey(digest="d", line="l", retention=RETENTION)
SHARED = LossKey(digest="d~", line="l", retention=RETENTION)


class Node:
    """One node's book; what it tells waits until it is delivered to the others."""

    def __init__(self, key: LossKey = KEY) -> None:
        self.now = 100.0
        self.key = key
        self._told: list[tuple[float, EngineLoss]] = []
        self.at_engines: dict[str, Loss] = {}
        self.engines: dict[str, str] = {}
        self.book = AttemptBook(EngineEnds(), self)

    # What the book asks for.

    def tell(self, key: LossKey, loss: Loss) -> None:
        self._told.append((self.now, row_of(key.digest, loss, self.now)))

    def tell_answer(self, digest: str, answered_at: float) -> None:
        self._told.append((self.now, EngineLoss(digest, age=self.now - answered_at)))

    def untold_attempts(self, digest: str) -> list[LeftAttempt]:
        found = [LeftAttempt(self.key, loss) for loss in self.at_engines.values()]
        self.at_engines.clear()
        return found

    def note_told(self, digest: str, at_engines: int, left: int) -> None:
        pass

    def view(self, instance: str) -> EngineView:
        current = self.engines.get(instance, f"{instance}@1")
        return EngineView(current_id=current, is_registered=True, is_current=True)

    def take_told(self) -> list[EngineLoss]:
        """Return what is to be delivered, with its present age."""
        told, self._told = self._told, []
        return [msgspec.structs.replace(row, age=row.age + self.now - at) for at, row in told]

    # Facts that become known.

    def send(self, number: int) -> None:
        self.at_engines[str(number)] = attempt_at(number, self.now)

    def leave(self, number: int) -> None:
        attempt = self.at_engines.pop(str(number), None) or attempt_at(number, self.now)
        self.book.left(self.key, attempt, self.now)

    def lose(self, number: int) -> None:
        self.at_engines.pop(str(number), None)
        self.book.publish(self.key, attempt_at(number, self.now, AttemptStage.LOST))

    def end(self, number: int) -> None:
        self.engines[f"e{number}"] = f"e{number}@2"
        self.book.ended(f"e{number}@1", f"e{number}", self.now)

    def hear(self, rows: Iterable[EngineLoss]) -> None:
        self.book.merge(rows, self.now, retention=RETENTION)

    def ended(self) -> int:
        """Return how many engines the node knows to have ended under the request."""
        judgement = self.judge()
        return judgement.count(LossFate.ENDED) if judgement is not None else 0

    def may_send(self) -> bool:
        judgement = self.judge()
        return judgement is None or judgement.verdict in (Verdict.RUN, Verdict.ISOLATE)

    def judge(self):  # type: ignore[no-untyped-def]
        known = self.book.find(self.key.digest, self.now)
        if known is None:
            return None
        return self.book.judge(self.key.digest, "", known, self.now, is_informed=True)


def attempt_at(number: int, now: float, stage: AttemptStage = AttemptStage.AT_ENGINE) -> Loss:
    return Loss(
        loss_id=str(number),
        engine_id=f"e{number}@1",
        instance=f"e{number}",
        sent_at=100.0,
        lost_at=now,
        stage=stage,
        work_until=100.0 + WORK_SECONDS,
        address="10.0.0.1:80",
    )


def pass_time(nodes: list[Node], seconds: float) -> None:
    for node in nodes:
        node.now += seconds


def deliver(nodes: list[Node]) -> None:
    """Deliver what nodes have told, and what they tell when they hear it."""
    while any(told := [node.take_told() for node in nodes]):
        for node, rows in zip(nodes, told, strict=True):
            for other in nodes:
                if other is not node:
                    other.hear(rows)


# Each attempt: its node, how it is over, whether its engine ended.
PLANS = st.lists(
    st.tuples(st.integers(0, NODES - 1), st.sampled_from(("leave", "lose", "work")), st.booleans()),
    min_size=1,
    max_size=ATTEMPTS,
)


class Orders(unittest.TestCase):
    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(PLANS, st.randoms(use_true_random=False), st.sampled_from((KEY, SHARED)))
    def test_a_fate_does_not_depend_on_the_order_of_news(self, plan, order, key) -> None:  # type: ignore[no-untyped-def]
        nodes = [Node(key) for _ in range(NODES)]
        facts: list[tuple[str, int, int]] = []
        for number, (node, how, has_ended) in enumerate(plan):
            nodes[node].send(number)
            # A connection that fails is one sign; without an end it shows nothing.
            if how != "work":
                facts.append((how, number, node))
            if has_ended:
                facts += [("end", number, each) for each in range(NODES)]
        order.shuffle(facts)
        for how, number, node in facts:
            pass_time(nodes, STEP_SECONDS)
            getattr(nodes[node], how)(number)
            if order.random() < 0.5:
                deliver(nodes)
        for number, (node, how, _) in enumerate(plan):
            if how == "work":
                nodes[node].leave(number)
        deliver(nodes)
        pass_time(nodes, TOLD_SECONDS)
        ends = sum(has_ended for _, _, has_ended in plan)
        for node in nodes:
            self.assertEqual(node.ended(), ends, facts)
            if ends >= MAX_ENDED_ENGINES:
                self.assertFalse(node.may_send(), facts)

    def test_each_pair_of_facts_counts_in_both_orders(self) -> None:
        """On the node of the attempt, and on another one that the end is told or shown."""
        for how in ("leave", "lose"):
            for order in itertools.permutations(((how, 0), ("end", 0), ("end", 1))):
                with self.subTest(order):
                    nodes = [Node() for _ in range(NODES)]
                    nodes[0].send(0)
                    for fact, node in order:
                        pass_time(nodes, STEP_SECONDS)
                        getattr(nodes[node], fact)(0)
                    deliver(nodes)
                    pass_time(nodes, TOLD_SECONDS)
                    self.assertEqual([node.ended() for node in nodes], [1, 1])

    def test_an_answer_clears_losses_before_it_whichever_is_told_first(self) -> None:
        for rows in itertools.permutations(
            (EngineLoss("d", "1", "e0@1", "e0", 0.1, 0.5), EngineLoss("d", age=0.2))
        ):
            with self.subTest(rows):
                node = Node()
                for row in rows:
                    node.hear([row])
                self.assertTrue(node.may_send())
                self.assertIsNone(node.judge())

    def test_a_loss_after_an_answer_counts_whichever_is_told_first(self) -> None:
        for rows in itertools.permutations(
            (EngineLoss("d", "1", "e0@1", "e0", 0.1, 0.2), EngineLoss("d", age=0.5))
        ):
            with self.subTest(rows):
                node = Node()
                node.end(0)
                for row in rows:
                    node.hear([row])
                self.assertIsNotNone(node.judge())


if __name__ == "__main__":
    unittest.main()
