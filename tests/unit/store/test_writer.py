"""A write is reported as applied, not applied or unknown, and the report is true."""

from __future__ import annotations

import unittest

from returns.result import Failure, Success

from tests.unit.store.bench import Bench, write
from yokeline.errors import ErrorKind, Execution
from yokeline.labels.objects import ObjectKind


def tenant(name: str, burst: int = 1) -> str:
    return f'{{"name":"{name}","limits":{{"burst":{burst}}}}}'


def applied_values(bench: Bench, operation: str) -> int:
    """How often the store's own books hold an operation."""
    return sum(operation.encode() in change.kv.value for change in bench.store.books)


class WriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self.node = self.bench.add("a")
        self.other = self.bench.add("b")
        self.bench.run(3.0)

    def put(self, body: str | None, expected: int, operation: str, node=None) -> list:
        outcome = write(node or self.node, "club", body, expected, operation)
        self.bench.run(0.02)
        return outcome

    def error_of(self, outcome: list):
        self.assertEqual(len(outcome), 1, outcome)
        self.assertIsInstance(outcome[0], Failure)
        return outcome[0].failure()

    def revision_of(self, outcome: list) -> int:
        self.assertEqual(len(outcome), 1, outcome)
        self.assertIsInstance(outcome[0], Success, outcome)
        return outcome[0].unwrap().revision

    def test_an_answer_lost_after_the_write_is_found_by_reading_back(self) -> None:
        self.bench.faults(lose_answers=1)
        outcome = self.put(tenant("club"), 0, "op-1")
        self.bench.run(3.0)
        self.revision_of(outcome)
        self.assertEqual(applied_values(self.bench, "op-1"), 1)

    def test_a_request_lost_before_the_write_is_sent_again(self) -> None:
        self.bench.faults(lose_requests=2)
        outcome = self.put(tenant("club"), 0, "op-1")
        self.bench.run(5.0)
        self.revision_of(outcome)
        self.assertEqual(applied_values(self.bench, "op-1"), 1)

    def test_operators_who_race_get_one_winner_and_one_refusal(self) -> None:
        first = self.put(tenant("club", 1), 0, "op-1")
        second = self.put(tenant("club", 2), 0, "op-2", self.other)
        self.bench.run(1.0)
        self.revision_of(first)
        error = self.error_of(second)
        self.assertIs(error.kind, ErrorKind.PRECONDITION_FAILED)
        self.assertIs(error.execution, Execution.NOT_RUN)
        self.assertEqual(applied_values(self.bench, "op-2"), 0)

    def test_a_lost_write_that_was_overwritten_since_is_still_reported_as_applied(self) -> None:
        self.bench.faults(lose_answers=1)
        outcome = self.put(tenant("club", 1), 0, "op-1")
        stored = self.bench.store.books[-1].revision
        later = self.put(tenant("club", 2), stored, "op-2", self.other)
        self.revision_of(later)
        self.bench.run(3.0)
        self.assertEqual(self.revision_of(outcome), stored)

    def test_a_lost_request_that_another_write_overtook_is_refused(self) -> None:
        start = self.revision_of(self.put(tenant("club", 1), 0, "op-0"))
        self.bench.faults(lose_requests=1)
        outcome = self.put(tenant("club", 2), start, "op-1")
        self.revision_of(self.put(tenant("club", 3), start, "op-2", self.other))
        self.bench.run(3.0)
        self.assertIs(self.error_of(outcome).kind, ErrorKind.PRECONDITION_FAILED)
        self.assertEqual(applied_values(self.bench, "op-1"), 0)

    def test_a_lost_write_whose_history_is_gone_stays_unknown(self) -> None:
        start = self.revision_of(self.put(tenant("club", 1), 0, "op-0"))
        self.bench.faults(lose_answers=1)
        outcome = self.put(tenant("club", 2), start, "op-1")
        stored = self.bench.store.books[-1].revision
        self.revision_of(self.put(tenant("club", 3), stored, "op-2", self.other))
        self.bench.store.state.compact(self.bench.store.state.revision)
        self.bench.run(3.0)
        self.assertIs(self.error_of(outcome).kind, ErrorKind.OUTCOME_UNKNOWN)

    def test_the_same_operation_again_is_the_same_write(self) -> None:
        first = self.revision_of(self.put(tenant("club", 1), 0, "op-1"))
        self.revision_of(self.put(tenant("club", 2), first, "op-2"))
        self.assertEqual(self.revision_of(self.put(tenant("club", 1), 0, "op-1")), first)
        self.assertEqual(applied_values(self.bench, "op-1"), 1)

    def test_a_store_that_cannot_be_reached_is_not_applied(self) -> None:
        self.node.store_reachable = False
        outcome = self.put(tenant("club"), 0, "op-1")
        self.bench.run(12.0)
        error = self.error_of(outcome)
        self.assertIs(error.kind, ErrorKind.NOT_APPLIED)
        self.assertIs(error.execution, Execution.NOT_RUN)
        self.assertIsNotNone(error.retry_after)

    def test_a_store_that_hangs_leaves_the_outcome_unknown_and_resolvable(self) -> None:
        self.bench.faults(hang=True)
        outcome = self.put(tenant("club"), 0, "op-1")
        self.bench.run(12.0)
        error = self.error_of(outcome)
        self.assertIs(error.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertIs(error.execution, Execution.UNKNOWN)
        self.assertIn("op-1", error.message)
        self.bench.faults()
        self.bench.run(6.0)
        self.assertIsNone(self.resolve("op-1").applied)
        self.revision_of(self.put(tenant("club"), 0, "op-2"))
        self.assertIs(self.resolve("op-2").applied, True)
        self.assertIs(self.resolve("op-1", expected_revision=0).applied, False)

    def resolve(self, operation: str, **options: int):
        found: list = []
        self.node.writer.resolve(ObjectKind.TENANT, "club", operation, found.append, **options)
        self.bench.flush(self.node)
        self.bench.run(0.1)
        return found[0].unwrap()

    def test_a_deleted_object_is_written_anew_as_a_new_one(self) -> None:
        first = self.revision_of(self.put(tenant("club"), 0, "op-1"))
        self.revision_of(self.put(None, first, "op-2"))
        self.bench.run(0.2)
        self.assertIsNone(self.other.sync.view().tenant("club"))
        created = self.put(tenant("club", 7), 0, "op-3")
        self.bench.run(0.2)
        self.revision_of(created)
        self.assertEqual(self.other.sync.view().tenant("club").limits.burst, 7)


if __name__ == "__main__":
    unittest.main()
