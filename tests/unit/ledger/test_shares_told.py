"""Tenant shares between nodes and the leader, also after a leader change."""

from __future__ import annotations

import itertools
import unittest

import msgspec

from tests.unit.ledger.cluster import Cluster, EdgeClient
from yokeline.effects import Effect
from yokeline.ledger.messages import PoolLoad, PoolShares, TenantLoad
from yokeline.ledger.node_reports import NODE_SILENCE_SECONDS
from yokeline.ledger.operations import OperationResult, Reserve
from yokeline.ledger.own_turns import REFRESH_SECONDS
from yokeline.ledger.tenant_places import SHARES_MAX_AGE_SECONDS

PLACES = 12


class Tenants(msgspec.Struct):
    """Loads of a node's tenants, set by the test."""

    running: dict[str, int]
    waiting: dict[str, int]
    is_used: bool = True
    changes: int = 0

    @property
    def has_waiting(self) -> bool:
        return any(self.waiting.values())

    def rows(self) -> tuple[PoolLoad, ...]:
        names = sorted({*self.running, *self.waiting})
        rows = tuple(
            TenantLoad(name, 1.0, self.running.get(name, 0), self.waiting.get(name, 0))
            for name in names
        )
        return (PoolLoad("models", PLACES, rows),)


class ToldShares(unittest.TestCase):
    """One node runs turns of the hot tenant; the calm tenant has waiting programs at another."""

    def setUp(self) -> None:
        self.cluster = Cluster(3, seed=1)
        self.assertTrue(self.cluster.run_until(self.cluster.all_members, 10.0))
        self.received: list[tuple[PoolShares, ...]] = []
        self.hot = Tenants({"hot": 11}, {})
        self.calm = Tenants({"calm": 1}, {"calm": 2})
        self.edges = [self.add("edge-0~1", self.hot), self.add("edge-1~1", self.calm)]
        self._numbers = itertools.count()

    def add(self, name: str, tenants: Tenants) -> EdgeClient:
        edge = self.cluster.add_edge(name)
        edge.client.turns.tenants = tenants
        edge.client.shares_told = lambda shares, now: self.received.append(shares)
        for number in range(sum(tenants.running.values())):
            edge.client.turns.begin(f"{name}/{number}", "engine")
        return edge

    def ask(self) -> tuple[PoolShares, ...] | None:
        """Reserve a turn at each node; return the shares in the last answer."""
        self.received.clear()
        for edge in self.edges:
            self.reserve(edge)
            self.cluster.run(1.0)
        return self.received[-1] if self.received else None

    def reserve(self, edge: EdgeClient) -> None:
        operation = Reserve(request_id=str(next(self._numbers)), program="p", budget=100, tokens=1)

        def done(result: OperationResult | None, now: float) -> list[Effect]:
            return []

        now = self.cluster.now
        effects = edge.client.ask(operation, done, now, now + 5.0)
        self.cluster.carry_out_edge(edge.process, effects)

    def test_the_answer_to_a_reservation_reflects_the_loads_of_all_nodes(self) -> None:
        self.ask()
        self.assertEqual(self.ask(), (PoolShares("models", 9.0, ("hot",)),))

    def test_a_new_leader_computes_the_same_shares_once_each_node_has_reported(self) -> None:
        self.ask()
        leader = self.cluster.leader()
        assert leader is not None
        self.cluster.kill(leader)
        self.cluster.run(3.0)
        self.ask()
        self.cluster.run(REFRESH_SECONDS + SHARES_MAX_AGE_SECONDS)
        self.assertIsNot(self.cluster.leader(), leader)
        self.assertEqual(self.ask(), (PoolShares("models", 9.0, ("hot",)),))

    def test_the_demand_of_a_failed_node_is_dropped(self) -> None:
        self.ask()
        del self.cluster.edges[self.edges.pop().process]
        self.cluster.run(NODE_SILENCE_SECONDS + REFRESH_SECONDS)
        self.assertEqual(self.ask(), ())

    def test_without_tenants_no_shares_are_sent(self) -> None:
        self.hot.is_used = False
        self.calm.is_used = False
        self.ask()
        self.assertIsNone(self.ask())
