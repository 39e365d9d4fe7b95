import unittest

from yokeline.errors import YokelineException
from yokeline.experiment import policies
from yokeline.experiment.live import script_of
from yokeline.experiment.metrics import (
    CacheTotals,
    RequestRecord,
    Window,
    latencies_of,
    measure,
)
from yokeline.experiment.saturation import highest_sustained
from yokeline.experiment.script import ModelStep, ToolUse, Turn
from yokeline.experiment.statistics import estimate, paired_change, t_quantile

WINDOW = Window(
    start=10.0, end=110.0, closed=150.0, engines=2, prefill_rate=100.0, cache_tokens=1000
)


def request(issued_at: float, answered_at: float | None, worth: float) -> RequestRecord:
    return RequestRecord(
        kind="k",
        issued_at=issued_at,
        deadline_seconds=10.0,
        worth=worth,
        answered_at=answered_at,
    )


class MetricsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records = [
            request(0.0, 5.0, 100.0),  # before the window
            request(10.0, 15.0, 1.0),  # on time
            request(20.0, 40.0, 2.0),  # late
            request(100.0, 109.0, 4.0),  # on time
            request(110.0, None, 8.0),  # open at the end, 40 s old
            request(111.0, 112.0, 100.0),  # after the window
        ]

    def test_latency_and_worth_on_time(self) -> None:
        found = measure(self.records, CacheTotals(), WINDOW)
        self.assertEqual((found.requests, found.unanswered, found.ended), (4, 1, 0))
        self.assertAlmostEqual(found.latency_mean, (5 + 20 + 9 + 40) / 4, delta=0.02)
        self.assertAlmostEqual(found.latency_p50, 9.0, delta=0.01)
        self.assertAlmostEqual(found.latency_p99, 40.0, delta=0.05)
        self.assertAlmostEqual(found.on_time_worth, (1 + 4) / (1 + 2 + 4 + 8))
        self.assertAlmostEqual(found.throughput, 3 / 100)

    def test_run_ended_by_a_limit_is_late_and_has_no_latency(self) -> None:
        self.records[4].ended = True
        found = measure(self.records, CacheTotals(), WINDOW)
        self.assertEqual((found.unanswered, found.ended), (0, 1))
        self.assertAlmostEqual(found.on_time_worth, 5 / 15)
        self.assertEqual(latencies_of(self.records[4:5], WINDOW.closed), [])

    def test_wasted_cache_per_answered_request(self) -> None:
        before = CacheTotals(rebuilt_tokens=50, wasted_hold_token_seconds=10.0)
        after = CacheTotals(
            rebuilt_tokens=650, wasted_hold_token_seconds=6010.0, busy_seconds=150.0
        )
        found = measure(self.records, after.since(before), WINDOW)
        self.assertAlmostEqual(found.rebuilt_tokens, 600 / 3)
        self.assertAlmostEqual(found.wasted_hold, 6000 / 3)
        self.assertAlmostEqual(found.wasted_engine_seconds, 200 / 100 + 2000 / 1000)
        self.assertAlmostEqual(found.utilization, 150 / (100 * 2))


class StatisticsTest(unittest.TestCase):
    def test_t_quantiles_agree_with_tables(self) -> None:
        for degrees, expected in ((3, 3.182), (9, 2.262), (19, 2.093), (99, 1.984)):
            self.assertAlmostEqual(t_quantile(0.975, degrees), expected, delta=0.01)

    def test_interval_of_a_small_sample(self) -> None:
        found = estimate([1.0, 2.0, 3.0, 4.0])
        assert found.half_width is not None
        self.assertAlmostEqual(found.mean, 2.5)
        self.assertAlmostEqual(found.half_width, 3.182 * (5 / 3) ** 0.5 / 2, delta=0.01)
        self.assertIsNone(estimate([1.0, 2.0]).half_width)

    def test_paired_change_ignores_what_seeds_have_in_common(self) -> None:
        found = paired_change([7.0, 14.0, 21.0, 28.0], [10.0, 17.0, 24.0, 31.0])
        assert found is not None and found.half_width is not None
        self.assertAlmostEqual(found.mean, -3 / 20.5)
        self.assertAlmostEqual(found.half_width, 0.0)
        self.assertIsNone(paired_change([1.0], [0.0]))


class SaturationTest(unittest.TestCase):
    def test_bisection_finds_the_highest_sustained_rate(self) -> None:
        for limit in (0.13, 1.0, 3.7):
            found = highest_sustained("any", 1.0, lambda _name, rate, limit=limit: rate <= limit)
            self.assertLessEqual(found, limit)
            self.assertGreater(found, limit / 1.04)

    def test_nothing_sustained(self) -> None:
        self.assertEqual(highest_sustained("any", 1.0, lambda _name, _rate: False), 0.0)


class PoliciesTest(unittest.TestCase):
    def test_every_known_name_makes_a_policy(self) -> None:
        for name in policies.known_names():
            self.assertTrue(policies.make(name).name)
        with self.assertRaises(YokelineException):
            policies.make("affinity-nothing")


class LiveScriptTest(unittest.TestCase):
    def test_tools_and_lengths_are_kept(self) -> None:
        tool = ToolUse(tool="read", seconds=1.0)
        turn = Turn(
            steps=(
                ModelStep(input_tokens=3, answer_tokens=5, follow_up=tool),
                ModelStep(input_tokens=7, answer_tokens=9),
            )
        )
        expected = {
            "steps": [{"tool": "lookup", "arguments": {"step": 0}}],
            "answer_tokens": 9,
            "padding": "x x x",
        }
        self.assertEqual(script_of(turn, "lookup", ""), expected)
        self.assertEqual(script_of(turn, "", "")["steps"], [])


if __name__ == "__main__":
    unittest.main()
