"""Processes that die, freeze and stop while they serve: real signals, checked from outside."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from functools import partial

from tests.processes.case import (
    AGENT,
    CHILD_CALL,
    POSTING,
    TENANT,
    TOOL_CALL,
    ClusterTestCase,
    agent_input,
    finish_posting,
)
from tests.processes.cluster import NodeProcess, wait_until
from tests.processes.follower import Follower
from yokeline.commands.client import path_of
from yokeline.errors import EXIT_OK, ErrorKind
from yokeline.identifiers import run_id_for_key

ANSWER_TOKENS = 300
"""About six seconds of streaming at the pace below: far more than a signal takes."""
KINDS = ["model", "tool", "model", "child", "model"]
ANSWER_CALL = 5
LONG_ANSWER_TOKENS = 800
"""Streamed for longer than a node in a planned stop needs to move its shards."""
ENGINE = '[parameters]\nmodels = ["small-1"]\nstep_seconds = 0.02\n'
APP = "delay_seconds = 1.5\n"


class Failures(ClusterTestCase):
    stand_in_settings = {"engine": ENGINE, "app": APP}

    # ------------------------------------------------------------ common parts

    def key_for(self, leader: NodeProcess) -> str:
        """Return a key, used by no other test, whose run a node leads."""
        return self.cluster.key_led_by(leader, TENANT, self.id().rpartition(".")[2])

    def streaming_run(
        self, leader: NodeProcess, *watched_at: NodeProcess, tokens: int = ANSWER_TOKENS
    ) -> Follower:
        """Start a run that a node leads, and watch it until its answer is coming in."""
        run_input = agent_input(TOOL_CALL, CHILD_CALL, answer_tokens=tokens)
        run = self.started(watched_at[0], AGENT, run_input, self.key_for(leader))
        follower = self.follow(run, *watched_at)
        follower.until_streaming(ANSWER_CALL)
        return follower

    def posting_under_way(self, leader: NodeProcess, gateway: NodeProcess) -> str:
        """Post a finish that a node leads, and wait until the app works on it."""
        key = "post-" + self.key_for(leader)
        key = self.cluster.key_led_by(leader, TENANT, key)
        run = self.started(gateway, POSTING, finish_posting(key), key)
        wait_until(lambda: self.received(run), "the app has the posting")
        return run

    def check_run(
        self, follower: Follower, *nodes: NodeProcess, tokens: int = ANSWER_TOKENS
    ) -> None:
        """Check that a run's answer arrives whole, with its calls once each and in order."""
        finished = follower.to_end()
        self.assertEqual(len(finished.answer.split()), tokens)
        for node in nodes:
            found = self.read_run(node, follower.run)
            self.check_calls(found, KINDS)
            self.assertEqual(found["answer"], finished.answer)
        self.assertEqual(self.applied(follower.run, "tool"), [f"{follower.run}/2"])

    def check_posting(self, run: str, node: NodeProcess) -> None:
        """Check that a posting is answered as done, and was applied once."""
        found = self.read_run(node, run, wait=True)
        self.assertEqual((found["status"], found["execution"]), ("succeeded", "done"))
        self.assertEqual(self.applied(run), [f"{run}/1"])

    def wait_led_elsewhere(self, run: str, than: NodeProcess, seen_by: NodeProcess) -> None:
        """Wait until another node leads the shard of a run."""
        wait_until(
            lambda: self.cluster.leader_of(run, seen_by) not in (None, than),
            f"another node than {than.name} leads {run}",
        )

    # ------------------------------------------------------------ crashes

    def test_the_leader_of_a_run_is_killed_during_its_stream(self) -> None:
        leader, gateway, other = self.cluster.nodes_by_leadership()[:3]
        follower = self.streaming_run(leader, gateway)
        posting = self.posting_under_way(leader, gateway)
        leader.kill()
        self.check_run(follower, gateway, other)
        self.assertEqual(follower.cuts, 0)
        self.check_posting(posting, other)

    def test_the_node_that_streams_to_the_caller_is_killed(self) -> None:
        leader, gateway, other = self.cluster.nodes_by_leadership()[:3]
        follower = self.streaming_run(leader, gateway, other)
        gateway.kill()
        self.check_run(follower, leader, other)
        self.assertEqual(follower.transcript.restarts, 0)

    def test_two_of_five_nodes_are_killed_at_once_and_started_again(self) -> None:
        leader, second, gateway, other = self.cluster.nodes_by_leadership()[:4]
        before = {row["replica"] for row in gateway.listed("nodes")}
        done = self.posting_under_way(leader, gateway)
        self.check_posting(done, gateway)
        follower = self.streaming_run(leader, gateway)
        posting = self.posting_under_way(second, gateway)
        leader.kill()
        second.kill()
        self.check_run(follower, gateway, other)
        self.check_posting(posting, other)
        leader.start()
        second.start()
        self.cluster.wait_whole()
        alive = {r["replica"] for r in gateway.listed("nodes") if r["state"] == "alive"}
        self.assertEqual(len(alive - before), 2)
        self.check_run(follower, leader, second)
        for run in (done, posting):
            self.check_posting(run, leader)

    # ------------------------------------------------------------ freezes

    def test_a_leader_is_suspended_during_a_run_and_wakes_after_the_takeover(self) -> None:
        leader, gateway, other = self.cluster.nodes_by_leadership()[:3]
        follower = self.streaming_run(leader, gateway)
        posting = self.posting_under_way(leader, gateway)
        before_tool = self.run_before_its_tool_call(leader, gateway)
        leader.suspend()
        for run in (follower.run, posting, before_tool.run):
            self.wait_led_elsewhere(run, leader, gateway)
        leader.resume()
        self.check_run(follower, gateway, other, leader)
        before_tool.to_end()
        for node in (other, leader):
            self.check_posting(posting, node)
            self.check_calls(self.read_run(node, before_tool.run), ["model", "tool", "model"])
        self.assertEqual(self.applied(before_tool.run, "tool"), [f"{before_tool.run}/2"])

    def run_before_its_tool_call(self, leader: NodeProcess, gateway: NodeProcess) -> Follower:
        """Start a run whose model is about to ask for a tool, at some length."""
        note = "checked " * ANSWER_TOKENS
        step = {"tool": "bib-lookup", "arguments": {"bib": "216", "note": note}}
        key = self.cluster.key_led_by(leader, TENANT, "before-tool-" + self.key_for(leader))
        run = self.started(gateway, AGENT, agent_input(step, answer_tokens=1), key)
        follower = self.follow(run, gateway)
        follower.until(lambda seen: seen.last_call == 1)
        return follower

    # ------------------------------------------------------------ planned stops

    def test_a_planned_stop_cuts_nothing_and_moves_the_shards(self) -> None:
        leaving, gateway, other = self.cluster.nodes_by_leadership()[:3]
        replica = self.replica_of(leaving, gateway)
        through = self.streaming_run(other, leaving, tokens=LONG_ANSWER_TOKENS)
        led = self.streaming_run(leaving, gateway)
        posting = self.posting_under_way(leaving, gateway)
        with ThreadPoolExecutor() as callers:
            waiting = callers.submit(
                self.start_run, leaving, POSTING, finish_posting("9"), key="waits", wait=True
            )
            wait_until(
                lambda: self.received(run_id_for_key(TENANT, "waits")), "the app has the posting"
            )
            leaving.terminate()
            self.check_takes_no_new_work(leaving)
            self.assertEqual(waiting.result().status, 200)
        for node in self.cluster.others(leaving):
            wait_until(
                partial(self.holds_no_shards, replica, node),
                f"{node.name} sees no shard at {leaving.name}",
            )
        self.check_run(led, gateway, other)
        self.check_run(through, gateway, other, tokens=LONG_ANSWER_TOKENS)
        for follower in (through, led):
            self.assertEqual((follower.cuts, follower.transcript.restarts), (0, 0))
        self.check_posting(posting, gateway)
        self.assertEqual(leaving.wait(), EXIT_OK)

    def replica_of(self, node: NodeProcess, seen_by: NodeProcess) -> str:
        """Return the id of a node's present process start."""
        rows = [row for row in seen_by.listed("nodes") if row["state"] == "alive"]
        return str(next(row["replica"] for row in rows if row["name"] == node.name))

    def holds_no_shards(self, replica: str, seen_by: NodeProcess) -> bool:
        """Return whether a process start neither leads a shard nor has a part in one."""
        rows = seen_by.listed("shards")
        return all(replica not in (row["leader"], *row["members"]) for row in rows)

    def check_takes_no_new_work(self, leaving: NodeProcess) -> None:
        """Check that a node in a planned stop refuses new requests, and says so truthfully."""
        wait_until(lambda: not leaving.ready(), f"{leaving.name} has begun its stop")
        reply = self.start_run(leaving, AGENT, "one more")
        self.assertEqual((reply.status, reply.json()["execution"]), (503, "not_run"), reply.body)
        self.assertIn("retry-after", reply.headers)

    # ------------------------------------------------------------ back ends and platform

    def test_an_engine_is_killed_and_the_run_ends_at_another(self) -> None:
        leader, gateway = self.cluster.nodes_by_leadership()[:2]
        follower = self.streaming_run(leader, gateway)
        backend = follower.transcript.backends[ANSWER_CALL]
        killed = next(e for e in self.cluster.engines if e.address in backend)
        killed.kill()
        self.check_run(follower, gateway)
        self.assertEqual((follower.cuts, follower.transcript.restarts), (0, 1))
        self.assertNotEqual(follower.transcript.backends[ANSWER_CALL], backend)

    def test_a_node_that_starts_without_the_store_takes_the_configuration_from_its_peers(
        self,
    ) -> None:
        node, gateway = self.cluster.nodes_by_leadership()[:2]
        node.kill()
        node.start("--set", f"platform.store={self.cluster.unused_address}")
        self.addCleanup(node.kill)
        self.cluster.wait_whole()
        follower = self.streaming_run(node, node)
        refused = self.cluster.put(node, "tenants", {"name": "late"})
        self.assertEqual(refused.status, 503, refused.body)
        self.assertEqual(refused.json()["kind"], ErrorKind.NOT_APPLIED.value)
        absent = gateway.client().request("GET", path_of("admin", "v1", "tenants", "late"))
        self.assertEqual(absent.status, 404)
        self.check_run(follower, gateway)
