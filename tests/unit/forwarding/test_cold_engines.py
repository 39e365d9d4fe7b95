"""A node keeps its requests to cold engines within its shares, from the entry to the send."""

from __future__ import annotations

import json
import unittest

from tests.unit.forwarding.engine_entries_support import FIRST_START_MS, NodeWithEntries
from tests.unit.forwarding.support import HOST, Played
from yokeline.effects import (
    Address,
    DatagramArrived,
    Effect,
    HttpArrived,
    HttpFailed,
    HttpGone,
    HttpReply,
    HttpRequest,
    HttpResponse,
)
from yokeline.forwarding.capacity_view import CapacityViews
from yokeline.forwarding.cold_engine_tracker import ColdEngineTracker
from yokeline.forwarding.metrics import edge_figures
from yokeline.identifiers import ExchangeId, NodeName, ReplicaId, RequestId
from yokeline.ledger.messages import LoadReport
from yokeline.ledger.operations import CachedContext, Granted
from yokeline.registry.nodes import NodeRecord, NodeRole, encode_node, node_key
from yokeline.scheduling.cold_engines import ColdEngineRates
from yokeline.scheduling.cold_rate_shares import MAX_VIEW_AGE_SECONDS
from yokeline.scheduling.eligibility import EligibilityPolicy
from yokeline.scheduling.zone_evacuation import ZoneEvacuations

OVERAGE = 1.5
SLACK = 5.0


class ColdNode(NodeWithEntries):
    """A node of a pool ``apps`` whose engines bear ``rate`` requests per second when cold."""

    rate = 4.0
    nodes = ("edge-1",)
    has_cold_engines = True

    def make_forwarder(self, zones: ZoneEvacuations) -> Played:
        self.rates = ColdEngineRates("edge-1", OVERAGE, SLACK, 0.0)
        restrictions = (zones, self.rates) if self.has_cold_engines else (zones,)
        return Played(eligibility=EligibilityPolicy(restrictions))

    def make_cold_engines(self) -> ColdEngineTracker | None:
        return ColdEngineTracker(self.rates) if self.has_cold_engines else None

    def setUp(self) -> None:
        super().setUp()
        self.requests = 0
        for name in self.nodes:
            record = NodeRecord(
                name=NodeName(name),
                role=NodeRole.EDGE,
                replica=ReplicaId(name),
                address=Address("10.0.0.2", 1),
            )
            self.write_item(node_key(record.name), encode_node(record))
        self.write_item("op/config", self.configuration())

    def configuration(self) -> bytes:
        route = {
            "name": "look",
            "host": HOST,
            "path-prefix": "/look/",
            "kind": "idempotent",
            "timeout-ms": 10_000,
            "target-latency-ms": 8000,
            "service": "apps",
            "max-attempts": 2,
        }
        service = {"name": "apps", "cold-s": 3, "cold-per-s": self.rate}
        return json.dumps({"version": 9, "routes": [route], "services": [service]}).encode()

    def start_engine(self, number: int, cold_ms: float, born: int = FIRST_START_MS) -> None:
        fields = {"service": "apps", "slots": 6, "born": born, "cold-left-ms": cold_ms}
        self.write(f"i-{number}", self.entry(number, **fields))

    def confirm(self) -> None:
        """Let a watching node report that the registry has not changed."""
        self.hand(
            DatagramArrived(
                source=Address("10.0.0.3", 1),
                message=LoadReport(
                    node=NodeName("edge-0"),
                    sequence=int(self.now * 100),
                    loads=(),
                    waiting={},
                    revision=self.revision,
                    watches=True,
                ),
            )
        )

    def pass_time(self, seconds: float, step: float = 0.1) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.wait(step)
            self.confirm()

    def call(self, body: bytes = b"") -> list[Effect]:
        self.requests += 1
        fields = {
            "host": HOST,
            "x-yokeline-request-id": f"r{self.requests}",
            "x-yokeline-deadline-ms": "10000",
        }
        return self.hand(
            HttpArrived(
                exchange=ExchangeId(f"r{self.requests}"),
                method="POST",
                path="/look/x",
                target="/look/x",
                body=body,
                headers=fields,
                header_items=tuple(fields.items()),
            )
        )

    def sends(self) -> list[tuple[float, str, RequestId]]:
        """Return when requests were sent, to which engines, and their ids."""
        requests = [(at, item) for at, item in self.effects if isinstance(item, HttpRequest)]
        named = [(at, dict(item.header_items), item.request) for at, item in requests]
        return [
            (at, fields["x-yokeline-expect-instance"], request)
            for at, fields, request in named
            if "x-yokeline-expect-instance" in fields
        ]

    def replies(self) -> list[HttpReply]:
        return [effect for _, effect in self.effects if isinstance(effect, HttpReply)]


class Bounded(ColdNode):
    def test_waiting_requests_are_sent_as_the_rate_allows(self) -> None:
        self.start_engine(0, 3000)
        self.confirm()
        for _ in range(6):
            self.call()
        self.assertEqual(self.sends(), [])
        self.assertEqual(self.replies(), [])
        deadline = self.node.next_deadline()
        assert deadline is not None
        self.assertLessEqual(deadline, self.now + 1.0 / self.rate)
        self.pass_time(1.1, step=0.05)
        self.assertEqual(len(self.sends()), 4)

    def test_the_rate_counts_as_capacity_in_admission(self) -> None:
        """By its slots, six calls of half a second would find room where two do."""
        self.start_engine(0, 3000)
        self.confirm()
        placement = self.played.forwarder._state.placement
        placement._call_seconds["apps"] = 0.5
        self.assertEqual(placement.usable_slots_in_pool("apps", self.now), 2)
        views = CapacityViews(self.played.engines, placement)
        for state in self.played.engines.all():
            state.running_elsewhere = 6
        self.assertEqual(views.of("apps", self.now).slots, 2)
        placement._call_seconds["apps"] = 0.05
        self.assertEqual(placement.usable_slots_in_pool("apps", self.now), 1)
        self.now += 3.0
        self.assertEqual(views.of("apps", self.now).slots, 6)

    def test_an_engine_that_turns_warm_takes_what_waits(self) -> None:
        self.start_engine(0, 500)
        self.confirm()
        for _ in range(6):
            self.call()
        self.pass_time(0.6)
        self.assertEqual(len(self.sends()), 6)
        self.assertEqual(len(self.lines("engine_cold")), 1)
        self.assertEqual(len(self.lines("engine_warm")), 1)

    def test_a_warm_engine_is_chosen_while_the_rate_of_a_cold_one_is_used_up(self) -> None:
        self.start_engine(0, 3000)
        self.start_engine(1, 100)
        self.confirm()
        self.pass_time(0.2)
        for _ in range(6):
            self.call()
        self.assertEqual({engine for _, engine, _ in self.sends()}, {"i-1"})
        figures = edge_figures(self.node)
        self.assertEqual(figures.gauges["yokeline_forwarding_engines_cold"], 1.0)
        withheld = figures.counters["yokeline_forwarding_cold_sends_withheld_total"]
        self.assertGreater(withheld, 0.0)
        self.assertEqual(figures.counters["yokeline_forwarding_cold_sends_total"], 0.0)

    def test_a_caller_that_leaves_an_engine_with_a_recent_failure_shows_no_silence(self) -> None:
        """Each caller that left within seconds of a time-out made a running engine cold."""
        self.start_engine(0, 100)
        self.confirm()
        self.pass_time(0.2)
        for _ in range(3):
            self.call()
        answered, timed_out, _ = (request for _, _, request in self.sends())
        self.hand(HttpResponse(request=answered, status=200, body=b"{}"))
        self.pass_time(0.8)
        self.hand(HttpFailed(request=timed_out, sent=True, reason="time", silent=True))
        self.pass_time(0.5)
        self.hand(HttpGone(ExchangeId("r3")))
        self.assertEqual(self.node.cold_count(), 0)

    def test_a_request_that_an_engine_failed_is_retried_within_the_rate_of_the_next(self) -> None:
        """Otherwise all requests of a failed engine arrive at the next cold one at once."""
        self.start_engine(0, 100)
        self.confirm()
        self.pass_time(0.2)
        for number in range(6):
            self.call(b"%d" % number)
        self.start_engine(1, 3000)
        sent = self.sends()
        self.assertEqual(len(sent), 6)
        for _, _, request in sent:
            self.hand(HttpFailed(request=request, sent=True, reason="reset", fresh=True))
        self.assertEqual(len(self.sends()), 6)
        self.assertEqual(self.lines("engine_cold")[-1].fields["reason"], "silent")
        begin = self.now
        self.pass_time(1.0, step=0.05)
        for engine in ("i-0", "i-1"):
            retried = [at for at, name, _ in self.sends() if at > begin and name == engine]
            self.assertLessEqual(len(retried), self.rate)

    def test_rejections_by_another_engine_do_not_use_the_window(self) -> None:
        self.start_engine(0, 3000)
        self.confirm()
        self.pass_time(0.3)
        self.call()
        request = self.sends()[-1][2]
        self.hand(HttpResponse(request=request, status=421))
        state = self.rates._instances["i-0"]
        self.assertEqual(state.window.count(self.now), 0)

    def test_a_view_that_is_not_confirmed_gives_no_share(self) -> None:
        """A node that is cut off may not know which nodes hold the shares now."""
        self.start_engine(0, 30_000)
        self.confirm()
        self.pass_time(0.5)
        self.wait(MAX_VIEW_AGE_SECONDS + 0.2)
        self.call()
        self.assertEqual(self.replies()[-1].status, 503)
        self.confirm()
        self.call()
        self.assertEqual(len(self.sends()), 1)

    def test_the_next_incarnation_is_cold_and_inherits_the_sends(self) -> None:
        self.start_engine(0, 30_000)
        self.confirm()
        self.pass_time(0.3)
        self.call()
        self.start_engine(0, 0, born=FIRST_START_MS + 60_000)
        self.assertEqual(self.lines("engine_cold")[-1].fields["reason"], "started")
        self.assertEqual(self.rates._instances["i-0"].window.count(self.now), 1)


class WithoutShare(ColdNode):
    """One of 72 nodes, at an engine whose shares others hold."""

    rate = 1.0
    nodes = ("edge-1", *(f"other-{number}" for number in range(71)))

    def test_with_all_engines_cold_a_request_is_refused_at_once(self) -> None:
        """The caller may then try another node, while it would wait here in vain.

        The status guarantees that the request was not run.
        """
        self.start_engine(0, 3000)
        self.confirm()
        self.assertIsNone(self.rates._views.position("i-0", 5, self.now))
        self.call()
        reply = self.replies()[-1]
        self.assertEqual(reply.status, 503)
        self.assertIn("retry-after", reply.headers)
        self.assertEqual(self.sends(), [])

    def test_a_request_waits_for_an_engine_that_is_warm_soon(self) -> None:
        self.start_engine(0, 400)
        self.confirm()
        self.call()
        self.assertEqual(self.replies(), [])
        self.pass_time(0.5)
        self.assertEqual(len(self.sends()), 1)


class ReturnedZones(ColdNode):
    evacuation_seconds = 5.0

    def test_the_engines_of_a_zone_are_cold_after_its_evacuation(self) -> None:
        """Their entries may be older than the order, and say nothing."""
        self.start_engine(0, 0)
        self.pass_time(3.1)
        self.assertEqual(self.node.cold_count(), 0)
        self.write_item("op/evacuate/a", b"{}")
        self.pass_time(2.0)
        self.write_item("op/evacuate/a", None)
        self.assertEqual(self.node.cold_count(), 1)
        self.assertEqual(self.lines("engine_cold")[-1].fields["reason"], "evacuated")
        for _ in range(20):
            self.call()
        self.pass_time(1.0, step=0.05)
        self.assertLessEqual(len(self.sends()), self.rate + 1)
        self.pass_time(2.1)
        self.assertEqual(self.node.cold_count(), 0)


class StandstillNodes(ColdNode):
    rate = 1.0

    def test_a_node_that_stood_still_sends_to_no_engine_beyond_its_rate(self) -> None:
        """Guards against a burst at an engine that started while the node was frozen."""
        self.start_engine(0, 0.0)
        self.pass_time(10.0)
        self.now += 3.0
        before = len(self.sends())
        for _ in range(12):
            self.call()
        bound = self.rate * OVERAGE + SLACK
        self.assertLessEqual(len(self.sends()) - before, bound)
        line = self.lines("engine_cold")[-1]
        self.assertEqual(line.fields["reason"], "standstill")


class CachedContexts(unittest.TestCase):
    """Turns and the caches of warm and cold engines."""

    def setUp(self) -> None:
        self.rates = ColdEngineRates("edge-1", OVERAGE, SLACK, 0.0)
        self.rates.set_nodes(("edge-1",), 0.0)
        self.played = Played(eligibility=EligibilityPolicy((self.rates,)))
        for number in range(2):
            self.rates.set_engine(f"models-{number}", f"models-{number}", 4.0)

    def turn_with_context_at(self, engine_id: str) -> None:
        self.played.turn(token_usage="20000,50", session_id="s")
        context = CachedContext(engine_id=engine_id, tokens=19_000)
        self.played.ledger_answers(Granted(spent=40, context=context))

    def test_a_turn_stays_with_its_context_while_an_idle_cold_engine_has_a_free_share(self) -> None:
        self.rates.set_cold("models-1", 1000.0, "entry", 0.0)
        busy = self.played.engines.get("models-0")
        assert busy is not None
        busy.running_elsewhere = 3
        self.turn_with_context_at("models-0")
        self.assertEqual(self.played.engine_of(), "models-0")

    def test_a_turn_leaves_its_context_at_a_cold_engine_without_a_free_share(self) -> None:
        """It would otherwise arrive beyond the rate."""
        self.rates.set_cold("models-0", 1000.0, "entry", self.played.now)
        self.turn_with_context_at("models-0")
        self.assertEqual(self.played.engine_of(), "models-1")


class Off(ColdNode):
    """Without a rate, effects and their order are those of a node without the restriction."""

    rate = 0.0

    def play(self) -> list[tuple[float, str]]:
        self.effects.clear()
        self.start_engine(0, 3000)
        self.start_engine(1, 0)
        self.confirm()
        for number in range(8):
            self.call()
            if number == 5:
                self.hand(
                    HttpFailed(request=self.sends()[0][2], sent=True, reason="reset", fresh=True)
                )
            self.pass_time(0.1)
        for _, _, request in self.sends():
            self.hand(HttpResponse(request=request, status=200, body=b"ok"))
        self.start_engine(0, 3000, born=FIRST_START_MS + 60_000)
        self.pass_time(0.5)
        return [(at, repr(effect)) for at, effect in self.effects]

    def test_effects_are_those_of_a_node_without_the_restriction(self) -> None:
        bounded = self.play()
        self.has_cold_engines = False
        self.setUp()
        self.assertEqual(bounded, self.play())
        self.assertFalse(self.rates.has_rates)
        self.assertNotIn("yokeline_forwarding_engines_cold", edge_figures(self.node).gauges)
