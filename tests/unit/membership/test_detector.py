import unittest

from tests.unit.membership.cluster import Cluster
from yokeline.membership.view import MemberState


def started(count: int, seconds: float = 5.0) -> Cluster:
    cluster = Cluster()
    for index in range(count):
        cluster.start(index)
    cluster.run(seconds)
    return cluster


class DetectorTest(unittest.TestCase):
    def test_members_join_and_views_converge(self) -> None:
        cluster = started(40, 12.0)
        views = {process.membership.alive() for process in cluster.processes.values()}
        self.assertEqual(len(views), 1)
        members = views.pop()
        self.assertEqual(len(members), 40)
        self.assertEqual({member.state for member in members}, {MemberState.ALIVE})

    def test_rate_of_datagrams_does_not_grow_with_the_cluster(self) -> None:
        rates = []
        for count in (10, 60):
            cluster = started(count, 20.0)
            before = sum(process.sent for process in cluster.processes.values())
            cluster.run(30.0)
            after = sum(process.sent for process in cluster.processes.values())
            rates.append((after - before) / count / 30.0)
        self.assertLess(rates[1], 1.3 * rates[0])

    def test_a_killed_member_dies_everywhere_and_is_not_revived(self) -> None:
        cluster = started(8)
        victim = list(cluster.processes.values())[5]
        cluster.kill(victim)
        cluster.run(8.0)
        for process in cluster.processes.values():
            self.assertTrue(process.membership.is_dead(victim.context.replica))
            self.assertIsNone(process.membership.address_of(victim.context.replica))
            self.assertEqual(len(process.membership.alive()), 7)
        cluster.run(60.0)
        for process in cluster.processes.values():
            self.assertTrue(process.membership.is_dead(victim.context.replica))

    def test_a_restart_supersedes_the_old_start_even_with_a_clock_behind(self) -> None:
        cluster = Cluster()
        for index in range(5):
            cluster.start(index, wall=1000.0)
        cluster.run(4.0)
        old = list(cluster.processes.values())[4]
        cluster.kill(old)
        new = cluster.start(4, wall=900.0)
        cluster.run(1.5)
        for process in cluster.processes.values():
            self.assertTrue(process.membership.is_dead(old.context.replica))
            self.assertFalse(process.membership.is_dead(new.context.replica))
        self.assertFalse(new.membership.superseded)

    def test_a_process_that_wakes_after_its_successor_knows_it(self) -> None:
        cluster = started(5)
        old = list(cluster.processes.values())[4]
        old.paused = True
        cluster.kill(old)
        new = cluster.start(4, wall=5.0)
        cluster.run(5.0)
        del cluster.processes[new.address]
        cluster.processes[old.address] = old
        old.paused = False
        cluster.run(20.0)
        self.assertTrue(old.membership.superseded)

    def test_a_lost_link_between_two_members_kills_neither(self) -> None:
        cluster = started(6)
        first, second = list(cluster.processes)[:2]
        cluster.deliver = lambda source, to: {source, to} != {first, second}
        cluster.run(30.0)
        for process in cluster.processes.values():
            self.assertEqual(len(process.membership.alive()), 6)

    def test_a_partition_heals(self) -> None:
        cluster = started(6)
        left = set(list(cluster.processes)[:2])
        cluster.deliver = lambda source, to: (source in left) == (to in left)
        cluster.run(15.0)
        alive = [len(process.membership.alive()) for process in cluster.processes.values()]
        self.assertEqual(alive, [2, 2, 4, 4, 4, 4])
        cluster.deliver = lambda source, to: True
        cluster.run(15.0)
        for process in cluster.processes.values():
            states = {member.state for member in process.membership.alive()}
            self.assertEqual(len(process.membership.alive()), 6)
            self.assertEqual(states, {MemberState.ALIVE})

    def test_a_pause_makes_no_others_dead(self) -> None:
        cluster = started(6)
        sleeper = list(cluster.processes.values())[3]
        deaths = []
        sleeper.membership.on_change.append(
            lambda member: (
                deaths.append(member.replica) if member.state is MemberState.DEAD else None
            )
        )
        sleeper.paused = True
        cluster.run(10.0)
        sleeper.paused = False
        cluster.run(10.0)
        self.assertEqual(deaths, [])
        for process in cluster.processes.values():
            self.assertFalse(process.membership.is_dead(sleeper.context.replica))

    def test_leaving_is_seen_and_departure_is_fast(self) -> None:
        cluster = started(6)
        leaver = list(cluster.processes.values())[2]
        leaver.context.now = cluster.now
        leaver.membership.leave()
        cluster.run(3.0)
        for process in cluster.processes.values():
            member = process.membership.member(leaver.context.replica)
            assert member is not None
            self.assertIs(member.state, MemberState.LEAVING)
        leaver.context.now = cluster.now
        leaver.membership.depart()
        cluster._carry(leaver)
        cluster.kill(leaver)
        cluster.run(0.1)
        for process in cluster.processes.values():
            self.assertTrue(process.membership.is_dead(leaver.context.replica))

    def test_unknown_replicas_are_dead_after_a_grace(self) -> None:
        cluster = started(3, 1.0)
        process = next(iter(cluster.processes.values()))
        self.assertFalse(process.membership.is_dead("node-9~0"))
        cluster.run(12.0)
        self.assertTrue(process.membership.is_dead("node-9~0"))
