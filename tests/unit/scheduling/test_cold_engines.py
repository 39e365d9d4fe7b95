"""Requests of all nodes to a cold engine stay within its bound, whatever happens to the nodes."""

from __future__ import annotations

import math
import random
import unittest
from itertools import pairwise

from tests.unit.scheduling.cold_replay import COLD_SECONDS, ColdReplay
from yokeline.scheduling.cold_engines import ColdEngineRates
from yokeline.scheduling.cold_rate_shares import (
    CONFIRMATION_LAG_SECONDS,
    MAX_VIEW_AGE_SECONDS,
    VIEW_OVERLAP_SECONDS,
    NodeViews,
    plan_shares,
    probe_interval,
    share_holders,
)
from yokeline.scheduling.eligibility import EngineQuery, Ineligibility

ENGINE = "e0"
LONG = 60.0
FLEET = tuple(f"n{number}" for number in range(72))
PROBER_RANK = 8
"""Rank of the first node of the fleet without a share at a rate of 4."""
QUERY = EngineQuery(engine_id=ENGINE, zone="a")


class ReplayTest(unittest.TestCase):
    def assert_bounded(self, replay: ColdReplay) -> None:
        self.assertLessEqual(replay.max_in_second(), replay.bound)

    def holders(self, replay: ColdReplay, count: int) -> list[str]:
        return share_holders(ENGINE, replay.names, count)


class ManyNodes(ReplayTest):
    def test_a_cold_engine_gets_its_rate_and_no_second_sees_more_than_the_bound(self) -> None:
        """All nodes want the engine; without a rate over all nodes each sends what it has."""
        for rate, least_used in ((24.0, 0.75), (4.0, 0.75), (1.0, 0.75)):
            with self.subTest(rate=rate):
                replay = ColdReplay(rate=rate)
                replay.set_cold(ENGINE, LONG, spread=1.3)
                replay.demand(200.0, 2.0, 22.0)
                replay.run(22.0)
                self.assert_bounded(replay)
                self.assertGreater(replay.arrived(2.0, 22.0), least_used * rate * 20.0)

    def test_an_engine_that_answers_fast_gets_no_more_than_its_rate(self) -> None:
        """The bound of one second alone would let it have 32 requests a second."""
        replay = ColdReplay(answer_seconds=0.01)
        replay.set_cold(ENGINE, LONG)
        replay.demand(400.0, 0.0, 20.0)
        replay.run(20.0)
        self.assertLessEqual(replay.arrived(0.0, 20.0), replay.rate * 20.0 + 1)

    def test_nodes_that_learn_of_a_cold_engine_at_once_do_not_send_all_shares_at_once(self) -> None:
        replay = ColdReplay()
        replay.demand(400.0, 0.0, 1.0)
        replay.set_cold(ENGINE, LONG)
        replay.run(1.0)
        self.assertLessEqual(replay.arrived(0.0, 1.0), replay.rate + 1)

    def test_a_burst_beside_a_rolling_replacement_of_engines(self) -> None:
        engines = [f"e{number}" for number in range(24)]
        replay = ColdReplay(engines=engines)
        started_at = {engine: 1.0 + 0.5 * number for number, engine in enumerate(engines)}
        for engine, at in started_at.items():
            replay.at(at, lambda name=engine: replay.set_cold(name, replay.now + COLD_SECONDS))
        replay.demand(600.0, 0.0, 16.0)
        replay.run(16.0)
        for engine, at in started_at.items():
            arrivals = replay.arrivals[engine]
            replay.arrivals[engine] = [x for x in arrivals if at <= x < at + COLD_SECONDS]
        self.assertGreater(len(replay.arrivals["e0"]), 0)
        self.assert_bounded(replay)

    def test_a_whole_zone_returns_cold(self) -> None:
        engines = [f"e{number}" for number in range(8)]
        for rate in (24.0, 4.0, 1.0):
            replay = ColdReplay(engines=engines, rate=rate)
            for engine in engines:
                replay.set_cold(engine, LONG, spread=0.5)
            replay.demand(300.0, 0.5, 10.0)
            replay.run(10.0)
            self.assert_bounded(replay)

    def test_all_engines_of_a_small_pool_are_cold(self) -> None:
        """Each node has a share, or refuses at once so that the caller may try another node."""
        replay = ColdReplay(engines=["e0", "e1"], rate=1.0)
        for engine in replay.engines:
            replay.set_cold(engine, LONG)
        replay.run(10.0)
        without_share = 0
        for node in replay.nodes:
            causes = [
                node.rates.check(EngineQuery(engine_id=engine, zone="a"), 10.0)
                for engine in replay.engines
            ]
            self.assertNotIn(Ineligibility.COLD_RATE, causes)
            without_share += None not in causes
        self.assertEqual(without_share, 72 - 10)

    def test_an_engine_that_fails_does_not_overload_the_next_cold_one(self) -> None:
        """The requests that the failed engine loses are retried at the other engine."""
        replay = ColdReplay(engines=["e0", "e1"])
        for engine in replay.engines:
            replay.set_cold(engine, LONG)
        replay.demand(400.0, 0.0, 10.0)
        replay.at(4.0, lambda: replay.broken.add("e0"))
        replay.run(10.0)
        self.assert_bounded(replay)
        # Requests without an answer hold their places, so a stuck engine gets no more of them.
        self.assertEqual([at for at in replay.arrivals["e0"] if at > 6.0], [])


class Faults(ReplayTest):
    def test_a_dead_holder_costs_its_own_share_only(self) -> None:
        replay = ColdReplay()
        replay.set_cold(ENGINE, LONG)
        dead = self.holders(replay, 4)
        for node in replay.nodes:
            node.is_dead = node.name in dead
        replay.demand(300.0, 2.0, 12.0)
        replay.run(12.0)
        self.assert_bounded(replay)
        self.assertGreater(replay.arrived(2.0, 12.0), 0.7 * replay.rate * 10.0)

    def test_views_of_which_nodes_exist_differ(self) -> None:
        """Half of the nodes are replaced; nodes learn of it within the age that a view may have."""
        for rate in (24.0, 4.0, 1.0):
            with self.subTest(rate=rate):
                self.replace_half_of_the_nodes(rate)

    def replace_half_of_the_nodes(self, rate: float) -> None:
        replay = ColdReplay(rate=rate, nodes=108)
        old, new = replay.names[:72], replay.names[36:]
        for node in replay.nodes:
            # A node that joins has read the registry before it has a record there.
            node.rates = replay.make_rates(node.name)
            replay.prepare(node, old)
            learns_at = 3.0 + 7.0 * replay.source.random()
            replay.at(learns_at, lambda n=node: n.rates.set_nodes(new, replay.now))
        replay.set_cold(ENGINE, LONG)
        replay.demand(300.0, 0.0, 22.0)
        replay.run(22.0)
        self.assert_bounded(replay)
        self.assertGreater(replay.arrived(10.0 + VIEW_OVERLAP_SECONDS, 22.0), 0)

    def test_there_are_never_more_holders_than_shares_while_views_differ(self) -> None:
        """Without the overlap, a node begins while the one that it replaces still holds its share.

        Nodes stop using a view when it is older than their age limit and the lag of confirmations.
        """
        old = [f"edge-{number}" for number in range(72)]
        new = [f"edge-{number}" for number in range(36, 108)]
        stale_seconds = MAX_VIEW_AGE_SECONDS + CONFIRMATION_LAG_SECONDS
        source = random.Random(5)
        changes = {name: 1.0 + stale_seconds * source.random() for name in sorted({*old, *new})}
        views = {name: NodeViews(name) for name in changes}
        for view in views.values():
            view.set_nodes(old, 0.0)
        for step in range(180):
            now = 0.1 * step
            for name, at in changes.items():
                if at <= now:
                    views[name].set_nodes(new, now)
            for engine in range(10):
                holders = [
                    name
                    for name, view in views.items()
                    if view.position(f"e{engine}", 8, now) is not None
                ]
                self.assertLessEqual(len(holders), 8)
        self.assertEqual(len(holders), 8)

    def test_shares_grow_only_when_removed_nodes_have_stopped(self) -> None:
        """Half of ten nodes are removed. Until they know it, they use the shares of ten."""
        names = [f"edge-{number}" for number in range(10)]
        views = {name: NodeViews(name) for name in names}
        for name, view in views.items():
            view.set_nodes(names, 0.0)
            if name in names[:5]:
                view.set_nodes(names[:5], 1.0)
        budget = 32
        for now in (1.0, 1.0 + VIEW_OVERLAP_SECONDS - 0.1):
            plans = [plan_shares(24.0, 1.5, 5.0, view.largest_size(now)) for view in views.values()]
            self.assertLessEqual(sum(plan.window_sends for plan in plans), budget)
        after = plan_shares(
            24.0, 1.5, 5.0, views[names[0]].largest_size(1.0 + VIEW_OVERLAP_SECONDS)
        )
        self.assertEqual((after.holders, after.window_sends), (5, 6))

    def test_a_new_process_waits_until_the_sends_of_the_one_before_it_have_passed(self) -> None:
        replay = ColdReplay(nodes=1, rate=4.0)
        replay.set_cold(ENGINE, LONG)
        replay.demand(400.0, 9.9, 14.0)
        replay.at(10.0, lambda: replay.restart(replay.nodes[0], LONG, down=0.1))
        replay.add_spare(ENGINE, LONG)
        replay.run(14.0)
        before = replay.arrived(9.0, 10.0)
        self.assertEqual(before, 8)
        self.assertEqual(replay.arrived(10.01, 11.1), 0)
        self.assertGreater(replay.arrived(11.1, 14.0), 0)

    def test_a_paused_node_has_no_tokens_when_it_resumes(self) -> None:
        """Its view has aged by its own clock, whatever it saved up before."""
        replay = ColdReplay()
        replay.set_cold(ENGINE, LONG)
        replay.run(5.0)
        holder = next(n for n in replay.nodes if n.name == self.holders(replay, 1)[0])
        self.assertIsNone(holder.rates.check(QUERY, 5.0))
        resumes_at = 5.1 + MAX_VIEW_AGE_SECONDS
        self.assertIs(holder.rates.check(QUERY, resumes_at), Ineligibility.COLD_WITHOUT_SHARE)

    def test_paused_nodes_resume_together_with_waiting_requests(self) -> None:
        for rate in (24.0, 4.0, 1.0):
            replay = ColdReplay(rate=rate)
            replay.set_cold(ENGINE, LONG)
            replay.demand(300.0, 0.0, 10.0)
            for node in replay.nodes:
                node.paused_until = 4.0
            replay.run(10.0)
            self.assert_bounded(replay)

    def test_requests_held_back_by_a_cut_link_arrive_together(self) -> None:
        """Sent one after the other, they would arrive at once when the link is back."""
        for rate in (24.0, 4.0, 1.0):
            replay = ColdReplay(rate=rate)
            replay.set_cold(ENGINE, LONG)
            replay.demand(300.0, 0.0, 12.0)
            for node in replay.nodes:
                replay.at(2.0, lambda n=node: setattr(n, "cut_until", 3.5))
                replay.at(5.0, lambda n=node: setattr(n, "cut_until", 5.4))
            replay.run(12.0)
            self.assert_bounded(replay)

    def test_nodes_restart_while_the_engine_is_cold(self) -> None:
        """A new process does not know what the one before it has sent in the last second."""
        for rate in (24.0, 4.0, 1.0):
            with self.subTest(rate=rate):
                self.restart_all_nodes_repeatedly(rate)

    def restart_all_nodes_repeatedly(self, rate: float) -> None:
        replay = ColdReplay(rate=rate)
        replay.set_cold(ENGINE, LONG)
        replay.demand(300.0, 0.0, 10.0)
        for node in replay.nodes:
            for at in (3.0, 4.3, 5.6):
                replay.at(at, lambda n=node: replay.restart(n, LONG, down=0.2))
        replay.add_spare(ENGINE, LONG)
        replay.run(10.0)
        self.assert_bounded(replay)

    def test_the_engine_restarts_while_it_is_cold(self) -> None:
        """What was sent to the previous incarnation counts for the next one."""
        first, second = "e0@1", "e0@2"
        replay = ColdReplay(engines=[first])
        replay.set_cold(first, LONG)
        replay.demand(400.0, 0.0, 8.0)
        replay.arrivals[second] = replay.arrivals[first]

        def restart() -> None:
            replay.engines = [second]
            for node in replay.nodes:
                node.rates.forget(first)
                node.rates.set_engine(second, "e0", replay.rate)
                node.rates.set_cold(second, LONG, "entry", replay.now)

        replay.at(4.0, restart)
        replay.run(8.0)
        self.assert_bounded(replay)
        self.assertGreater(replay.arrived(5.5, 8.0), 0.6 * replay.rate * 2.5)

    def test_a_silent_engine_is_probed_by_nodes_without_a_share_one_after_the_other(self) -> None:
        """A node without a share would never learn otherwise that the engine answers again."""
        for rate in (24.0, 4.0, 1.0):
            replay = ColdReplay(rate=rate)
            replay.set_cold(ENGINE, math.inf, spread=1.0)
            replay.demand(300.0, 1.0, 40.0)
            replay.run(40.0)
            self.assert_bounded(replay)
        replay = ColdReplay()
        replay.set_cold(ENGINE, math.inf, spread=1.0)
        replay.demand(300.0, 1.0, 40.0)
        replay.run(40.0)
        self.assertEqual([node.name for node in replay.nodes if not node.sends], [])


class OneNode(unittest.TestCase):
    def rates(self, rate: float = 4.0, nodes: tuple[str, ...] = ("n",)) -> ColdEngineRates:
        rates = ColdEngineRates("n", 1.5, 5.0, -100.0)
        rates.set_nodes(nodes, 0.0)
        rates.set_engine(ENGINE, ENGINE, rate)
        return rates

    def test_two_probes_of_one_node_are_a_whole_interval_apart(self) -> None:
        """Probes repeated at a node's first delay would exceed the bound over all nodes."""
        rates, interval = self.rates_without_share()
        rates.set_cold(ENGINE, math.inf, "silent", 10.0)
        probes: list[float] = []
        for step in range(640, 12_800):
            now = step / 64
            if rates.check(QUERY, now + 1 / 128) is None:
                rates.record_send(ENGINE, now + 1 / 128)
                probes.append(now + 1 / 128)
        self.assertGreaterEqual(len(probes), 3)
        for earlier, later in pairwise(probes):
            self.assertGreaterEqual(later - earlier, interval)

    def test_a_further_silence_does_not_postpone_a_probe_by_an_interval(self) -> None:
        """An engine that fails time and again would not be probed for long."""
        rates, interval = self.rates_without_share()
        first_delay = interval * (PROBER_RANK + 1) / len(FLEET)
        rates.set_cold(ENGINE, math.inf, "silent", 10.0)
        rates.set_cold(ENGINE, 12.0, "returned", 11.0)
        rates.set_cold(ENGINE, math.inf, "silent", 11.5)
        self.assertIsNone(rates.check(QUERY, 11.5 + first_delay))

    def rates_without_share(self) -> tuple[ColdEngineRates, float]:
        """Return the rates of the first node without a share, and its probe interval."""
        rates = ColdEngineRates(share_holders(ENGINE, FLEET, len(FLEET))[PROBER_RANK], 1.5, 5.0, 0)
        rates.set_nodes(FLEET, 0.0)
        rates.set_engine(ENGINE, ENGINE, 4.0)
        return rates, probe_interval(4.0, 1.5, 5.0, len(FLEET))

    def test_it_is_inactive_without_a_rate(self) -> None:
        rates = self.rates(rate=0.0)
        rates.set_cold(ENGINE, 5.0, "entry", 0.0)
        self.assertFalse(rates.is_active)
        self.assertIsNone(rates.check(QUERY, 1.0))
        self.assertIsNone(rates.next_change(1.0))

    def test_a_warm_engine_has_no_bound(self) -> None:
        rates = self.rates()
        self.assertFalse(rates.is_active)
        rates.set_cold(ENGINE, 5.0, "entry", 0.0)
        for _ in range(30):
            rates.record_send(ENGINE, 5.0)
            self.assertIsNone(rates.check(QUERY, 5.0))
        self.assertEqual(rates.usable_slots(ENGINE, "a", 6.0, 0.5, 5.0), 6.0)

    def test_sends_before_an_engine_turned_cold_count(self) -> None:
        rates = self.rates()
        for _ in range(8):
            rates.record_warm_send(ENGINE, 1.0, 1.0)
        rates.set_cold(ENGINE, 5.0, "entry", 1.1)
        self.assertIs(rates.check(QUERY, 2.0), Ineligibility.COLD_RATE)
        for _ in range(8):
            rates.record_answer(ENGINE, 1.0, 2.0)
        self.assertIs(rates.check(QUERY, 2.9), Ineligibility.COLD_RATE)
        self.assertIsNone(rates.check(QUERY, 3.1))

    def test_the_rate_limits_the_slots_that_count_as_capacity(self) -> None:
        rates = self.rates()
        rates.set_cold(ENGINE, 5.0, "entry", 0.0)
        self.assertEqual(rates.usable_slots(ENGINE, "a", 6.0, 0.5, 1.0), 2.0)

    def test_it_tells_when_the_next_request_may_be_sent(self) -> None:
        rates = self.rates()
        rates.set_cold(ENGINE, 50.0, "entry", 0.0)
        due = rates.next_change(0.0)
        assert due is not None
        self.assertAlmostEqual(due, 0.25)
        self.assertIs(rates.check(QUERY, due - 0.01), Ineligibility.COLD_RATE)
        self.assertIsNone(rates.check(QUERY, due))
        self.assertEqual(rates.next_change(due), 50.0)

    def test_a_rejection_by_another_engine_does_not_count(self) -> None:
        rates = self.rates()
        rates.set_cold(ENGINE, 50.0, "entry", 0.0)
        for _ in range(8):
            rates.record_send(ENGINE, 10.0)
            rates.discard_send(ENGINE, 10.0, 10.01)
        self.assertIsNone(rates.check(QUERY, 20.0))

    def test_a_request_without_an_answer_counts_while_it_may_still_arrive(self) -> None:
        rates = self.rates()
        rates.set_cold(ENGINE, 50.0, "entry", 0.0)
        for _ in range(8):
            rates.record_send(ENGINE, 10.0)
            rates.record_lost(ENGINE, 10.0, 10.5)
        self.assertIsNotNone(rates.check(QUERY, 15.0))
        self.assertIsNone(rates.check(QUERY, 16.0))

    def test_a_bound_below_one_request_allows_none(self) -> None:
        rates = ColdEngineRates("n", 1.0, 0.0, -100.0)
        rates.set_nodes(("n",), 0.0)
        rates.set_engine(ENGINE, ENGINE, 0.5)
        rates.set_cold(ENGINE, 50.0, "entry", 0.0)
        self.assertIs(rates.check(QUERY, 10.0), Ineligibility.COLD_WITHOUT_SHARE)


if __name__ == "__main__":
    unittest.main()
