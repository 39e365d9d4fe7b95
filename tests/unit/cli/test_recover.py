"""``yokeline recover``: lists what nodes hold, and starts the most advanced copy."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from tests.unit.cli.support import ApiServer, CommandResult
from tests.unit.gateway.support import CALLER, OPERATOR, PLATFORM, Bench
from yokeline.errors import ErrorKind, YokelineError
from yokeline.gateway.requests import RecoverBody
from yokeline.server.copy_rows import CopyRow
from yokeline.server.recovery import Recovered

WALL = 1_700_000_000.0
CONFLICT = YokelineError(kind=ErrorKind.CONFLICT, message="came second", remedy="look")
UNREACHABLE = "127.0.0.1:1"


class NodeLine(msgspec.Struct):
    name: str
    state: str
    http_address: str


class ShardLine(msgspec.Struct):
    shard: int
    state: str
    term: int


def copy(shard: int, node: str, term: int, index: int, source: str = "disk") -> CopyRow:
    return CopyRow(
        shard=shard,
        node=node,
        lost=True,
        source=source,
        last_term=term,
        last_index=index,
        latest_wall=WALL,
        problem="damaged; move it" if source == "damaged" else "",
    )


class Node:
    """One node's API, with what it holds and the orders that it got."""

    def __init__(self, case: unittest.TestCase, shards: list[ShardLine]) -> None:
        self.bench = Bench()
        self.server = ApiServer(self.bench, lambda: None)
        case.addCleanup(self.server.close)
        self.rows: list[CopyRow] = []
        self.orders: list[tuple[int, RecoverBody]] = []
        self.refusal: YokelineError | None = None
        admin: Any = self.bench.admin
        admin.copies = lambda: self.rows
        admin.shards = lambda: shards
        admin.recover = self.recover

    def recover(
        self, shard: int, body: RecoverBody, done: Callable[[Result[Any, YokelineError]], None]
    ) -> None:
        self.orders.append((shard, body))
        recovered = Recovered(
            shard=shard,
            node="n",
            replica="n~1",
            copy_of="n~0",
            term=10,
            last_index=body.last_index,
            runs=1,
            latest_wall=WALL,
            keyed_until_wall=WALL,
        )
        done(Success(recovered) if self.refusal is None else Failure(self.refusal))


class RecoverCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        shards = [ShardLine(0, "leading", 4), ShardLine(1, "majority_lost", 5)]
        shards.append(ShardLine(2, "majority_lost", 7))
        self.first = Node(self, shards)
        self.second = Node(self, shards)
        self.first.rows = [copy(1, "a", 2, 9), copy(2, "a", 0, 0, "damaged")]
        self.second.rows = [copy(1, "b", 3, 4), copy(0, "b", 3, 4)]
        nodes = [
            NodeLine("a", "alive", self.address(self.first)),
            NodeLine("b", "alive", self.address(self.second)),
            NodeLine("gone", "dead", UNREACHABLE),
            NodeLine("mute", "alive", UNREACHABLE),
        ]
        self.first.bench.admin.nodes = lambda: nodes  # type: ignore[method-assign,assignment,return-value]

    def address(self, node: Node) -> str:
        return node.server.url.removeprefix("http://")

    def run_command(self, *arguments: str) -> CommandResult:
        url = self.first.server.url
        return CommandResult(["recover", *arguments, "--url", url, "--token", PLATFORM])

    def test_without_confirm_it_only_lists(self) -> None:
        found = self.run_command()
        self.assertEqual(0, found.code, found.err)
        self.assertIn("2023-11-14T22:13:20", found.out)
        self.assertIn("shard 1 would start from b (disk)", found.err)
        self.assertIn("after entry 4 of term 3", found.err)
        self.assertIn("shard 2 cannot be recovered", found.err)
        self.assertIn("shard 2 at a: damaged; move it", found.err)
        self.assertIn("mute gave no answer", found.err)
        self.assertNotIn("gone", found.err.replace("are gone", ""))
        document = json.loads(self.run_command("--json", "--shard", "1").out)
        self.assertEqual([plan["shard"] for plan in document["shards"]], [1])
        self.assertEqual(document["shards"][0]["chosen"]["node"], "b")
        self.assertEqual([*self.first.orders, *self.second.orders], [])

    def test_confirm_orders_the_most_advanced_copy(self) -> None:
        found = self.run_command("--confirm", "--shard", "1", "--doubt-seconds", "60")
        self.assertEqual(0, found.code, found.err)
        body = RecoverBody(last_term=3, last_index=4, seen_term=5, doubt_seconds=60.0)
        self.assertEqual((self.first.orders, self.second.orders), ([], [(1, body)]))
        self.assertIn("lost: anything acknowledged after entry 4", found.err)
        found = self.run_command("--confirm", "--json")
        results = {row["shard"]: row["recovered"] for row in json.loads(found.out)}
        self.assertEqual((found.code, results), (1, {1: True, 2: False}))

    def test_refusals(self) -> None:
        self.second.refusal = CONFLICT
        found = self.run_command("--confirm", "--shard", "1")
        self.assertEqual(1, found.code)
        self.assertIn("came second", found.err)
        live = self.run_command("--confirm", "--shard", "0", "--shard", "9")
        self.assertEqual(1, live.code)
        self.assertIn("still has a leader", live.err)
        self.assertIn("no such shard", live.err)
        self.assertEqual(len(self.second.orders), 1)


class RouteTest(unittest.TestCase):
    def test_only_the_platform_operator_and_only_sound_orders(self) -> None:
        node = Node(self, [])
        path = "/admin/v1/shards/1/recover"
        sound = {"last_term": 1, "last_index": 2}
        cases = [
            (path, sound, OPERATOR, 403),
            (path, sound, CALLER, 403),
            (path, {}, PLATFORM, 400),
            (path, {**sound, "last_term": 2**60}, PLATFORM, 400),
            (path, {**sound, "doubt_seconds": -1}, PLATFORM, 400),
            ("/admin/v1/shards/99/recover", sound, PLATFORM, 404),
            (path, sound, PLATFORM, 200),
        ]
        for target, body, token, status in cases:
            with self.subTest(target=target, body=body, token=token):
                bench = node.bench
                answer = bench.answer(bench.send("POST", target, body, token=token))
                self.assertEqual(answer.status, status)
        self.assertEqual(len(node.orders), 1)


if __name__ == "__main__":
    unittest.main()
