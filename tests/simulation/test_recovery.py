"""Loss of all replicas at once: unavailable and said so, then recovered from data folders."""

from __future__ import annotations

import json
import unittest
from typing import Any

import msgspec

from yokeline.effects import HttpFailed, HttpResponse
from yokeline.identifiers import ShardId, run_id_for_key, shard_of_run
from yokeline.shards.copy_format import log_file, snapshot_file
from yokeline.simulation.deployment import Deployment
from yokeline.simulation.host import Host
from yokeline.simulation.kernel import Simulation
from yokeline.simulation.objects import ALERT_PROGRAM, POSTING_PROGRAM, caller_token
from yokeline.simulation.operators import PLATFORM_TOKEN, Operator
from yokeline.simulation.port import Call, ClientPort, PendingCall, response_to
from yokeline.simulation.records import Books
from yokeline.simulation.runner import make_node
from yokeline.simulation.scripts import encode_app_body
from yokeline.simulation.worlds import DALLIM

TENANT = DALLIM.tenants[0]
CALLER = caller_token(TENANT)
SHARDS = 4
WORLD = msgspec.structs.replace(DALLIM, nodes=5, shards=SHARDS, engines=1)
LOADED_SECONDS = 20.0
INFORMED_SECONDS = 20.0
RECOVERED_SECONDS = 15.0


class Deployed:
    """A deployment with its configuration, and a client that asks one node at a time."""

    def __init__(self, seed: int) -> None:
        self.simulation = Simulation(seed, WORLD.latencies)
        self.deployment = Deployment(self.simulation, WORLD, make_node)
        self.port = ClientPort(self.simulation, "client")
        self.deployment.start()
        operator = Operator(
            ClientPort(self.simulation, "loader"),
            self.deployment.public_nodes(),
            Books(),
            self.simulation.new_source("loader"),
        )
        environment = self.simulation.schedule.environment
        environment.run(until=environment.process(operator.load(self.deployment.objects())))
        self.run(LOADED_SECONDS)

    @property
    def nodes(self) -> list[Host]:
        return self.deployment.nodes

    def run(self, seconds: float) -> None:
        self.simulation.schedule.run_until(self.simulation.schedule.now + seconds)

    def send(
        self, node: Host, method: str, path: str, body: object = None, **options: Any
    ) -> PendingCall:
        token = options.get("token", PLATFORM_TOKEN)
        headers = {"authorization": f"Bearer {token}", **options.get("headers", {})}
        assert node.http is not None
        call = Call(
            address=node.http,
            method=method,
            path=path,
            headers=headers,
            body=b"" if body is None else json.dumps(body).encode(),
            timeout=options.get("timeout", 10.0),
        )
        return self.port.send(call)

    def wait(self, pending: PendingCall) -> HttpResponse | HttpFailed:
        environment = self.simulation.schedule.environment
        return response_to(environment.run(until=pending.next()))

    def ask(self, *arguments: Any, **options: Any) -> tuple[int, dict[str, Any]]:
        answer = self.wait(self.send(*arguments, **options))
        assert isinstance(answer, HttpResponse), answer
        return answer.status, json.loads(answer.body)

    def post(self, key: str, node: int = 0) -> tuple[int, dict[str, Any]]:
        """Post a finish; the emulated app counts each request that has an effect."""
        return self.ask(
            self.nodes[node],
            "POST",
            f"/v1/programs/{POSTING_PROGRAM}/runs",
            {"input": json.loads(encode_app_body("post_finish", key, 1)), "wait": True},
            token=CALLER,
            headers={"idempotency-key": key},
        )

    def read(self, key: str, node: int = 0) -> HttpResponse | HttpFailed:
        path = f"/v1/runs/{run_id_for_key(TENANT, key)}"
        return self.wait(self.send(self.nodes[node], "GET", path, token=CALLER, timeout=130.0))

    def restart_all(self) -> None:
        for node in self.nodes:
            node.crash()
        self.run(1.0)
        for node in self.nodes:
            node.start()

    def rows(self, node: Host, what: str) -> list[dict[str, Any]]:
        return self.ask(node, "GET", f"/admin/v1/{what}")[1]["items"]

    def recover(self, node: Host, row: dict[str, Any]) -> PendingCall:
        body = {"last_term": row["last_term"], "last_index": row["last_index"]}
        return self.send(node, "POST", f"/admin/v1/shards/{row['shard']}/recover", body)

    def applied(self, key: str) -> int:
        run = run_id_for_key(TENANT, key)
        return sum(
            request.key.startswith(f"{run}/")
            for service in self.deployment.request_services.values()
            for request in service.books.applied()
        )


def keys_of_all_shards(count: int) -> list[str]:
    """Return keys, so that each shard has some of their runs."""
    return [f"finish-{number}" for number in range(count)]


def shard_of_key(key: str) -> ShardId:
    return shard_of_run(run_id_for_key(TENANT, key), SHARDS)


class RecoveryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployed = Deployed(seed=7)
        self.keys = keys_of_all_shards(12)
        self.assertEqual({shard_of_key(key) for key in self.keys}, set(range(SHARDS)))
        for key in self.keys:
            status, answer = self.deployed.post(key)
            self.assertEqual(status, 200, answer)
        self.deployed.run(3.0)

    def test_all_restarted_at_once(self) -> None:
        deployed = self.deployed
        self.leave_alert_under_way("alert")
        self.assertEqual(deployed.post("late")[0], 200)
        deployed.restart_all()
        deployed.deployment.apps[1].wake()
        deployed.run(INFORMED_SECONDS)
        for node in deployed.nodes:
            states = {row["state"] for row in deployed.rows(node, "shards")}
            self.assertEqual(states, {"majority_lost"})
        for answer in (deployed.read(self.keys[0]), deployed.read(self.keys[1], node=4)):
            assert isinstance(answer, HttpResponse)
            self.assertGreaterEqual(answer.status, 503, "never 404: the shard is not empty")
        self.recover_all_with_a_race()
        deployed.run(RECOVERED_SECONDS)
        for number, key in enumerate(self.keys):
            answer = deployed.read(key, node=number % len(deployed.nodes))
            assert isinstance(answer, HttpResponse)
            run = json.loads(answer.body)
            self.assertEqual((answer.status, run["status"]), (200, "succeeded"))
            self.assertEqual(deployed.post(key)[0], 200)
            self.assertEqual(deployed.applied(key), 1)
        for row in deployed.rows(deployed.nodes[2], "shards"):
            self.assertEqual(len(row["members"]), 5, "the groups are whole again")
        self.check_lost_run_is_not_repeated()
        self.check_alert_is_not_repeated("alert")

    def recover_all_with_a_race(self) -> None:
        deployed = self.deployed
        first, second = deployed.nodes[:2]
        held = [deployed.rows(node, "recovery") for node in (first, second)]
        self.assertEqual([len(rows) for rows in held], [SHARDS, SHARDS])
        self.assertEqual(deployed.rows(deployed.nodes[3], "recovery"), [])
        for rows in zip(*held, strict=True):
            nodes = zip((first, second), rows, strict=True)
            pending = [deployed.recover(node, row) for node, row in nodes]
            answers = [deployed.wait(item) for item in pending]
            statuses = sorted(answer.status for answer in answers)  # type: ignore[union-attr]
            self.assertEqual(statuses, [200, 409])
        again = deployed.wait(deployed.recover(first, held[0][0]))
        assert isinstance(again, HttpResponse)
        self.assertEqual(again.status, 409)

    def leave_alert_under_way(self, key: str) -> None:
        """Send an alert to an app that hangs, and that answers no questions about keys."""
        deployed = self.deployed
        deployed.deployment.apps[1].freeze()
        status, _ = deployed.ask(
            deployed.nodes[0],
            "POST",
            f"/v1/programs/{ALERT_PROGRAM}/runs",
            {"input": json.loads(encode_app_body("weigh_in_alert", key, 1)), "wait": False},
            token=CALLER,
            headers={"idempotency-key": key},
        )
        self.assertEqual(status, 202)
        deployed.run(2.0)

    def check_alert_is_not_repeated(self, key: str) -> None:
        answer = self.deployed.read(key)
        assert isinstance(answer, HttpResponse)
        run = json.loads(answer.body)
        self.assertEqual((run["run_status"], len(run["calls"])), ("outcome_unknown", 1))
        self.assertEqual(run["execution"], "unknown")
        self.assertLessEqual(self.deployed.applied(key), 1)

    def check_lost_run_is_not_repeated(self) -> None:
        deployed = self.deployed
        self.assertEqual(deployed.applied("late"), 1)
        status, problem = deployed.post("late", node=3)
        self.assertEqual((status, problem["execution"]), (504, "unknown"))
        self.assertEqual(deployed.post("late", node=2)[1]["kind"], "outcome_unknown")
        self.assertEqual(deployed.applied("late"), 1)

    def test_damaged_and_torn_files_and_store_down(self) -> None:
        deployed = self.deployed
        first, second = deployed.nodes[:2]
        for node in deployed.nodes:
            node.crash()
        damaged = snapshot_file(ShardId(0))
        files = first._files
        files[damaged] = files[damaged][:-1] + bytes([files[damaged][-1] ^ 1])
        before = dict(files)
        torn = log_file(ShardId(1))
        second._files[torn] = second._files[torn][:-3]
        for node in deployed.nodes:
            node.start()
        deployed.run(INFORMED_SECONDS)
        at_first = {row["shard"]: row for row in deployed.rows(first, "recovery")}
        at_second = {row["shard"]: row for row in deployed.rows(second, "recovery")}
        self.assertEqual(at_first[0]["source"], "damaged")
        self.assertIn("data folder", at_first[0]["problem"])
        self.assertGreater(at_second[1]["cut_bytes"], 0)
        self.assertLess(at_second[1]["last_index"], at_first[1]["last_index"])
        refused = deployed.wait(deployed.recover(first, {**at_first[0], "last_index": 1}))
        assert isinstance(refused, HttpResponse)
        self.assertEqual((refused.status, first._files), (500, before))
        self.check_store_down(first, at_first[1])
        for node, row in ((first, at_first[1]), (second, at_second[0])):
            answer = deployed.wait(deployed.recover(node, row))
            assert isinstance(answer, HttpResponse)
            self.assertEqual(answer.status, 200, answer.body)
        deployed.run(RECOVERED_SECONDS)
        kept = [name for name in first._files if name.startswith("set-aside/0-")]
        self.assertIn(before[damaged], [first._files[name] for name in kept])
        states = {row["shard"]: row["state"] for row in deployed.rows(first, "shards")}
        self.assertNotIn("majority_lost", (states[0], states[1]))
        self.assertEqual((states[2], states[3]), ("majority_lost", "majority_lost"))

    def check_store_down(self, node: Host, row: dict[str, Any]) -> None:
        deployed = self.deployed
        deployed.deployment.store.crash()
        answer = deployed.wait(deployed.recover(node, row))
        assert isinstance(answer, HttpResponse)
        self.assertEqual((answer.status, json.loads(answer.body)["kind"]), (503, "not_applied"))
        deployed.deployment.store.start()
        deployed.run(10.0)
        states = {found["state"] for found in deployed.rows(node, "shards")}
        self.assertEqual(states, {"majority_lost"})


if __name__ == "__main__":
    unittest.main()
