"""The whole path with real processes: a run, a posting, the store's outages, bad input."""

from __future__ import annotations

import base64
import subprocess
from typing import Any

from tests.processes.case import (
    AGENT,
    CHILD_CALL,
    OTHER_TOKEN,
    POSTING,
    SECOND_TOOL_CALL,
    TENANT,
    TENANT_TOKEN,
    TOOL_CALL,
    ClusterTestCase,
    agent_input,
    finish_posting,
)
from tests.processes.child import ROOT, YOKELINE
from tests.processes.cluster import PATIENCE_SECONDS, NodeProcess, wait_until
from yokeline.commands.client import Reply, path_of
from yokeline.errors import EXIT_USAGE, ErrorKind, Execution
from yokeline.identifiers import RunId, child_run_id

ANSWER_TOKENS = 60
LONG_ANSWER_TOKENS = 1000
LARGE_BODY_BYTES = 2_000_000
LARGE_HEADER_BYTES = 20_000
ENGINE = '[parameters]\nmodels = ["small-1"]\ntime_scale = 4.0\n'
RUNS_PATH = path_of("v1", "programs", AGENT, "runs")


class Service(ClusterTestCase):
    stand_in_settings = {"engine": ENGINE}

    def setUp(self) -> None:
        super().setUp()
        self.addCleanup(self.set_faults)

    def test_an_agent_run_is_streamed_with_its_tools_and_its_child(self) -> None:
        steps = (TOOL_CALL, CHILD_CALL, SECOND_TOOL_CALL)
        run_input = agent_input(*steps, answer_tokens=ANSWER_TOKENS)
        run = self.started(self.cluster.nodes[0], AGENT, run_input, "whole-path")
        follower = self.follow(run, self.cluster.nodes[1])
        finished = follower.to_end()
        self.assertEqual((follower.cuts, follower.transcript.restarts), (0, 0))
        self.assertEqual(len(finished.answer.split()), ANSWER_TOKENS)

        kinds = ["model", "tool", "model", "child", "model", "tool", "model"]
        for node in self.cluster.nodes:
            found = self.read_run(node, run)
            self.check_calls(found, kinds)
            self.assertEqual((found["status"], found["answer"]), ("succeeded", finished.answer))
        child = self.read_run(self.cluster.nodes[2], child_run_id(RunId(run), 1))
        self.check_calls(child, ["model"])
        self.assertEqual(self.applied(run, "tool"), [f"{run}/2", f"{run}/6"])

    def test_a_posting_sent_twice_at_different_nodes_is_applied_once(self) -> None:
        replies = [
            self.start_run(node, POSTING, finish_posting("214"), key="post-1", wait=True)
            for node in self.cluster.nodes[:3]
        ]
        self.assertEqual([reply.status for reply in replies], [200, 200, 200])
        runs = [reply.json() for reply in replies]
        self.assertEqual({run["run"] for run in runs}, {runs[0]["run"]})
        self.assertEqual([run["answer"] for run in runs], [runs[0]["answer"]] * 3)
        self.assertEqual(self.applied(runs[0]["run"]), [f"{runs[0]['run']}/1"])

    def test_metrics_include_what_the_transports_refused_and_dropped(self) -> None:
        for node in self.cluster.nodes[:2]:
            shown = node.client().ask("GET", "/metrics").body.decode()
            self.assertIn("\nyokeline_http_connections_refused_total 0.0\n", shown)
            self.assertIn('\nyokeline_peer_frames_dropped_total{reason="queue_limit"} ', shown)

    # ------------------------------------------------------------ outages of the store

    def set_faults(self, **faults: object) -> None:
        """Replace what is wrong with the store."""
        self.cluster.store.control("PUT", "/emulator/faults", faults)

    def put_tool(self, name: str, node: NodeProcess) -> Reply:
        """Write a new tool through a node."""
        document = {"name": name, "addresses": [self.cluster.tool.address]}
        return self.cluster.put(node, "tools", document)

    def revisions_of(self, name: str) -> list[int]:
        """Return the revisions that the store's books have of a tool."""
        changes = self.cluster.store.control("GET", "/emulator/books")
        suffix = f"tools/{name}"
        return [
            change["revision"]
            for change in changes
            if base64.b64decode(change["kv"]["key"]).decode().endswith(suffix)
        ]

    def test_runs_go_on_and_writes_are_answered_truthfully_while_it_is_down(self) -> None:
        node, other = self.cluster.nodes[:2]
        self.set_faults(down=True)
        run = self.started(node, AGENT, agent_input(TOOL_CALL, answer_tokens=ANSWER_TOKENS), "down")
        follower = self.follow(run, other)
        follower.to_end()
        self.assertEqual(follower.cuts, 0)
        self.check_calls(self.read_run(other, run), ["model", "tool", "model"])
        posted = self.start_run(other, POSTING, finish_posting("3"), key="post-3", wait=True)
        self.assertEqual(posted.status, 200, posted.body)

        refused = self.put_tool("down", node)
        self.set_faults()
        self.check_refused_write(refused, "down", node)

    def check_refused_write(self, reply: Reply, name: str, node: NodeProcess) -> None:
        """Check that what a write's refusal said is so, now that the store is back."""
        problem = reply.json()
        if problem["kind"] == ErrorKind.NOT_APPLIED.value:
            self.assertEqual(problem["execution"], Execution.NOT_RUN.value)
            self.assertEqual(self.revisions_of(name), [])
        else:
            self.assertEqual(problem["kind"], ErrorKind.OUTCOME_UNKNOWN.value)
            self.assertEqual(problem["execution"], Execution.UNKNOWN.value)
            path = path_of("admin", "v1", "operations", problem["operation"])
            wait_until(
                lambda: node.client().request("GET", path).status == 200, "the outcome can be told"
            )
            outcome = node.client().ask("GET", path).json()
            self.assertEqual(outcome["outcome"] == "applied", bool(self.revisions_of(name)))
        if not self.revisions_of(name):
            wait_until(lambda: self.put_tool(name, node).status == 201, "writes are taken again")
        self.assertEqual(len(self.revisions_of(name)), 1)

    def test_a_write_whose_answer_was_lost_is_resolved_and_in_force_everywhere(self) -> None:
        self.set_faults(lose_answers=1)
        reply = self.put_tool("lost-answer", self.cluster.nodes[0])
        self.assertEqual(reply.status, 201, reply.body)
        self.assertEqual(self.revisions_of("lost-answer"), [reply.json()["revision"]])
        self.cluster.wait_revision(reply.json()["revision"])
        for node in self.cluster.nodes:
            found = node.client().ask("GET", path_of("admin", "v1", "tools", "lost-answer"))
            self.assertEqual(found.json()["name"], "lost-answer")

    # ------------------------------------------------------------ bad input

    def check_problem(self, reply: Reply, status: int, kind: ErrorKind) -> dict[str, Any]:
        """Check that an answer is a problem document that names a remedy."""
        self.assertEqual(reply.status, status, reply.body)
        self.assertEqual(reply.headers["content-type"], "application/problem+json")
        problem: dict[str, Any] = reply.json()
        self.assertEqual((problem["kind"], problem["status"]), (kind.value, status))
        self.assertTrue(problem["remedy"])
        return problem

    def post(self, body: bytes, **headers: str) -> Reply:
        """Send a body to start a run with."""
        client = self.cluster.nodes[0].client(TENANT_TOKEN)
        return client.request("POST", RUNS_PATH, body=body, headers=headers)

    def test_each_gets_a_typed_problem_and_nothing_else_suffers(self) -> None:
        node = self.cluster.nodes[0]
        run_input = agent_input(answer_tokens=LONG_ANSWER_TOKENS)
        run = self.started(node, AGENT, run_input, "undisturbed")
        follower = self.follow(run, node)
        follower.until_streaming(1)

        unknown = self.start_run(node, "no-such-program", "hello")
        problem = self.check_problem(unknown, 404, ErrorKind.NOT_FOUND)
        self.assertEqual(problem["execution"], Execution.NOT_RUN.value)
        for token in ("wrong-token", "", "x" * 2000):
            reply = self.start_run(node, AGENT, "hello", token=token)
            self.check_problem(reply, 401, ErrorKind.UNAUTHENTICATED)
        for body in (b"{", b"\xff\xfe", b"[]", b'{"input": 7}', b'{"input": "x", "nope": 1}'):
            self.check_problem(self.post(body), 400, ErrorKind.BAD_REQUEST)
        self.check_problem(self.post(b"[" * 100_000), 400, ErrorKind.BAD_REQUEST)
        large = b'{"input": "' + b"x" * LARGE_BODY_BYTES + b'"}'
        self.check_problem(self.post(large), 413, ErrorKind.BODY_TOO_LARGE)
        header = self.post(b"{}", **{"x-large": "x" * LARGE_HEADER_BYTES})
        self.assertEqual(header.status, 431, header.body)
        self.check_problem(
            node.client(TENANT_TOKEN).request("GET", "/admin/v1/nodes"), 403, ErrorKind.FORBIDDEN
        )
        self.check_other_tenant(run)

        follower.to_end()
        self.assertEqual((follower.cuts, follower.transcript.restarts), (0, 0))

    def check_other_tenant(self, run: str) -> None:
        """Check that another tenant's run cannot be told from one that does not exist."""
        absent = "run-" + "0" * 32
        for node in self.cluster.nodes[:2]:
            client = node.client(OTHER_TOKEN)
            for method, tail in (("GET", ()), ("GET", ("events",)), ("DELETE", ())):
                answers = [
                    self.check_problem(
                        client.request(method, path_of("v1", "runs", name, *tail)),
                        404,
                        ErrorKind.NOT_FOUND,
                    )
                    for name in (run, absent)
                ]
                shown = [
                    {key: answer[key] for key in answer if key not in ("run", "instance")}
                    for answer in answers
                ]
                self.assertEqual(shown[0], shown[1])
        runs = self.cluster.nodes[0].client(OTHER_TOKEN).ask("GET", "/v1/runs").json()
        self.assertNotIn(run, str(runs))

    def test_settings_that_cannot_be_used_are_one_line_and_exit_code_2(self) -> None:
        node = self.cluster.nodes[0]
        settings = self.cluster.folder / f"{node.name}.toml"
        free = ["node.http_port=0", "node.peer_port=0"]
        cases = {
            "node.zonne": ["node.zonne=a"],
            "node.http_port": ["node.http_port=eighty"],
            "cluster.seeds": ["cluster.seeds=[1]"],
            "192.0.2.1": ["node.host=192.0.2.1", *free],
            "node.host": ["node.host=localhost", *free],
            "in use": [],
        }
        for expected, overrides in cases.items():
            with self.subTest(expected):
                flags = [word for override in overrides for word in ("--set", override)]
                done = subprocess.run(
                    [*YOKELINE, "node", str(settings), *flags],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    timeout=PATIENCE_SECONDS,
                )
                self.assertEqual(done.returncode, EXIT_USAGE, done.stderr)
                self.assertEqual(done.stderr.count("\n"), 1, done.stderr)
                self.assertIn(expected, done.stderr)
        self.assertTrue(node.ready())
        self.assertEqual(self.start_run(node, AGENT, "still there", wait=True).status, 200, TENANT)
