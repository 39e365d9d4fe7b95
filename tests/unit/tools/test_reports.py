from __future__ import annotations

import unittest

from tools.day_report import Line
from tools.limit_replay import WAYS, Arrival, Limit
from tools.limit_report import LimitReport, Run, worst_count
from tools.path_report import PathReport
from tools.program_report import IN_TIME, ProgramReport


def chosen(request: str, at: float) -> Line:
    return {
        "event": "engine_chosen",
        "request": request,
        "at": at,
        "reserving": 0.01,
        "waited": 0.002,
    }


def ended(request: str, at: float, seconds: float, **fields: object) -> Line:
    return {
        "event": "request_ended",
        "request": request,
        "at": at,
        "seconds": seconds,
        "outcome": "answered",
        "sends": 1,
        "tenant": "hule",
        **fields,
    }


class Paths(unittest.TestCase):
    def test_the_steps_of_a_call_and_a_turn(self) -> None:
        report = PathReport()
        report.take(chosen("c", 1.0))
        report.take(ended("c", 1.5, 0.6))
        report.take(chosen("t", 2.0))
        stream = {"outcome": "streamed", "at_engine": 0.4, "keeping": 0.1, "predicted": 0.3}
        report.take(ended("t", 2.5, 0.6, **stream))
        self.assertEqual(report.steps["call", "engine"], [0.5])
        self.assertEqual(report.steps["turn", "keep"], [0.1])
        self.assertAlmostEqual(report.steps["turn", "prediction off by"][0], 0.1)
        self.assertEqual(report.steps["call", "reserve"], [0.01])

    def test_a_request_that_was_sent_twice_is_left_out(self) -> None:
        report = PathReport()
        report.take(chosen("c", 1.0))
        report.take(ended("c", 1.5, 0.6, sends=2))
        self.assertEqual(report.steps, {})


class Programs(unittest.TestCase):
    def report(self, *lines: Line) -> ProgramReport:
        report = ProgramReport()
        for line in lines:
            report.take({"program": "p", **line})
        return report

    def turn(self, at: float, left: float, **fields: object) -> Line:
        return ended("t", at, 0.2, outcome="streamed", program_left=left, **fields)

    def refused(self, at: float, reason: str) -> Line:
        return ended("t", at, 0.0, outcome="refused", status=503, reason=reason)

    def cause(self, *lines: Line) -> str:
        return self.report(*lines).counted()[0].cause

    def test_a_program_is_put_to_what_it_met(self) -> None:
        whole = self.turn(1.0, 0.5)
        self.assertEqual(self.cause(whole), IN_TIME)
        late = self.turn(3.0, -0.5)
        self.assertEqual(self.cause(whole, self.refused(2.0, "x"), late), "late after x")
        slow = {**chosen("t", 1.0), "tenant": "hule", "waited": 0.4}
        self.assertEqual(self.cause(slow, late), "late, most time in queues")
        self.assertEqual(self.cause(whole, self.refused(2.0, "x")), "ended by x")

    def test_those_that_their_budget_stopped_are_left_out(self) -> None:
        report = self.report(self.turn(1.0, 0.5), self.refused(2.0, "budget_spent"))
        self.assertEqual(report.counted(), [])

    def test_refusals_for_a_limit_are_told_by_what_came_before(self) -> None:
        first = self.report(self.refused(1.0, "quota_spent"), self.turn(2.0, 0.5)).counted()[0]
        self.assertEqual((first.first_quota_refusals, first.quota_refusals), (1, 0))
        begun = self.report(self.turn(1.0, 0.5), self.refused(2.0, "quota_spent")).counted()[0]
        self.assertEqual((begun.first_quota_refusals, begun.quota_refusals), (0, 1))


class Replays(unittest.TestCase):
    """Ten requests at once at five nodes, of a tenant that may send five."""

    def let_in(self, way: str) -> int:
        nodes = [f"n{number}" for number in range(5)]
        played = WAYS[way]({"hule": Limit(0.0, 5.0)}, nodes)
        arrivals = [Arrival(1.0, nodes[n % 5], "hule", True) for n in range(10)]
        return sum(played.lets_in(arrival) for arrival in arrivals)

    def test_one_bucket_lets_in_what_the_limit_gives(self) -> None:
        self.assertEqual(self.let_in("one bucket"), 5)

    def test_credit_never_exceeds_it(self) -> None:
        self.assertLessEqual(self.let_in("credit"), 5)

    def test_counts_do(self) -> None:
        self.assertGreater(self.let_in("counts"), 5)

    def test_shares_refuse_where_requests_are_not_spread(self) -> None:
        played = WAYS["shares"]({"hule": Limit(0.0, 5.0)}, [f"n{number}" for number in range(5)])
        let_in = sum(played.lets_in(Arrival(1.0, "n0", "hule", True)) for _ in range(5))
        self.assertEqual(let_in, 1)


class Limits(unittest.TestCase):
    def test_what_arrived_and_was_sent_on_within_a_window_counts(self) -> None:
        runs = [Run(0.0, 0.1), Run(1.0, 4.9), Run(4.0, 5.2), Run(5.1, 5.2)]
        self.assertEqual(worst_count(runs, 5.0), 3)

    def test_a_send_that_an_engine_refused_does_not_count(self) -> None:
        report = LimitReport()
        report.take(chosen("r", 1.0))
        report.take({"event": "engine_rejected", "request": "r", "at": 1.1})
        report.take(chosen("r", 1.1))
        report.take(ended("r", 1.2, 0.3))
        refused = {"outcome": "refused", "reason": "quota_spent", "rate": 6.0, "burst": 20.0}
        report.take(ended("s", 1.2, 0.0, **refused))
        self.assertEqual(len(report.runs["hule"]), 1)
        self.assertEqual(report.refused["hule"], 1)
