from __future__ import annotations

import unittest

from tools.day_report import Line
from tools.limit_replay import WAYS, Arrival, Limit
from tools.limit_report import LimitReport, Run, worst_count
from tools.path_report import PathReport
from tools.program_report import IN_TIME, ProgramReport
from tools.return_report import MIN_GROUP_SIZE, ReturnReport, find_restarts


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


class Returns(unittest.TestCase):
    """A restart of five processes at 50 s, one of which starts alone at 20 s."""

    def setUp(self) -> None:
        nodes = [f"edge-{number}" for number in range(MIN_GROUP_SIZE - 1)]
        self.lines = [self.line("started", node, 0.5, role="edge", seconds=0.5) for node in nodes]
        self.lines.append(self.line("started", "disk", 0.5, role="storage", seconds=0.5))
        self.lines.append(self.line("started", "edge-0", 20.5, role="edge", seconds=0.5))
        for node in nodes:
            self.lines.append(self.line("started", node, 50.4, role="edge", seconds=0.4))
            self.lines.append(
                self.line("start_phase", node, 50.5, phase="configuration", seconds=0.5)
            )
        self.lines.append(self.line("started", "disk", 50.5, role="storage", seconds=0.3))
        self.lines.append(self.line("ledger_role_changed", "disk", 50.6, role="leader"))

    def line(self, event: str, node: str, at: float, **fields: object) -> Line:
        return {"event": event, "on": node, "at": at, **fields}

    def report(self, *lines: Line) -> ReturnReport:
        restarts = find_restarts(self.lines)
        self.assertEqual([round(item.at, 3) for item in restarts], [50.0])
        report = ReturnReport(restarts[0])
        for line in (*self.lines, *lines):
            report.take(line)
        return report

    def test_the_phases_count_from_the_first_process_by_role(self) -> None:
        rows = {(role, phase): row for role, phase, *row in self.report().phases()}
        count, median, late = rows["edge", "configuration"]
        self.assertEqual((count, round(median, 3), round(late, 3)), (4, 0.5, 0.5))
        self.assertAlmostEqual(rows["storage", "process start"][1], 0.2)
        self.assertAlmostEqual(rows["storage", "election won"][1], 0.6)

    def test_the_median_node_counts_over_all_nodes_that_restarted(self) -> None:
        answers = [
            {**ended(f"t{number}", 50.7 + number, 0.1, outcome="streamed"), "on": f"edge-{number}"}
            for number in range(2)
        ]
        served = self.report(*answers).until_served()
        assert served is not None
        self.assertAlmostEqual(served, 1.7)
        rows = {(role, phase): row for role, phase, *row in self.report(*answers).phases()}
        self.assertAlmostEqual(rows["edge", "first turn arrived"][1], 1.6)
        self.assertIsNone(self.report(answers[0]).until_served())

    def test_what_requests_waited_for(self) -> None:
        choice = {**chosen("a", 51.0), "on": "edge-0", "history": "leader"}
        refusal = self.line("request_refused", "edge-0", 51.0, status=503, reason="no_leader")
        again = self.line("request_repeated", "edge-1", 52.0, reason="silent")
        late = {**chosen("b", 56.0), "on": "edge-0", "history": "replica"}
        report = self.report(choice, refusal, again, late)
        self.assertEqual(report.waits, [(0.01, 0.002)])
        self.assertEqual(report.histories, {"leader": 1})
        self.assertEqual(report.endings, {"refused 503 no_leader": 1})
        self.assertEqual(report.repetitions, {"sent again: silent": 1})
