"""Admission: rate, concurrency, worth and fairness between tenants."""

from __future__ import annotations

import random
import unittest

from returns.result import Failure, Success

from tests.unit.gateway.support import OTHER, PLATFORM, Bench
from yokeline.errors import ErrorKind
from yokeline.gateway.limits import Admission, Importance
from yokeline.labels.objects import TenantLimits

LIMITS = TenantLimits(requests_per_second=10.0, burst=5, active_runs=1000)
POST = "/v1/programs/post/runs"


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = Admission(100, random.Random(1))

    def admit(
        self,
        now: float = 0.0,
        *,
        worth: float = 1.0,
        deadline: float = 60.0,
        waiting: int = 0,
        share: float = 1.0,
        limits: TenantLimits = LIMITS,
    ) -> ErrorKind | None:
        result = self.admission.admit(
            "t",
            limits,
            Importance.of(worth, deadline),
            waiting=waiting,
            share=share,
            now=now,
        )
        if isinstance(result, Failure):
            self.assertGreater(result.failure().retry_after or 0.0, 0.0)
            return result.failure().kind
        return None

    def test_rate_is_shared_and_a_burst_is_not(self) -> None:
        taken = sum(self.admit() is None for _ in range(20))
        self.assertEqual(5, taken)
        taken = sum(self.admit(now=0.1 * step, share=0.5) is None for step in range(1, 101))
        self.assertEqual(50, taken)

    def test_a_retry_after_the_pause_is_taken(self) -> None:
        for _ in range(5):
            self.admit()
        result = self.admission.admit(
            "t", LIMITS, Importance.of(1.0, 1.0), waiting=0, share=1.0, now=0.0
        )
        pause = result.failure().retry_after
        assert pause is not None
        self.assertIsNone(self.admit(now=pause + 1e-6))

    def test_active_runs_are_limited_until_released(self) -> None:
        limits = TenantLimits(requests_per_second=1e6, burst=1000, active_runs=2)
        kinds = [self.admit(limits=limits) for _ in range(3)]
        self.assertEqual([None, None, ErrorKind.LIMIT_EXCEEDED], kinds)
        self.admission.release("t")
        self.assertIsNone(self.admit(limits=limits))

    def test_a_nearly_full_node_sheds_the_less_worthy_and_the_less_urgent_first(self) -> None:
        limits = TenantLimits(requests_per_second=1e6, burst=100_000)
        for turn in range(200):
            self.admit(worth=float(turn % 10), limits=limits)
        for waiting, taken in ((50, 10), (90, 5), (100, 0)):
            kinds = [
                self.admit(worth=float(worth), waiting=waiting, limits=limits)
                for worth in range(10)
            ]
            self.assertAlmostEqual(taken, kinds.count(None), delta=1)
            self.assertEqual(sorted(kinds, key=lambda kind: kind is None), kinds)
        for turn in range(512):
            self.admit(deadline=1.0 + turn % 10, limits=limits)
        self.assertIsNone(self.admit(deadline=1.0, waiting=90, limits=limits))
        self.assertEqual(
            ErrorKind.OVERLOADED, self.admit(deadline=100.0, waiting=90, limits=limits)
        )

    def test_equal_requests_are_taken_until_the_node_is_full(self) -> None:
        limits = TenantLimits(requests_per_second=1e6, burst=100_000)
        kinds = [self.admit(waiting=waiting, limits=limits) for waiting in range(100)]
        self.assertEqual([None] * 100, kinds)

    def test_one_tenant_cannot_shut_out_the_others(self) -> None:
        for waiting in range(90):
            self.assertIsInstance(self.admission.enter("greedy", waiting), Success)
        self.assertIsInstance(self.admission.enter("small", 90), Success)
        self.assertIsInstance(self.admission.enter("greedy", 91), Failure)
        self.assertIsInstance(self.admission.enter("small", 91), Success)
        for _ in range(60):
            self.admission.leave("greedy")
        self.assertIsInstance(self.admission.enter("greedy", 85), Success)


class GatewayLimitTest(unittest.TestCase):
    def test_a_limited_tenant_is_told_when_to_come_back_and_others_are_served(self) -> None:
        bench = Bench()
        answers = [bench.answer(bench.send("POST", POST, {"input": {}})) for _ in range(4)]
        self.assertEqual([0, 0, 0, 429], [answer.status for answer in answers])
        self.assertEqual(
            ("not_run", "1"), (answers[3].json()["execution"], answers[3].headers["retry-after"])
        )
        self.assertEqual(3, len(bench.router.asked))
        other = bench.send("POST", "/v1/programs/tally/runs", {"input": "x"}, token=OTHER)
        self.assertEqual(0, bench.answer(other).replies)

    def test_a_full_node_sheds_tenants_and_lets_the_platform_operator_in(self) -> None:
        bench = Bench(max_waiting_requests=2)
        run = "/v1/runs/run-" + "0" * 32
        first = [bench.send("GET", run, token=OTHER) for _ in range(2)]
        shed = bench.answer(bench.send("GET", run))
        self.assertEqual((503, "overloaded"), (shed.status, shed.json()["kind"]))
        keyed = bench.send("POST", POST, {"input": {}}, headers={"idempotency-key": "k"})
        self.assertEqual("unknown", bench.answer(keyed).json()["execution"])
        self.assertEqual(
            200, bench.answer(bench.send("GET", "/admin/v1/nodes", token=PLATFORM)).status
        )
        self.assertEqual(200, bench.answer(bench.send("GET", "/metrics", token=None)).status)
        bench.close(first[0])
        self.assertEqual(0, bench.answer(bench.send("GET", run)).replies)
