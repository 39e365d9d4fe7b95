"""An operator's order at one node: guards, the race for the key, the term."""

from __future__ import annotations

import random
import unittest

import msgspec
from returns.result import Failure, Result, Success

from tests.unit.shards.test_recovery import command, files_of
from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.identifiers import NodeName, ReplicaId, ShardId
from yokeline.messages.types import ShardLeader
from yokeline.server.context import NodeContext
from yokeline.server.recovery import (
    HOLD_SECONDS,
    START_WITHIN_SECONDS,
    Recovered,
    RecoveryOrder,
    RecoveryRecord,
    ShardRecovery,
)
from yokeline.settings import NodeSection, Settings
from yokeline.shards.copies import StoredCopies, read_copies
from yokeline.shards.lineage import TERMS_PER_LINEAGE
from yokeline.shards.recovery import RecoveryLog
from yokeline.store.protocol import KeyValue, RangeResult, SwapResult

SHARD = ShardId(3)
ORDER = RecoveryOrder(last_term=3, last_index=6, seen_term=9)
OWN = ReplicaId("node~2")
DOWN = YokelineError(kind=ErrorKind.UNAVAILABLE, message="down", remedy="wait")
LOST = YokelineError(
    kind=ErrorKind.OUTCOME_UNKNOWN, message="lost", remedy="read", execution=Execution.UNKNOWN
)


class FakeHost:
    """A node that holds one copy of a lost group."""

    def __init__(self) -> None:
        self.copies: StoredCopies = read_copies(files_of(SHARD, command(5), command(6)))
        self.lost = True
        self.leader: ShardLeader | None = None
        self.started: list[RecoveryLog] = []

    def majority_lost(self, shard: ShardId) -> bool:
        return self.lost

    def copy_of(self, shard: ShardId) -> None:
        return None

    def leader_of(self, shard: ShardId) -> ShardLeader | None:
        return self.leader

    def term(self, shard: ShardId) -> int:
        return 0

    def recover(self, shard: ShardId, log: RecoveryLog) -> None:
        self.started.append(log)


class FakeStore:
    """One key; ``lose`` lets a write happen without an answer, ``down`` refuses all."""

    def __init__(self) -> None:
        self.item: KeyValue | None = None
        self.down = False
        self.lose = False
        self.before_swap = lambda: None

    def get(self, key: str, done) -> None:
        items = () if self.item is None else (self.item,)
        done(Failure(DOWN) if self.down else Success(RangeResult(revision=1, items=items)))

    def compare_and_swap(self, key: str, expected_revision: int, value: bytes, done) -> None:
        self.before_swap()
        revision = 0 if self.item is None else self.item.mod_revision
        applied = revision == expected_revision
        if applied:
            self.item = KeyValue(key=key, value=value, mod_revision=revision + 1)
        swapped = SwapResult(applied=applied, revision=revision + 1, current=self.item)
        done(Failure(LOST) if self.lose else Success(swapped))

    def put(self, record: RecoveryRecord) -> None:
        self.item = KeyValue(key="k", value=msgspec.json.encode(record), mod_revision=5)


class ShardRecoveryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.context = NodeContext(
            name=NodeName("node"),
            replica=OWN,
            zone="z",
            source=random.Random(1),
            wall_offset=1000.0,
        )
        self.host = FakeHost()
        self.store = FakeStore()
        settings = Settings(node=NodeSection(name="node"))
        self.recovery = ShardRecovery(self.context, settings, self.store, self.host)  # type: ignore[arg-type]
        self.context.now = 100.0

    def order(self, order: RecoveryOrder = ORDER) -> Result[Recovered, YokelineError]:
        results: list[Result[Recovered, YokelineError]] = []
        self.recovery.recover(SHARD, order, results.append)
        self.assertEqual(len(results), 1)
        return results[0]

    def assert_refused(self, kind: ErrorKind, order: RecoveryOrder = ORDER) -> YokelineError:
        result = self.order(order)
        self.assertIsInstance(result, Failure)
        self.assertIs(result.failure().kind, kind)
        self.assertEqual(self.host.started, [])
        return result.failure()

    def record(self, **fields: object) -> RecoveryRecord:
        record = RecoveryRecord(
            count=1,
            node=NodeName("other"),
            replica=ReplicaId("other~1"),
            term=4 * TERMS_PER_LINEAGE,
            last_term=3,
            last_index=6,
            wall=self.context.wall(),
            nonce="n",
        )
        return msgspec.structs.replace(record, **fields)

    def test_the_group_starts_with_this_node_alone_above_every_term(self) -> None:
        recovered = self.order().unwrap()
        (log,) = self.host.started
        self.assertEqual((recovered.term, log.term), (TERMS_PER_LINEAGE, TERMS_PER_LINEAGE))
        self.assertEqual([entry.index for entry in log.entries], [5, 6, 7, 8])
        self.assertEqual(log.entries[-1].members, (OWN,))
        self.store.put(self.record(wall=0.0))
        self.assertEqual(self.order().unwrap().term, 5 * TERMS_PER_LINEAGE)
        self.host.leader = ShardLeader(SHARD, 8 * TERMS_PER_LINEAGE + 5, OWN, (OWN,))
        self.assertEqual(self.order().unwrap().term, 9 * TERMS_PER_LINEAGE)

    def test_guards(self) -> None:
        self.assert_refused(
            ErrorKind.PRECONDITION_FAILED, msgspec.structs.replace(ORDER, last_index=5)
        )
        self.host.lost = False
        self.assert_refused(ErrorKind.CONFLICT)
        self.host.lost = True
        self.host.copies.usable.clear()
        self.assert_refused(ErrorKind.NOT_FOUND)
        self.context.now = 1.0
        self.assertGreater(self.assert_refused(ErrorKind.UNAVAILABLE).retry_after or 0.0, 0.0)
        self.assertIsNone(self.store.item)

    def test_store_down_is_not_applied(self) -> None:
        self.store.down = True
        self.assertIs(self.assert_refused(ErrorKind.NOT_APPLIED).execution, Execution.NOT_RUN)

    def test_one_of_two_wins(self) -> None:
        self.store.before_swap = lambda: self.store.put(self.record())
        self.assertIn("other", self.assert_refused(ErrorKind.CONFLICT).message)
        self.store.before_swap = lambda: None
        self.assert_refused(ErrorKind.CONFLICT)
        self.context.now += HOLD_SECONDS
        self.assertIsInstance(self.order(), Success)

    def test_a_lost_answer_is_read_back(self) -> None:
        self.store.lose = True
        self.assertIsInstance(self.order(), Success)

    def test_a_lost_answer_to_a_write_that_was_not_made_starts_nothing(self) -> None:
        self.store.lose = True
        self.store.before_swap = lambda: self.store.put(self.record())
        self.assert_refused(ErrorKind.CONFLICT)

    def test_a_paused_node_does_not_start_what_another_may_have_recovered(self) -> None:
        def pause() -> None:
            self.context.now += START_WITHIN_SECONDS + 1.0

        self.store.before_swap = pause
        self.assert_refused(ErrorKind.UNAVAILABLE)
        self.store.before_swap = lambda: None
        self.assertIsInstance(self.order(), Success)

    def test_a_group_that_comes_back_meanwhile_is_left_alone(self) -> None:
        self.store.before_swap = lambda: setattr(self.host, "lost", False)
        self.assert_refused(ErrorKind.CONFLICT)


if __name__ == "__main__":
    unittest.main()
