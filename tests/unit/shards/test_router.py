from __future__ import annotations

import unittest

from tests.unit.shards.cluster import create_command
from tests.unit.shards.routed import SHARD, Answer, RoutedCluster, start_operation
from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.identifiers import RunId
from yokeline.messages.types import RaftBatch, ShardReply, ShardRequest
from yokeline.runs.events import RunEvent, TextEvent
from yokeline.shards.operations import RunResult, WatchRun
from yokeline.shards.pending import PendingRequest

WATCH = WatchRun(run=RunId("run-1"), tenant="t")


class RouterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = RoutedCluster(shards=1)
        self.cluster.advance(5.0)

    def assert_started(self, answers: list[Answer], run: str) -> None:
        self.assertEqual(len(answers), 1, "answered exactly once")
        result = answers[0].unwrap()
        assert isinstance(result, RunResult)
        self.assertEqual(result.run.run, run)

    def test_leader_serves_local_and_remote_requests(self) -> None:
        for node in list(self.cluster.nodes.values()):
            run = f"run-{node.context.name}"
            _, answers = self.cluster.send_request(node, start_operation(run))
            self.cluster.advance(1.0)
            self.assert_started(answers, run)
        self.assertEqual(len(self.cluster.routed_leader().executor.served), 5)

    def test_request_survives_the_leaders_crash(self) -> None:
        requester = self.cluster.follower()
        leader = self.cluster.routed_leader()
        leader.executor.silent = True
        _, answers = self.cluster.send_request(requester, start_operation("run-1"))
        self.cluster.advance(0.1)
        self.assertEqual(answers, [])
        self.cluster.crash_node(leader.context.replica)
        self.cluster.advance(8.0)
        self.assert_started(answers, "run-1")

    def test_lost_reply_is_sent_again_without_serving_twice(self) -> None:
        requester = self.cluster.follower()
        leader = self.cluster.routed_leader()
        _, answers = self.cluster.send_request(requester, start_operation("run-1"))
        own, other = leader.context.replica, requester.context.replica
        self.cluster.is_dropped = lambda sender, to: (sender, to) == (own, other)
        self.cluster.advance(0.5)
        self.assertEqual(answers, [])
        self.cluster.is_dropped = lambda sender, to: False
        self.cluster.advance(2.0)
        self.assert_started(answers, "run-1")
        self.assertEqual(len(leader.executor.served), 1, "the same id is served once")

    def test_late_replies_are_dropped_and_counted(self) -> None:
        requester = self.cluster.follower()
        request, answers = self.cluster.send_request(requester, start_operation("run-1"))
        self.cluster.advance(1.0)
        leader = self.cluster.routed_leader().context.replica
        reply = ShardReply(request=request, not_leader=True)
        self.cluster.execute_at(requester, lambda: requester.router.receive_reply(leader, reply))
        self.assertEqual(len(answers), 1)
        self.assertEqual(requester.context.counters["yokeline_late_replies_total"], 1)

    def test_cancelled_request_is_not_answered_and_stops_at_the_leader(self) -> None:
        requester = self.cluster.follower()
        leader = self.cluster.routed_leader()
        request, answers = self.cluster.send_request(requester, WATCH)
        self.cluster.advance(0.1)
        self.cluster.execute_at(requester, lambda: requester.router.cancel(request))
        self.cluster.advance(0.1)
        self.assertEqual(leader.executor.abandoned, ["1"])
        self.assertEqual(
            (requester.router.pending_requests(), leader.server.active_requests()), (0, 0)
        )
        self.assertEqual(answers, [])

    def test_request_that_reached_no_leader_fails_as_not_run(self) -> None:
        cluster = RoutedCluster(nodes=6, shards=1)
        cluster.advance(5.0)
        requester = next(node for node in cluster.nodes.values() if not node.host.status())
        for replica in cluster.group_members(0):
            cluster.crash_node(replica)
        cluster.advance(5.0)
        _, answers = cluster.send_request(requester, start_operation("run-1"), deadline=2.0)
        cluster.advance(3.0)
        self.assertIs(answers[0].failure().execution, Execution.NOT_RUN)
        self.assertIs(answers[0].failure().kind, ErrorKind.UNAVAILABLE)

    def test_unanswered_request_fails_with_unknown_outcome(self) -> None:
        requester = self.cluster.follower()
        own = requester.context.replica
        _, answers = self.cluster.send_request(requester, start_operation("run-1"), deadline=2.0)
        self.cluster.is_dropped = lambda sender, to: to == own
        self.cluster.advance(3.0)
        self.assertIs(answers[0].failure().execution, Execution.UNKNOWN)
        self.assertIs(answers[0].failure().kind, ErrorKind.OUTCOME_UNKNOWN)

    def test_next_leader_resolves_a_request_of_a_partitioned_leader(self) -> None:
        leader = self.cluster.routed_leader()
        own = leader.context.replica
        previous = self.cluster.is_dropped
        self.cluster.is_dropped = lambda sender, to: own in (sender, to) or previous(sender, to)
        _, answers = self.cluster.send_request(leader, start_operation("run-1"))
        self.cluster.advance(4.0)
        self.assertEqual(answers, [], "the outcome is unknown at the cut-off leader")
        self.cluster.is_dropped = lambda sender, to: False
        self.cluster.advance(4.0)
        self.assert_started(answers, "run-1")
        for node in self.cluster.nodes.values():
            self.assertEqual(self.cluster.run_ids_at(node, 0), {"run-1"})

    def test_watch_resumes_at_the_next_leader_after_the_last_event(self) -> None:
        requester = self.cluster.follower()
        leader = self.cluster.routed_leader()
        events: list[RunEvent] = []
        self.cluster.send_request(requester, WATCH, events=events)
        self.cluster.advance(0.1)
        self.cluster.execute_at(leader, lambda: leader.executor.push((5, "Hello")))
        self.cluster.advance(0.1)
        self.cluster.crash_node(leader.context.replica)
        self.cluster.advance(8.0)
        following = self.cluster.routed_leader()
        (resumed,) = following.executor.served
        assert isinstance(resumed, WatchRun)
        self.assertEqual((resumed.after_call, resumed.after_offset), (1, 5))
        self.cluster.execute_at(
            following, lambda: following.executor.push((8, "lo wo"), (11, "rld"))
        )
        self.cluster.advance(0.1)
        texts = [event.text for event in events if isinstance(event, TextEvent)]
        self.assertEqual("".join(texts), "Hello world")

    def test_gap_in_the_events_restarts_the_watch(self) -> None:
        requester = self.cluster.follower()
        leader = self.cluster.routed_leader()
        events: list[RunEvent] = []
        self.cluster.send_request(requester, WATCH, events=events)
        self.cluster.advance(0.1)
        self.cluster.is_dropped = lambda sender, to: to == requester.context.replica
        self.cluster.execute_at(leader, lambda: leader.executor.push((5, "Hello")))
        self.cluster.is_dropped = lambda sender, to: False
        self.cluster.execute_at(leader, lambda: leader.executor.push((11, " world")))
        self.cluster.advance(0.1)
        self.assertEqual(events, [], "text after a gap is held back")
        self.assertEqual(leader.executor.served, [WATCH, WATCH])
        self.assertEqual(leader.executor.abandoned, ["1"])

    def test_error_is_not_reported_as_not_run_while_an_attempt_is_unanswered(self) -> None:
        pending = PendingRequest(
            "r/1", SHARD, start_operation("run-1"), 1.0, lambda result: None, None
        )
        overloaded = YokelineError(kind=ErrorKind.OVERLOADED, message="m", remedy="r")
        pending.note_sent("a")
        pending.note_sent("b")
        self.assertIs(pending.error_across_attempts("b", overloaded).execution, Execution.UNKNOWN)
        pending.note_not_leader_reply("a")
        pending.note_sent("b")
        self.assertIs(pending.error_across_attempts("b", overloaded).execution, Execution.NOT_RUN)


class ServerTest(unittest.TestCase):
    def test_follower_sends_a_not_leader_reply_with_the_leader(self) -> None:
        cluster = RoutedCluster(shards=1)
        cluster.advance(5.0)
        follower = cluster.follower()
        leader = cluster.leaders(0)[0]
        request = ShardRequest(request="x/1", shard=SHARD, operation=b"", deadline=1.0)
        cluster.sent.clear()
        cluster.execute_at(follower, lambda: follower.server.receive_request(leader, request))
        (reply,) = [item for _, _, item in cluster.sent if isinstance(item, ShardReply)]
        self.assertTrue(reply.not_leader)
        self.assertEqual(reply.leader.leader, leader)

    def test_malformed_operation_is_refused(self) -> None:
        cluster = RoutedCluster(shards=1)
        cluster.advance(5.0)
        leader = cluster.routed_leader()
        sender = cluster.follower().context.replica
        request = ShardRequest(request="x/1", shard=SHARD, operation=b"\xc1", deadline=1.0)
        cluster.sent.clear()
        cluster.execute_at(leader, lambda: leader.server.receive_request(sender, request))
        replies = [item for _, _, item in cluster.sent if isinstance(item, ShardReply)]
        self.assertIs(replies[0].error.kind, ErrorKind.BAD_REQUEST)

    def test_raft_messages_of_one_event_are_batched_by_receiver(self) -> None:
        cluster = RoutedCluster(shards=1)
        cluster.advance(5.0)
        leader = cluster.routed_leader()
        cluster.sent.clear()

        def propose_twice() -> None:
            for run in ("run-1", "run-2"):
                leader.host.propose(SHARD, create_command(run), lambda result: None)

        cluster.execute_at(leader, propose_twice)
        batches = [item for _, _, item in cluster.sent if isinstance(item, RaftBatch)]
        self.assertEqual(len(batches), 4)


if __name__ == "__main__":
    unittest.main()
