import json
import math
import unittest

from tests.simulation.planted import SMALL_PLAN, SMALL_WORLD
from yokeline.simulation.checks.result import CheckResult, Point
from yokeline.simulation.recovery import RecoveryTimes, percentile
from yokeline.simulation.report import SeedReport, summarize
from yokeline.simulation.runner import SeedRun


def seed_report(*violations: str) -> SeedReport:
    return SeedReport(
        world="dallim",
        seed=4,
        digest="d",
        records=1,
        virtual_seconds=1.0,
        schedule=("1.00 s crash",),
        faults={"crash": 1},
        outcomes={"posting done": 2},
        recovery=RecoveryTimes(failover=[1.0, 3.0]),
        results=(CheckResult(point=Point.ORDER, checks=5, violations=list(violations)),),
        replay="yokeline simulate --world dallim --first-seed 4 --count 1",
    )


class ReportTest(unittest.TestCase):
    def test_violations_come_with_seed_schedule_and_replay(self) -> None:
        report = summarize("dallim", 4, [seed_report("run-1: call 1 after call 2")])
        text = report.to_text()
        for part in ("calls in order", "run-1: call 1", "1.00 s crash", "--first-seed 4"):
            self.assertIn(part, text)
        self.assertEqual(json.loads(report.to_json())["points"][0]["violations"], 1)

    def test_sound_seeds_are_only_counted(self) -> None:
        report = summarize("dallim", 4, [seed_report(), seed_report()])
        self.assertEqual((report.violations, report.failed), (0, ()))
        self.assertEqual(report.points[0].checks, 10)
        self.assertEqual((report.failover.median, report.failover.longest), (1.0, 3.0))

    def test_percentiles(self) -> None:
        values = [float(value) for value in range(1, 101)]
        self.assertEqual((percentile(values, 0.5), percentile(values, 0.99)), (50.0, 99.0))
        self.assertTrue(math.isnan(percentile([], 0.5)))

    def test_a_crash_of_a_leader_is_measured(self) -> None:
        run = SeedRun(SMALL_WORLD, 3, (), plan=SMALL_PLAN)

        def crash_a_leader() -> None:
            leader = next(host for host in run.deployment.nodes if host.service.host.led_shards())
            leader.crash()
            run.simulation.schedule.after(2.0, leader.start)

        run.simulation.schedule.after(15.0, crash_a_leader)
        times = run.run().recovery
        self.assertTrue(times.failover)
        self.assertTrue(times.repair)
