"""Base of the tests with a whole deployment: its configuration, callers and checks."""

from __future__ import annotations

import json
import sys
import unittest
from typing import Any, ClassVar

from tests.processes.cluster import PATIENCE_SECONDS, Cluster, NodeProcess, digest_of
from tests.processes.follower import Follower
from yokeline.commands.client import Reply, path_of

TENANT = "dallim"
TENANT_TOKEN = "dallim-token"
OTHER_TENANT = "harvest"
OTHER_TOKEN = "harvest-token"
AGENT = "reconcile"
POSTING = "post-finish"
TOOL_CALL = {"tool": "bib-lookup", "arguments": {"bib": "214"}}
SECOND_TOOL_CALL = {"tool": "bib-lookup", "arguments": {"bib": "215"}}
CHILD_CALL = {"child": "club-roster", "input": "Check the roster of the club."}


class ClusterTestCase(unittest.TestCase):
    """A test class with one deployment, which each of its tests finds whole.

    Attributes:
        stand_in_settings: TOML text by kind of stand-in.
    """

    stand_in_settings: ClassVar[dict[str, str]] = {}
    cluster: ClassVar[Cluster]

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = Cluster(cls.stand_in_settings)
        cls.addClassCleanup(cls.cluster.stop)
        try:
            cls.cluster.start()
            cls.cluster.load(configuration(cls.cluster))
        except BaseException:
            print(cls.cluster.tails(), file=sys.stderr)
            raise

    def setUp(self) -> None:
        self.cluster.heal()

    def run(self, result: unittest.TestResult | None = None) -> unittest.TestResult | None:
        """Run the test; after a failure, print the ends of the processes' logs."""
        before = _failures(result)
        returned = super().run(result)
        if _failures(result) > before:
            print(self.cluster.tails(), file=sys.stderr)
        return returned

    # ------------------------------------------------------------ callers

    def start_run(
        self,
        node: NodeProcess,
        program: str,
        run_input: object,
        *,
        key: str = "",
        wait: bool = False,
        token: str = TENANT_TOKEN,
    ) -> Reply:
        """Send a request to start a run, as a caller would."""
        headers = {"idempotency-key": key} if key else {}
        return node.client(token).request(
            "POST",
            path_of("v1", "programs", program, "runs"),
            body=json.dumps({"input": run_input, "wait": wait}).encode(),
            headers=headers,
            seconds=PATIENCE_SECONDS,
        )

    def started(self, node: NodeProcess, program: str, run_input: object, key: str) -> str:
        """Start a run without waiting for its answer; return its id."""
        reply = self.start_run(node, program, run_input, key=key)
        self.assertIn(reply.status, (200, 202), reply.body)
        return str(reply.json()["run"])

    def follow(self, run: str, *nodes: NodeProcess) -> Follower:
        """Watch a run at the first of some nodes (the others are for reconnects)."""
        return Follower(run, [node.client(TENANT_TOKEN) for node in nodes])

    def read_run(self, node: NodeProcess, run: str, *, wait: bool = False) -> dict[str, Any]:
        """Read a run, once it is answered with ``wait``."""
        query = {"wait": str(PATIENCE_SECONDS)} if wait else {}
        reply = node.client(TENANT_TOKEN).ask(
            "GET", path_of("v1", "runs", run), query=query, seconds=2 * PATIENCE_SECONDS
        )
        document: dict[str, Any] = reply.json()
        return document

    # ------------------------------------------------------------ checks

    def check_calls(self, run: dict[str, Any], kinds: list[str]) -> None:
        """Check that a run has just these calls, in order, each ended well before the next."""
        calls = run["calls"]
        self.assertEqual([call["kind"] for call in calls], kinds)
        self.assertEqual([call["number"] for call in calls], list(range(1, len(kinds) + 1)))
        self.assertEqual({call["status"] for call in calls}, {"succeeded"})

    def applied(self, run: str, service: str = "app") -> list[str]:
        """Return the keys of a run's requests that had an effect at the tool or app."""
        books = getattr(self.cluster, service).control("GET", "/emulator/books")
        self.assertEqual(books["applied_twice"], [])
        return [
            request["key"]
            for request in books["requests"]
            if request["applied_at"] is not None and request["key"].startswith(f"{run}/")
        ]

    def received(self, run: str, service: str = "app") -> bool:
        """Return whether a request of a run has arrived at the tool or app."""
        books = getattr(self.cluster, service).control("GET", "/emulator/books")
        return any(request["key"].startswith(f"{run}/") for request in books["requests"])


def configuration(cluster: Cluster) -> list[tuple[str, str, dict[str, Any]]]:
    """Return the objects of the tests: two tenants, agents, a tool and an app."""
    operator = {"digest": digest_of(TENANT_TOKEN), "role": "operator"}
    other = {"digest": digest_of(OTHER_TOKEN), "role": "operator"}
    pool = {
        "name": "reconcilers",
        "labels": {"work": "reconcile"},
        "addresses": [engine.address for engine in cluster.engines],
        "models": ["small-1"],
    }
    tool = {"name": "bib-lookup", "addresses": [cluster.tool.address], "lookup": "fenced"}
    app = {"name": "results", "addresses": [cluster.app.address], "lookup": "fenced"}
    agent = {
        "name": AGENT,
        "model": "small-1",
        "tools": ["bib-lookup"],
        "children": ["club-roster"],
    }
    return [
        ("tenants", "", {"name": TENANT, "tokens": [operator]}),
        ("tenants", "", {"name": OTHER_TENANT, "tokens": [other]}),
        ("engine-pools", "", pool),
        ("tools", TENANT, tool),
        ("apps", TENANT, app),
        ("programs", TENANT, {"name": "club-roster", "model": "small-1"}),
        ("programs", TENANT, agent),
        ("programs", TENANT, {"name": POSTING, "app": "results"}),
    ]


def agent_input(*steps: dict[str, Any], answer_tokens: int) -> dict[str, Any]:
    """Return an input that makes the emulated model take steps, then answer."""
    return {"text": "Reconcile heat 3.", "steps": list(steps), "answer_tokens": answer_tokens}


def finish_posting(bib: str) -> dict[str, Any]:
    """Return an input that posts a finish; twice posted, it counts twice."""
    return {"operation": "post_finish", "race": "spring-10k", "bib": bib, "seconds": 2291}


def _failures(result: unittest.TestResult | None) -> int:
    return 0 if result is None else len(result.failures) + len(result.errors)
