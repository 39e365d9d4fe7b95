"""Tenant shares computed from the reports of several nodes."""

from __future__ import annotations

import unittest

from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import PoolLoad, PoolShares, TenantLoad
from yokeline.ledger.node_reports import NODE_SILENCE_SECONDS
from yokeline.ledger.tenant_places import (
    MAX_TENANTS,
    SHARES_MAX_AGE_SECONDS,
    WITHIN_SHARE_LOG_SECONDS,
    TenantPlaces,
)

PLACES = 12


class ReportedLoads(unittest.TestCase):
    def setUp(self) -> None:
        self.places = TenantPlaces()
        self.now = 100.0
        self.sequence = 0

    def report(self, node: str, *rows: TenantLoad, places: int = PLACES) -> None:
        self.sequence += 1
        loads = (PoolLoad("models", places, rows),)
        self.places.take(ReplicaId(node), self.sequence, loads, self.now)

    def shares(self) -> tuple[PoolShares, ...]:
        self.now += SHARES_MAX_AGE_SECONDS
        return self.places.shares(self.now)

    def beyond(self) -> tuple[str, ...]:
        told = self.shares()
        return told[0].beyond if told else ()


class Shares(ReportedLoads):
    def test_loads_of_all_nodes_add_up(self) -> None:
        """Neither node alone runs more turns of the hot tenant than of the calm one."""
        self.report("n", TenantLoad("hot", 1.0, 5, 0), TenantLoad("calm", 1.0, 1, 3))
        self.report("m", TenantLoad("hot", 1.0, 6, 2))
        self.assertEqual(self.shares(), (PoolShares("models", 8.0, ("hot",)),))

    def test_a_single_tenant_gets_all_places(self) -> None:
        self.report("n", TenantLoad("hot", 1.0, 12, 30))
        self.assertEqual(self.beyond(), ())

    def test_enough_places_are_not_shared(self) -> None:
        self.report("n", TenantLoad("hot", 1.0, 7, 3), TenantLoad("calm", 1.0, 1, 1))
        self.assertEqual(self.shares(), ())

    def test_a_later_report_replaces_an_earlier_one(self) -> None:
        self.report("n", TenantLoad("hot", 1.0, 12, 30), TenantLoad("calm", 1.0, 0, 1))
        self.report("n", TenantLoad("hot", 1.0, 2, 0))
        self.assertEqual(self.shares(), ())

    def test_an_outdated_report_is_ignored(self) -> None:
        self.report("n", TenantLoad("hot", 1.0, 2, 0))
        old = (PoolLoad("models", PLACES, (TenantLoad("hot", 1.0, 12, 30),)),)
        self.places.take(ReplicaId("n"), 0, old, self.now)
        self.report("m", TenantLoad("calm", 1.0, 0, 1))
        self.assertEqual(self.beyond(), ())

    def test_the_load_of_a_silent_node_is_dropped(self) -> None:
        self.report("n", TenantLoad("hot", 1.0, 12, 0))
        self.report("m", TenantLoad("calm", 1.0, 0, 1))
        self.assertEqual(self.beyond(), ("hot",))
        self.now += NODE_SILENCE_SECONDS + 0.1
        self.report("m", TenantLoad("calm", 1.0, 0, 1))
        self.assertEqual(self.beyond(), ())

    def test_a_new_leader_starts_without_loads(self) -> None:
        self.report("n", TenantLoad("hot", 1.0, 12, 0), TenantLoad("calm", 1.0, 0, 1))
        self.places.clear()
        self.assertFalse(self.places.is_used)
        self.assertEqual(self.beyond(), ())

    def test_empty_loads_and_nodes_without_loads_are_accepted(self) -> None:
        self.report("n", TenantLoad("a", 0.0, 0, 0))
        self.report("m", TenantLoad("a", 1.0, 0, 0), TenantLoad("b", 1.0, 3, 0))
        self.report("m")
        self.report("n")
        self.now += NODE_SILENCE_SECONDS + 0.1
        self.assertEqual(self.shares(), ())
        self.report("m", TenantLoad("b", 0.0, 30, 1))
        self.assertEqual(self.beyond(), ())

    def test_counted_tenants_are_bounded(self) -> None:
        for number in range(MAX_TENANTS + 10):
            self.report(f"n{number}", TenantLoad(f"t{number}", 1.0, 1, 1))
        self.report("n0", TenantLoad("t0", 1.0, 2, 1), places=3 * MAX_TENANTS)
        self.assertEqual(self.shares(), ())


class LogLines(ReportedLoads):
    def events(self) -> list[str]:
        return [line.event for line in self.places.report(self.now)]

    def test_exceeding_the_share_and_returning_within_it_is_logged_once_each(self) -> None:
        hot = TenantLoad("hot", 1.0, 11, 4)
        for _ in range(5):
            self.report("n", hot, TenantLoad("calm", 1.0, 1, 2))
            self.shares()
            self.events()
        self.report("n", hot, TenantLoad("calm", 1.0, 1, 0))
        self.now += 0.5 * WITHIN_SHARE_LOG_SECONDS
        self.shares()
        self.assertEqual(self.events(), [])
        self.now += WITHIN_SHARE_LOG_SECONDS
        self.shares()
        self.assertEqual(self.events(), ["tenant_within_share"])
        self.now += WITHIN_SHARE_LOG_SECONDS
        self.assertEqual(self.events(), [])

    def test_the_log_line_contains_the_inputs(self) -> None:
        self.report("n", TenantLoad("hot", 1.0, 11, 4), TenantLoad("calm", 1.0, 1, 2))
        self.shares()
        (line,) = self.places.report(self.now)
        self.assertEqual(line.event, "tenant_beyond_share")
        expected = {
            "tenant": "hot",
            "pool": "models",
            "running": 11,
            "waiting": 4,
            "weight": 1.0,
            "share": 9.0,
            "level": 9.0,
            "places": PLACES,
        }
        self.assertEqual(line.fields, expected)

    def test_only_tenants_beyond_their_share_have_a_metric(self) -> None:
        self.report("n", TenantLoad("hot", 1.0, 11, 4), TenantLoad("calm", 1.0, 1, 2))
        self.shares()
        self.assertEqual(
            self.places.gauges(),
            {
                'yokeline_ledger_share_level{pool="models"}': 9.0,
                'yokeline_ledger_tenant_turns{pool="models",tenant="hot"}': 11.0,
            },
        )
