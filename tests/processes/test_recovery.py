"""All nodes killed at once, started again, and recovered from two data folders by command."""

from __future__ import annotations

import contextlib
import io
import json
import sys
import unittest
from typing import Any

from tests.processes.case import POSTING, TENANT, TENANT_TOKEN, configuration, finish_posting
from tests.processes.cluster import PLATFORM_TOKEN, SHARDS, Cluster, wait_until
from yokeline.cli import main
from yokeline.commands.client import Reply, path_of
from yokeline.errors import YokelineException
from yokeline.identifiers import run_id_for_key

NODES_WITH_DISK = ("node-1", "node-2")


class DiskCluster(Cluster):
    """Two of the nodes have a data folder."""

    def _node_settings(self, name: str, *arguments: Any) -> str:
        text = super()._node_settings(name, *arguments)
        if name not in NODES_WITH_DISK:
            return text
        folder = json.dumps(str(self.folder / f"{name}-data"))
        return text.replace("[node]\n", f"[node]\ndata_folder = {folder}\n")


class Recovery(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = DiskCluster({})
        self.addCleanup(self.cluster.stop)
        self.addCleanup(self.show_logs)
        self.cluster.start()
        self.cluster.load(configuration(self.cluster))

    def show_logs(self) -> None:
        outcome = self._outcome  # type: ignore[attr-defined]
        if not outcome.success:
            print(self.cluster.tails(), file=sys.stderr)

    def post(self, key: str) -> Reply:
        body = json.dumps({"input": finish_posting(key), "wait": True}).encode()
        client = self.cluster.nodes[2].client(TENANT_TOKEN)
        path = path_of("v1", "programs", POSTING, "runs")
        return client.request("POST", path, body=body, headers={"idempotency-key": key})

    def recover(self, *arguments: str) -> tuple[int, Any]:
        out = io.StringIO()
        url = self.cluster.nodes[4].url
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(io.StringIO()):
            code = main(["recover", "--url", url, "--token", PLATFORM_TOKEN, "--json", *arguments])
        return code, json.loads(out.getvalue())

    def all_lost(self) -> bool:
        try:
            rows = [row for node in self.cluster.nodes for row in node.listed("shards")]
        except YokelineException:
            return False
        return {row["state"] for row in rows} == {"majority_lost"}

    def restart_planned(self) -> None:
        node = self.cluster.nodes[0]
        node.terminate()
        self.assertEqual(node.wait(), 0)
        node.start()
        self.cluster.wait_whole()

    def test_runs_are_back(self) -> None:
        keys = [f"finish-{number}" for number in range(6)]
        for key in keys:
            self.assertEqual(self.post(key).status, 200)
        self.restart_planned()  # Its copies are replaced once its shards are live again.
        for node in self.cluster.nodes:
            node.kill()
        for node in self.cluster.nodes:
            node.start()
        wait_until(self.all_lost, "all nodes say that all shards have lost their majority")
        code, listed = self.recover()
        self.assertEqual((code, len(listed["shards"])), (0, SHARDS))
        self.assertEqual({plan["refusal"] for plan in listed["shards"]}, {""})
        self.assertTrue(self.all_lost(), "a list changes nothing")
        code, results = self.recover("--confirm")
        self.assertEqual(code, 0, results)
        self.cluster.wait_whole()
        for key in keys:
            run = self.cluster.nodes[3].client(TENANT_TOKEN)
            path = path_of("v1", "runs", run_id_for_key(TENANT, key))
            self.assertEqual(run.ask("GET", path).json()["status"], "succeeded")
            self.assertEqual(self.post(key).status, 200)
        books = self.cluster.app.control("GET", "/emulator/books")
        self.assertEqual(books["applied_twice"], [])
        applied = [item for item in books["requests"] if item["applied_at"] is not None]
        self.assertEqual(len(applied), len(keys))


if __name__ == "__main__":
    unittest.main()
