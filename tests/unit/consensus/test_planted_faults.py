"""The invariant checker finds faults that are planted into the Raft core."""

from __future__ import annotations

import math
import unittest
from unittest import mock

from tests.unit.consensus.cluster import Cluster
from tests.unit.consensus.invariants import InvariantError
from yokeline.consensus.messages import RequestVote
from yokeline.consensus.replication import Replicator
from yokeline.consensus.voting import Voting

REPLICATOR = "yokeline.consensus.leadership.Replicator"
VOTING = "yokeline.consensus.roles.Voting"


class CommitsWithoutQuorum(Replicator):
    def quorum_match(self) -> int:
        return self._state.log.last_index


class ConfirmsReadsWithoutQuorum(Replicator):
    def quorum_round(self) -> int:
        return self.current_round


class LeasesWithoutQuorum(Replicator):
    def quorum_contact(self, now: float) -> float:
        return now

    def quorum_lost_at(self) -> float:
        return math.inf


class VotesTwice(Voting):
    def _vote(self, message: RequestVote, now: float) -> None:
        self._state.voted_for = None
        super()._vote(message, now)


class VotesForShorterLogs(Voting):
    def _is_up_to_date(self, message: RequestVote) -> bool:
        return True


class IgnoresLiveLeaders(Voting):
    def _believes_in_leader(self, now: float) -> bool:
        return False


def commit_in_a_minority(cluster: Cluster) -> None:
    """A leader that is cut off proposes, and the majority goes on without it."""
    cluster.run(3.0)
    old = cluster.leader()
    cluster.isolate(old)
    cluster.propose(old, b"minority")
    cluster.run(6.0)
    cluster.propose(cluster.leader(), b"majority")
    cluster.run(1.0)
    if old in cluster.leaders():
        cluster.read(old)
    cluster.heal()
    cluster.run(6.0)


def stand_together(cluster: Cluster) -> None:
    """Two candidates ask everybody for the vote of the same term."""
    first, second, *_ = cluster.machines
    for candidate in (first, second):
        group = cluster.group(candidate)
        group._roles._voting._stand_for_term(cluster.now(candidate), transfer=False)
        cluster.carry_out(candidate, group._roles.finish(cluster.now(candidate)))
    cluster.deliver_all()


def read_when_replaced(cluster: Cluster) -> None:
    """A leader that is cut off is asked to read after its successor has committed."""
    cluster.run(3.0)
    old = cluster.leader()
    cluster.machines[old].paused = True
    cluster.run(4.0)
    cluster.propose(cluster.leader(), b"newer")
    cluster.run(0.5)
    cluster.isolate(old)
    cluster.read(old)


def elect_one_that_lags(cluster: Cluster) -> None:
    """A follower that was cut off is asked to stand although it lacks committed entries."""
    cluster.run(3.0)
    leader = cluster.leader()
    lagging = next(replica for replica in cluster.machines if replica != leader)
    cluster.isolate(lagging)
    cluster.propose(leader, b"missed")
    cluster.run(0.5)
    cluster.crash(leader)
    cluster.heal()
    group = cluster.group(lagging)
    group._roles._voting._stand_for_term(cluster.now(lagging), transfer=False)
    cluster.carry_out(lagging, group._roles.finish(cluster.now(lagging)))
    cluster.run(2.0)


def depose_a_live_leader(cluster: Cluster) -> None:
    """A follower stands although the leader was heard a moment ago."""
    cluster.run(3.0)
    leader = cluster.leader()
    cluster.propose(leader, b"fresh")
    cluster.deliver_all()
    rival = next(replica for replica in cluster.machines if replica != leader)
    cluster.isolate(leader)
    group = cluster.group(rival)
    group._roles._voting._stand(cluster.now(rival))
    cluster.carry_out(rival, group._roles.finish(cluster.now(rival)))
    cluster.deliver_all()


class TestPlantedFaults(unittest.TestCase):
    def test_each_fault_is_found_and_the_sound_core_passes(self) -> None:
        cases = [
            (REPLICATOR, CommitsWithoutQuorum, commit_in_a_minority),
            (REPLICATOR, LeasesWithoutQuorum, commit_in_a_minority),
            (REPLICATOR, ConfirmsReadsWithoutQuorum, read_when_replaced),
            (VOTING, VotesTwice, stand_together),
            (VOTING, VotesForShorterLogs, elect_one_that_lags),
            (VOTING, IgnoresLiveLeaders, depose_a_live_leader),
        ]
        for target, fault, scenario in cases:
            with self.subTest(fault=fault.__name__):
                scenario(Cluster(3))
                with mock.patch(target, fault), self.assertRaises(InvariantError):
                    scenario(Cluster(3))


if __name__ == "__main__":
    unittest.main()
