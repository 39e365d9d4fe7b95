"""The whole path with real processes: a run, a posting, the store's outages, bad input."""

from __future__ import annotations

from tests.processes.case import (
    AGENT,
    CHILD_CALL,
    POSTING,
    SECOND_TOOL_CALL,
    TOOL_CALL,
    ClusterTestCase,
    agent_input,
    finish_posting,
)
from yokeline.identifiers import child_run_id

ANSWER_TOKENS = 60
ENGINE = '[parameters]\nmodels = ["small-1"]\ntime_scale = 4.0\n'


class WholePath(ClusterTestCase):
    stand_in_settings = {"engine": ENGINE}

    def test_an_agent_run_is_streamed_with_its_tools_and_its_child(self) -> None:
        steps = (TOOL_CALL, CHILD_CALL, SECOND_TOOL_CALL)
        run_input = agent_input(*steps, answer_tokens=ANSWER_TOKENS)
        run = self.started(self.cluster.nodes[0], AGENT, run_input, "whole-path")
        follower = self.follow(run, self.cluster.nodes[1])
        finished = follower.to_end()
        self.assertEqual(follower.cuts, 0)
        self.assertEqual(len(finished.answer.split()), ANSWER_TOKENS)

        kinds = ["model", "tool", "model", "child", "model", "tool", "model"]
        for node in self.cluster.nodes:
            found = self.read_run(node, run)
            self.check_calls(found, kinds)
            self.assertEqual((found["status"], found["answer"]), ("succeeded", finished.answer))
        child = self.read_run(self.cluster.nodes[2], child_run_id(run, 1))
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
