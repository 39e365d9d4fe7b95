"""The scale run measures the production node: its meters see every role and message."""

from __future__ import annotations

import unittest

from benchmarks.scale.hollow import HollowCluster
from benchmarks.scale.load import LoadGenerator, agent
from benchmarks.scale.profiler import Profiler
from benchmarks.scale.slopes import fit

NODES = 5
SECONDS = 4.0
IDLE_ROLES = ("heartbeat", "membership", "raft", "configuration", "engines", "timers", "codec")
RUN_ROLES = ("gateway", "router", "executor")


class Slopes(unittest.TestCase):
    def test_line_through_points_on_a_line(self) -> None:
        line = fit([(0.0, 1.0), (2.0, 5.0), (10.0, 21.0)])
        self.assertAlmostEqual(line.base, 1.0)
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.at(100.0), 201.0)


class Meters(unittest.TestCase):
    def test_nested_sections_count_once(self) -> None:
        profiler = Profiler()

        def spin(count: int) -> int:
            return sum(range(count))

        inner = profiler.timed("inner", lambda: spin(200_000))
        profiler.timed("outer", inner)()
        self.assertEqual(profiler.entries, {"inner": 1, "outer": 1})
        self.assertGreater(profiler.nanoseconds["inner"], profiler.nanoseconds["outer"])

    def test_a_hollow_cluster_serves_and_is_measured(self) -> None:
        cluster = HollowCluster(nodes=NODES, shards=8)
        cluster.start()
        load = LoadGenerator(cluster, agent(1, 20))
        load.start(2.0, SECONDS)
        window = cluster.measure(2.5 * SECONDS)
        self.assertEqual(load.outcomes, {200: int(2.0 * SECONDS)})
        seconds = window.total_cpu()
        for role in (*IDLE_ROLES, *RUN_ROLES):
            self.assertGreater(seconds.get(role, 0.0), 0.0, role)
        traffic = window.total_traffic()
        pairs = NODES * (NODES - 1) / 2
        per_second = traffic["HeartbeatReply"].count / window.seconds
        self.assertAlmostEqual(per_second, pairs / 0.25, delta=2.0)
        self.assertGreater(traffic["RaftBatch"].bytes, 0)
        self.assertGreater(traffic["datagrams"].bytes, 0)


if __name__ == "__main__":
    unittest.main()
