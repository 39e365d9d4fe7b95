"""Restricted requests are served in their regions only: first sends, retries, tool calls."""

from __future__ import annotations

import unittest

import msgspec

from tests.unit.forwarding.support import TABLE, Played
from tests.unit.scheduling.fake_restriction import FakeRestriction
from yokeline.bearer_tokens import token_digest
from yokeline.forwarding.configuration_lease import LeaseState
from yokeline.forwarding.model import Route, RoutingTable
from yokeline.forwarding.residency import DataResidency
from yokeline.forwarding.tenants import Credential, KeyHolder, Tenant, TenantDirectory
from yokeline.ledger.operations import Granted, Settle
from yokeline.scheduling.eligibility import EligibilityPolicy, Ineligibility

EAST, WEST = "apps-0", "apps-1"
ZONE_REGIONS = {"east-1": "east", "west-1": "west", "north-1": "north"}
KEY = "key-of-a-tenant"
NO_ENGINE = "no_engine_in_allowed_regions"
NO_STORAGE = "no_storage_in_allowed_regions"


def restricted(table: RoutingTable, regions: tuple[str, ...], prefix: str = "") -> RoutingTable:
    """Return a table whose routes, or the one of a prefix, are bound to regions."""

    def bound(route: Route) -> Route:
        if prefix and route.path_prefix != prefix:
            return route
        return msgspec.structs.replace(route, allowed_regions=regions)

    routes = tuple(bound(route) for route in table.routes)
    return msgspec.structs.replace(table, version=table.version + 1, routes=routes)


def with_tenant(table: RoutingTable, regions: tuple[str, ...]) -> RoutingTable:
    """Return a table with one tenant that is bound to regions."""
    tenant = Tenant(name="t", allowed_regions=regions)
    holders = (KeyHolder(Credential(token_digest(KEY)), tenant),)
    return msgspec.structs.replace(table, tenants=TenantDirectory(holders))


class Restricted(unittest.TestCase):
    """A node in the region ``west`` with an engine of each pool in ``east`` and in ``west``."""

    zone_regions: dict[str, str] = ZONE_REGIONS
    engines_per_pool = 2

    def setUp(self) -> None:
        residency = DataResidency("west", self.zone_regions)
        self.residency = residency
        self.played = Played(
            engines_per_pool=self.engines_per_pool,
            eligibility=EligibilityPolicy((residency.restriction,)),
            residency=residency,
            zones=("east-1", "west-1"),
        )

    def use(self, table: RoutingTable) -> None:
        self.played.forwarder.table = table

    def assert_refused(self, reason: str) -> None:
        self.assertEqual(self.played.replies[-1].status, 503)
        self.assertEqual(self.played.refusal()["error"], reason)
        self.assertGreater(float(self.played.replies[-1].headers["retry-after"]), 0.0)


class Choices(Restricted):
    def test_calls_stay_in_the_regions_of_their_route_however_loaded_they_are(self) -> None:
        self.use(restricted(TABLE, ("east",)))
        for _ in range(8):
            self.played.request("/fix/x")
        self.assertEqual({self.played.engine_of(i) for i in range(8)}, {EAST})

    def test_a_client_outside_of_the_allowed_regions_is_served_inside(self) -> None:
        """The node's own zone is cheaper by cost, but not allowed."""
        self.use(restricted(TABLE, ("north", "east")))
        self.played.request("/look/x")
        self.assertEqual(self.played.engine_of(), EAST)

    def test_an_affinity_to_an_engine_outside_does_not_count(self) -> None:
        self.use(restricted(TABLE, ("west",)))
        self.played.request("/look/x", affinity_key="k")
        self.assertEqual(self.played.engine_of(), WEST)
        self.use(restricted(TABLE, ("east",)))
        self.played.request("/look/x", affinity_key="k")
        self.assertEqual(self.played.engine_of(), EAST)

    def test_route_and_tenant_both_bind(self) -> None:
        self.use(with_tenant(restricted(TABLE, ("east", "north")), ("east", "west")))
        for _ in range(4):
            self.played.request("/look/x", authorization=f"Bearer {KEY}")
        self.assertEqual({self.played.engine_of(i) for i in range(4)}, {EAST})

    def test_a_key_binds_on_a_public_route_whether_or_not_it_is_proved(self) -> None:
        """Without a proof of the key, the tenant of the request is not known otherwise."""
        routes = tuple(msgspec.structs.replace(route, public=True) for route in TABLE.routes)
        self.use(with_tenant(msgspec.structs.replace(TABLE, routes=routes), ("east",)))
        self.played.forwarder.lease_state = lambda now: LeaseState.EXPIRED
        for _ in range(4):
            self.played.request("/look/x", authorization=f"Bearer {KEY}")
        self.assertEqual({self.played.engine_of(i) for i in range(4)}, {EAST})
        self.played.request("/look/x")
        self.assertEqual(self.played.engine_of(), WEST)

    def test_an_empty_intersection_is_refused_at_once(self) -> None:
        self.use(with_tenant(restricted(TABLE, ("east",)), ("west",)))
        self.played.request("/look/x", authorization=f"Bearer {KEY}")
        self.assert_refused(NO_ENGINE)
        self.assertEqual(self.played.sent, [])

    def test_without_an_engine_in_the_regions_a_request_is_refused_at_once(self) -> None:
        self.use(restricted(TABLE, ("north",)))
        self.played.request("/look/x")
        self.assert_refused(NO_ENGINE)
        self.played.turn()
        self.assert_refused(NO_ENGINE)
        self.assertEqual(self.played.sent, [])
        self.assertEqual(self.played.operations(), [], "a refused turn reserves nothing")

    def test_a_waiting_request_is_refused_when_its_last_engine_is_gone(self) -> None:
        self.use(restricted(TABLE, ("east",)))
        self.played.turn(finish_ms="3000")
        self.played.engines.remove("models-0")
        self.played.ledger_answers(Granted(spent=10))
        self.assert_refused(NO_ENGINE)

    def test_unrestricted_routes_use_all_regions(self) -> None:
        self.use(restricted(TABLE, ("north",), prefix="/fix/"))
        for _ in range(4):
            self.played.request("/look/x")
        self.assertEqual({self.played.engine_of(i) for i in range(4)}, {EAST, WEST})

    def test_the_region_served_is_counted_and_logged(self) -> None:
        self.use(restricted(TABLE, ("east",)))
        self.played.request("/look/x")
        counters = self.played.forwarder.counters
        served = 'yokeline_forwarding_restricted_sends_total{route="/look/",region="east"}'
        withheld = 'yokeline_forwarding_sends_restricted_total{cause="region_not_allowed"}'
        self.assertEqual((counters[served], counters[withheld]), (1, 1))
        chosen = next(line for line in self.played.logs if line.event == "engine_chosen")
        self.assertEqual(chosen.fields["region"], "east")

    def test_without_allowed_regions_the_restriction_is_inactive(self) -> None:
        self.played.request("/look/x")
        self.assertFalse(self.residency.is_active)
        chosen = next(line for line in self.played.logs if line.event == "engine_chosen")
        self.assertNotIn("region", chosen.fields)


class UnknownZones(Restricted):
    zone_regions = {"west-1": "west"}

    def test_an_engine_in_a_zone_without_a_known_region_gets_no_restricted_request(self) -> None:
        self.use(restricted(TABLE, ("east", "")))
        self.played.request("/look/x")
        self.assert_refused(NO_ENGINE)


class Retries(Restricted):
    engines_per_pool = 4

    def test_a_retry_does_not_cross_the_boundary(self) -> None:
        """Guards against a retry that takes the only engines not tried yet, in another region."""
        self.use(restricted(TABLE, ("east",)))
        self.played.request("/look-twice/x")
        self.played.engine_breaks()
        self.played.wait(0.3)
        self.assertEqual(len(self.played.sent), 2)
        used = {self.played.engine_of(i) for i in range(2)}
        self.assertEqual(used, {"apps-0", "apps-2"})

    def test_rejections_by_all_engines_of_the_regions_do_not_lead_outside(self) -> None:
        self.use(restricted(TABLE, ("east",)))
        self.played.request("/fix/x")
        for _ in range(6):
            if self.played.replies:
                break
            self.played.engine_rejects()
            self.played.wait(0.3)
        used = {self.played.engine_of(i) for i in range(len(self.played.sent))}
        self.assertLessEqual(used, {"apps-0", "apps-2"})
        self.assertEqual(self.played.replies[-1].status, 503)

    def test_a_stream_is_resumed_within_the_regions(self) -> None:
        self.use(restricted(TABLE, ("east",), prefix="/turn/"))
        self.played.turn(finish_ms="3000")
        self.played.ledger_answers(Granted(spent=10))
        self.played.engine_begins()
        self.played.engine_sends(1, 2)
        self.played.engine_breaks()
        self.played.wait(0.3)
        self.assertGreater(len(self.played.sent), 1)
        used = {self.played.engine_of(i) for i in range(len(self.played.sent))}
        self.assertLessEqual(used, {"models-0", "models-2"})

    def test_a_retry_obeys_a_configuration_that_came_meanwhile(self) -> None:
        """A node with an older configuration sends by it, and never again once it has the newer."""
        self.played.request("/look-twice/x")
        first = self.played.engine_of()
        self.use(restricted(TABLE, ("north",)))
        self.played.engine_breaks()
        self.played.wait(0.3)
        self.assertEqual([self.played.engine_of(i) for i in range(len(self.played.sent))], [first])

    def test_a_request_keeps_its_regions_when_they_are_lifted_meanwhile(self) -> None:
        self.use(restricted(TABLE, ("east",)))
        self.played.request("/look-twice/x")
        self.use(msgspec.structs.replace(TABLE, version=9))
        self.played.engine_breaks()
        self.played.wait(0.3)
        used = {self.played.engine_of(i) for i in range(len(self.played.sent))}
        self.assertEqual(used, {"apps-0", "apps-2"})


class OtherRestrictions(Restricted):
    def test_a_request_does_not_wait_for_engines_outside_of_its_regions(self) -> None:
        """Guards against a cause that may pass hiding one that does not."""
        cold = FakeRestriction(Ineligibility.COLD_RATE)
        self.played = Played(
            engines_per_pool=2,
            eligibility=EligibilityPolicy((self.residency.restriction, cold)),
            residency=self.residency,
            zones=("east-1", "west-1"),
        )
        self.use(restricted(TABLE, ("east",)))
        self.played.turn(finish_ms="3000")
        self.played.ledger_answers(Granted(spent=10))
        self.assertEqual((self.played.sent, self.played.replies), ([], []), "it waits")
        self.played.engines.remove("models-0")
        self.played.take(self.played.forwarder.tick(self.played.now))
        self.assert_refused(NO_ENGINE)


class KeptTurns(Restricted):
    def test_a_turn_whose_text_would_leave_the_regions_is_refused_before_it_runs(self) -> None:
        """The ledger replicates texts over all regions."""
        self.use(restricted(TABLE, ("east",), prefix="/kept/"))
        self.played.turn("/kept/x")
        self.assert_refused(NO_STORAGE)
        self.assertEqual((self.played.sent, self.played.operations()), ([], []))

    def test_a_turn_that_waits_for_its_reservation_obeys_a_newer_configuration(self) -> None:
        self.played.turn("/kept/x")
        self.use(restricted(TABLE, ("east",), prefix="/kept/"))
        self.played.ledger_answers(Granted())
        self.assert_refused(NO_STORAGE)
        self.assertEqual(self.played.sent, [])

    def test_a_turn_is_kept_in_the_ledger_if_every_region_is_allowed(self) -> None:
        self.use(restricted(TABLE, ("east", "west", "north"), prefix="/kept/"))
        self.played.turn("/kept/x", body=b"hello ")
        self.played.ledger_answers(Granted())
        self.played.engine_begins()
        self.played.engine_sends(1)
        self.played.engine_ends()
        settled = self.played.operations()[-1]
        assert isinstance(settled, Settle) and settled.turn is not None
        self.assertEqual(settled.turn.text, b"hello word1\n")
