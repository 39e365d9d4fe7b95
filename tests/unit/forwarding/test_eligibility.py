"""Every send of a node asks the restrictions on engines: first sends, retries, queued requests."""

from __future__ import annotations

import unittest

from tests.unit.forwarding.support import Played
from tests.unit.scheduling.fake_restriction import FakeRestriction
from yokeline.ledger.operations import Granted
from yokeline.scheduling.eligibility import EligibilityPolicy, Ineligibility

LOOK = "/look-twice/x"
FIRST, SECOND = "apps-0", "apps-1"


class EligibleEngines(unittest.TestCase):
    def setUp(self) -> None:
        self.restriction = FakeRestriction(
            Ineligibility.ZONE_EVACUATED, engine_ids=frozenset({FIRST}), is_active=False
        )
        self.played = Played(eligibility=EligibilityPolicy((self.restriction,)))

    def restrict(self, *engine_ids: str) -> None:
        self.restriction.is_active = True
        self.restriction.engine_ids = frozenset(engine_ids)

    def test_a_first_send_avoids_an_ineligible_engine_however_loaded_the_others_are(self) -> None:
        self.restrict(FIRST)
        for _ in range(8):
            self.played.request(LOOK)
        self.assertEqual({self.played.engine_of(i) for i in range(8)}, {SECOND})
        self.assertEqual(self.restriction.sends, [SECOND] * 8)
        self.assertEqual(self.played.logs[-1].fields["left_out_zone_evacuated"], 1)

    def test_a_retry_does_not_go_to_an_engine_that_became_ineligible(self) -> None:
        self.played.request(LOOK)
        used = self.played.engine_of()
        other = SECOND if used == FIRST else FIRST
        self.restrict(other)
        self.played.engine_breaks()
        self.assertNotIn(other, [self.played.engine_of(i) for i in range(len(self.played.sent))])

    def test_a_request_without_attempts_ends_if_its_engine_became_ineligible(self) -> None:
        """It may have run at that engine, so no answer may promise that it was not."""
        self.played.request("/look/x")
        self.restrict(self.played.engine_of())
        self.played.engine_breaks()
        self.played.wait(0.3)
        self.assertEqual(len(self.played.sent), 1)
        self.assertEqual(self.played.replies[-1].status, 502)

    def test_without_an_eligible_engine_a_request_is_refused_at_once(self) -> None:
        self.restrict(FIRST, SECOND)
        self.played.request(LOOK)
        reply = self.played.replies[-1]
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["retry-after"]), 0.0)
        self.assertEqual(self.played.sent, [])
        cause = 'yokeline_forwarding_room_refusals_total{cause="no_eligible_engine"}'
        self.assertEqual(self.played.forwarder.counters[cause], 1)

    def test_a_request_kept_back_by_a_rate_waits_and_is_sent_when_the_rate_allows(self) -> None:
        played, restriction = self.played, self.restriction
        played.turn(program_id="p", finish_ms="3000")
        restriction.cause = Ineligibility.COLD_RATE
        self.restrict("models-0", "models-1")
        restriction.changes_at = played.now + 0.05
        played.ledger_answers(Granted(spent=10))
        self.assertEqual(played.sent, [])
        self.assertEqual(played.forwarder.next_deadline(), restriction.changes_at)
        restriction.is_active = False
        played.wait(0.05)
        self.assertEqual(len(played.sent), 1)

    def test_a_queued_request_is_checked_only_until_an_eligible_engine_is_found(self) -> None:
        """While any engine is cold, each dispatch would check all engines for all requests."""
        played, restriction = self.played, self.restriction
        played.turn(program_id="p", finish_ms="3000")
        self.restrict("models-0")
        restriction.cause = Ineligibility.COLD_RATE
        placement = played.forwarder._state.placement
        exchange = next(iter(played.forwarder._state.exchanges.values()))
        pool = played.forwarder._state.pool_of(exchange)
        for engine_ids in (("models-0",), ("models-1",)):
            self.restrict(*engine_ids)
            restriction.queries.clear()
            self.assertFalse(placement.has_no_eligible_engine(exchange, pool, played.now))
            self.assertEqual(len(restriction.queries), 1)

    def test_reported_slots_leave_out_what_the_restrictions_leave_out(self) -> None:
        placement = self.played.forwarder._state.placement
        self.assertEqual(placement.usable_slots_in_pool("models", self.played.now), 8)
        self.restriction.is_active = True
        self.restriction.slots_share = 0.5
        self.assertEqual(placement.usable_slots_in_pool("models", self.played.now), 4)
