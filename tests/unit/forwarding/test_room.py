"""What becomes of requests that find no room: who waits, who is refused, and when they return."""

from __future__ import annotations

import unittest

import msgspec

from tests.unit.forwarding.room_replay import Load, replay
from tests.unit.forwarding.support import TABLE, Played
from yokeline.bearer_tokens import token_digest
from yokeline.effects import HttpStreamEnded, HttpStreamItem
from yokeline.forwarding.configuration_lease import LeaseState
from yokeline.forwarding.held_requests import MAX_HELD_REQUESTS
from yokeline.forwarding.tenants import Credential, KeyHolder, Tenant, TenantDirectory
from yokeline.identifiers import NodeName
from yokeline.ledger.messages import EngineLoad, LoadReport
from yokeline.ledger.operations import Granted

POOL = "models"
ENGINES = 2
SLOTS = 4


class Bursts(unittest.TestCase):
    """Programs whose time allows a wait, at engines that have room again before it is over."""

    def test_a_short_burst_costs_hardly_anybody(self) -> None:
        load = Load(load=0.5, burst_factor=5.0, burst_seconds=0.5)
        for seed in range(2):
            result = replay(seed, load)
            self.assertGreaterEqual(result.in_time, 0.97 * result.programs)

    def test_a_longer_one_costs_few(self) -> None:
        load = Load(load=0.6, burst_factor=2.5, burst_seconds=1.5)
        results = [replay(seed, load) for seed in range(3)]
        self.assertGreaterEqual(sum(item.worth for item in results) / 3, 0.93)

    def test_a_herd_that_returns_after_an_outage_finds_room(self) -> None:
        """All were refused for a second; the pool has a fifth of its places to spare."""
        for seed in range(4):
            result = replay(seed, Load(load=0.8, outage_seconds=1.0))
            self.assertGreater(result.refused_in_outage, 20)
            self.assertEqual(result.refused_first + result.refused_begun, 0)

    def test_begun_programs_are_served_whatever_begins(self) -> None:
        result = replay(0, Load(load=1.5, seconds=3.0))
        self.assertGreater(result.refused_first, 0)
        self.assertEqual(result.refused_begun, 0)
        self.assertEqual(result.lost_begun, 0)

    def test_whoever_is_refused_has_not_waited_for_long(self) -> None:
        """A first turn waits for half of its slack at most: 0.44 s of 2.9 s for the longest
        programs, 0.29 s for the usual ones.
        """
        result = replay(0, Load(load=1.5, seconds=3.0))
        self.assertLess(result.longest_lost_wait, 0.5)
        refusals = result.refused_first + result.refused_begun
        self.assertLess(result.lost_waits / refusals, 0.2)

    def test_calm_programs_meet_no_refusal(self) -> None:
        result = replay(0, Load(load=0.6))
        self.assertEqual(result.refused_first, 0)
        self.assertEqual(result.in_time, result.programs)


class FullEngines(unittest.TestCase):
    """One node whose engines are full, and which has seen how long turns take."""

    def setUp(self) -> None:
        self.played = Played(engines_per_pool=ENGINES, slots=SLOTS)
        self.sequence = 0
        self.see_turn()
        self.fill()

    def see_turn(self) -> None:
        self.played.turn(program_id="seen", session_id="seen", finish_ms="3000")
        self.played.ledger_answers(Granted(spent=0))
        self.played.wait(0.2)
        self.played.engine_begins()
        self.played.engine_sends(1)
        self.played.engine_ends()

    def fill(self, running: int = 2 * SLOTS, waiting: int = 0) -> None:
        self.sequence += 1
        loads = tuple(EngineLoad(f"{POOL}-{number}", running) for number in range(ENGINES))
        report = LoadReport(
            node=NodeName("edge-9"),
            sequence=self.sequence,
            loads=loads,
            waiting={POOL: waiting} if waiting else {},
        )
        self.played.engines.apply_node_report(report, self.played.now)

    def turn(self, name: str, *, begun: bool = False, finish_ms: str = "3000") -> str:
        request_id = self.played.turn(program_id=name, session_id=name, finish_ms=finish_ms)
        self.played.ledger_answers(Granted(spent=10 if begun else 0))
        return request_id

    def wait_full(self, seconds: float) -> None:
        """Let time pass while the engines stay full."""
        end = self.played.now + seconds
        while self.played.now < end - 1e-9:
            self.fill()
            self.played.wait(0.05)

    def refused(self) -> list[str]:
        return [str(reply.exchange) for reply in self.played.replies]

    def cause(self) -> str:
        ends = [item for item in self.played.logs if item.event == "request_ended"]
        return str(ends[-1].fields["cause"])

    def test_a_first_turn_waits_for_its_slack_and_is_served_within_it(self) -> None:
        self.turn("p")
        self.wait_full(0.3)
        self.assertEqual(self.refused(), [])
        self.fill(running=0)
        self.played.wait(0.01)
        self.assertEqual(len(self.played.sent), 2)

    def test_at_the_end_of_its_slack_it_is_refused(self) -> None:
        self.turn("p")
        self.wait_full(1.0)
        self.assertEqual(len(self.refused()), 1)
        self.assertIn(self.cause(), ("waited", "hopeless"))

    def test_a_begun_program_waits_on(self) -> None:
        self.turn("p", begun=True)
        self.wait_full(1.5)
        self.assertEqual(self.refused(), [])

    def test_a_first_turn_that_is_late_already_is_refused_at_once(self) -> None:
        self.turn("p", finish_ms="-10")
        self.assertEqual(len(self.refused()), 1)

    def test_a_hopeless_queue_is_refused_at_once_and_begun_programs_wait(self) -> None:
        for number in range(40):
            self.turn(f"begun{number}", begun=True)
        self.assertEqual(self.refused(), [])
        last = self.turn("new")
        self.assertEqual(self.refused(), [last])
        self.assertEqual(self.cause(), "expected_wait")

    def test_requests_that_wait_elsewhere_count(self) -> None:
        waits = self.turn("one")
        self.assertNotIn(waits, self.refused())
        self.fill(waiting=200)
        self.played.wait(0.06)
        refused = self.turn("two")
        self.assertIn(refused, self.refused())
        self.assertEqual(self.cause(), "expected_wait")

    def test_a_wait_ends_when_it_has_become_hopeless(self) -> None:
        self.turn("one")
        self.played.wait(0.06)
        self.fill(waiting=400)
        self.played.wait(0.06)
        self.assertEqual(len(self.refused()), 1)
        self.assertEqual(self.cause(), "hopeless")

    def test_a_refusal_tells_what_decided_it(self) -> None:
        self.fill(waiting=200)
        self.turn("one")
        ends = [item for item in self.played.logs if item.event == "request_ended"]
        fields = ends[-1].fields
        self.assertEqual(fields["waiting_elsewhere"], 200)
        self.assertGreater(float(fields["expected_wait"] or 0), float(fields["bears"] or 0) / 2)
        for name in ("places", "place_seconds", "program_share", "view_age", "reports_age"):
            self.assertIsNotNone(fields[name], name)

    def test_refusals_and_waits_are_counted(self) -> None:
        self.fill(waiting=200)
        self.turn("one")
        counters = self.played.forwarder.counters
        name = 'yokeline_forwarding_room_refusals_total{cause="expected_wait"}'
        self.assertEqual(counters[name], 1)
        self.assertEqual(sum(self.played.forwarder.expected_waits.counts), 1)

    def test_callers_refused_together_are_told_different_times(self) -> None:
        self.fill(waiting=200)
        for number in range(40):
            self.turn(f"p{number}")
        told = [float(reply.headers["retry-after"]) for reply in self.played.replies]
        self.assertEqual(len(told), 40)
        self.assertGreater(max(told) - min(told), 0.15)
        self.assertLessEqual(max(told), 1.0)

    def test_a_timer_of_an_earlier_wait_ends_no_later_one(self) -> None:
        self.turn("p")
        self.wait_full(0.1)
        self.fill(running=0)
        self.played.wait(0.01)
        self.assertEqual(len(self.played.sent), 2)
        self.wait_full(0.3)
        self.played.engine_rejects()
        self.played.wait(0.05)
        self.assertEqual(self.refused(), [])


class AfterAnOutage(unittest.TestCase):
    """The proof of the configuration lapses, and comes back."""

    def setUp(self) -> None:
        self.played = Played(engines_per_pool=ENGINES, slots=SLOTS)
        tenant = Tenant(name="hule")
        holder = KeyHolder(Credential(token_digest("h1")), tenant)
        self.played.forwarder.table = msgspec.structs.replace(
            TABLE, tenants=TenantDirectory((holder,))
        )
        self.currency = LeaseState.VALID
        self.played.forwarder.lease_state = lambda _now: self.currency
        self.see_turn()

    def see_turn(self) -> None:
        self.turn("seen")
        self.played.wait(0.2)
        self.end_turn()

    def turn(self, name: str, **headers: str) -> str:
        fields = {"program_id": name, "finish_ms": "3000", "authorization": "Bearer h1"}
        return self.played.request("/turn/x", **{**fields, **headers})

    def end_turn(self, index: int = -1) -> None:
        self.played.engine_answers(body=b"", index=index, x_yokeline_server_stamp="s")
        request = self.played.sent[index].request
        item = HttpStreamItem(request=request, data=b"id: 1\ndata: word\n\n", event_id="1")
        self.played.take(self.played.forwarder.handle_engine_event(item, self.played.now))
        ended = HttpStreamEnded(request)
        self.played.take(self.played.forwarder.handle_engine_event(ended, self.played.now))

    def told(self) -> list[float]:
        return [float(reply.headers["retry-after"]) for reply in self.played.replies]

    def test_what_was_held_is_served_as_places_come_free(self) -> None:
        """Ten first turns for eight places: none is refused, since places come free in time."""
        self.currency = LeaseState.PENDING
        for number in range(10):
            self.turn(f"p{number}")
        self.played.wait(0.1)
        self.assertEqual(len(self.played.sent), 1)
        self.currency = LeaseState.VALID
        self.played.wait(0.01)
        self.assertEqual(len(self.played.sent), 1 + ENGINES * SLOTS)
        self.played.wait(0.2)
        for index in range(1, 1 + ENGINES * SLOTS):
            self.end_turn(index)
        self.assertEqual(len(self.played.sent), 11)
        self.assertEqual(self.played.replies, [])

    def test_the_herd_returns_spread_and_begun_programs_first(self) -> None:
        self.currency = LeaseState.EXPIRED
        for number in range(60):
            self.turn(f"p{number}")
        first = self.told()
        for number in range(60):
            self.turn(f"q{number}", previous_turn="t")
        begun = self.told()[60:]
        self.assertEqual((len(first), len(begun)), (60, 60))
        for times in (first, begun):
            most = max(sum(time <= other < time + 0.1 for other in times) for time in times)
            self.assertLess(most, 30)
        self.assertLess(sum(begun), sum(first))

    def test_a_node_without_a_configuration_spreads_them_too(self) -> None:
        self.played.forwarder.table = None
        for number in range(560):
            self.turn(f"p{number}")
        self.assertEqual(len(self.told()), 560 - MAX_HELD_REQUESTS)
        self.assertGreater(max(self.told()) - min(self.told()), 0.3)


if __name__ == "__main__":
    unittest.main()
