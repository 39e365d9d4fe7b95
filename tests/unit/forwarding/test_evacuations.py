"""Evacuation orders from the registry to the engines that a node sends to."""

from __future__ import annotations

import json
import random
import unittest

from tests.unit.forwarding.support import Played
from tests.unit.forwarding.test_edge_node import PlayedNode
from yokeline.effects import (
    Address,
    DatagramArrived,
    Effect,
    HttpFailed,
    HttpReply,
    HttpRequest,
    HttpResponse,
    LogRecord,
    PeerMessage,
    SendPeer,
    Tick,
)
from yokeline.forwarding.evacuations import EvacuationEnd
from yokeline.forwarding.metrics import edge_figures
from yokeline.forwarding.model import Engine
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.messages import LoadReport, RegistryAsk, RegistryItem, RegistryNews
from yokeline.ledger.operations import CachedContext, Granted
from yokeline.registry.protocol import HistoryLost, Page, RegistryAnswer, StoredItem, WatchEvents
from yokeline.scheduling.eligibility import EligibilityPolicy
from yokeline.scheduling.retry_delays import MAX_DELAY_SECONDS
from yokeline.scheduling.zone_evacuation import ZoneEvacuations

ORDER_A, ORDER_B = "op/evacuate/a", "op/evacuate/b"
CONFIGURATION = b'{"version": 1, "routes": [], "services": []}'
WATCHER = ReplicaId("edge-0~7")
WATCHER_ADDRESS = Address("10.0.0.9", 1)
EVACUATION_SECONDS = 5.0
ZONE_A_APPS = {"apps-0", "apps-1"}


def put(key: str, revision: int) -> StoredItem:
    return StoredItem(key, b"any value", revision)


def gone(key: str, revision: int) -> StoredItem:
    return StoredItem(key, None, revision)


def put_engines_of_zone_b(played: Played) -> None:
    """Add an engine to each pool, beside the two of zone a."""
    for pool in ("models", "apps"):
        played.engines.put(
            Engine(
                engine_id=f"{pool}-b",
                pool=pool,
                address=Address("10.2.0.1", 80),
                zone="b",
                slots=4,
            )
        )


def engines_of(effects: list[Effect]) -> list[str]:
    """Return the engines that requests were sent to."""
    headers = [dict(item.header_items) for item in effects if isinstance(item, HttpRequest)]
    return [item["x-yokeline-expect-instance"] for item in headers if len(item) > 2]


class EvacuatingNode(PlayedNode):
    """A node that watches the key-value service, with two engines in zone a and one in b."""

    prefixes = ("",)
    evacuation_seconds = EVACUATION_SECONDS

    def setUp(self) -> None:
        super().setUp()
        put_engines_of_zone_b(self.played)
        self.ends: list[EvacuationEnd] = []
        assert self.node.evacuations is not None
        self.node.evacuations.on_ended = self.note_end
        self._requests = 0

    def note_end(self, end: EvacuationEnd) -> list[Effect]:
        self.ends.append(end)
        return []

    # ------------------------------------------------------------ key-value service

    def start(self, *items: StoredItem, revision: int = 10) -> None:
        """Let the first list find ``items``."""
        self.answer("list", Page(items, False, revision))
        self.wait(1.5)

    def watch(self, *events: StoredItem) -> None:
        """Let a watch request report changes."""
        self.answer("watch", WatchEvents(events, events[-1].revision))

    def answer(self, kind: str, answer: RegistryAnswer) -> None:
        self.store.next_answer = answer
        self.hand(HttpResponse(request=self.call(kind).request, status=200))

    def call(self, kind: str) -> HttpRequest:
        """Return the latest request of a kind to the service, and wait for it if needed."""
        for _ in range(100):
            self.hand(Tick())
            calls = [item for _, item in self.effects if isinstance(item, HttpRequest)]
            calls = [item for item in calls if item.path.startswith(("list", "watch"))]
            if calls and calls[-1].path.startswith(kind):
                return calls[-1]
            self.now += 0.02
        raise AssertionError(f"no {kind}")

    # ------------------------------------------------------------ requests

    def engine(self, path: str = "/look-twice/x", *, ends: bool = True) -> str:
        """Send a request and return its engine; empty if it was not sent."""
        self._requests += 1
        sent = self.request(f"r{self.now}-{self._requests}", path)
        if sent and ends:
            self.hand(HttpResponse(request=sent[-1].request, status=200, body=b"ok"))
        return "".join(engines_of(list(sent)))

    def engines(self, count: int = 6) -> set[str]:
        """Return the engines of concurrent requests."""
        return {self.engine(ends=False) for _ in range(count)}

    def lines(self, event: str) -> list[dict[str, object]]:
        return [
            dict(item.fields)
            for _, item in self.effects
            if isinstance(item, LogRecord) and item.event == event
        ]

    def replies(self) -> list[HttpReply]:
        return [item for _, item in self.effects if isinstance(item, HttpReply)]


class Orders(EvacuatingNode):
    def test_before_an_order_both_zones_are_used(self) -> None:
        self.start()
        self.assertGreaterEqual(self.engines(), ZONE_A_APPS)

    def test_after_an_order_no_request_goes_to_the_zone(self) -> None:
        self.start()
        self.watch(put(ORDER_A, 11))
        self.assertEqual(self.engines(), {"apps-b"})

    def test_an_order_counts_whatever_its_value(self) -> None:
        self.start()
        self.watch(StoredItem(ORDER_A, b"", 11))
        self.assertEqual(self.engine(), "apps-b")

    def test_the_queue_counts_the_other_zones_as_soon_as_the_order_is_read(self) -> None:
        """A view of the capacity is otherwise used for up to 50 ms."""
        self.start()
        views = self.played.forwarder._dispatcher._admission._views
        self.call("watch")
        self.assertEqual(views.of("apps", self.now).slots, 12)
        self.watch(put(ORDER_A, 11))
        self.assertEqual(views.of("apps", self.now).slots, 4)

    def test_an_order_is_logged_and_counted(self) -> None:
        self.start()
        figures = edge_figures(self.node).gauges
        self.assertEqual(figures["yokeline_forwarding_zones_evacuated"], 0.0)
        self.watch(put(ORDER_A, 11))
        (line,) = self.lines("zone_evacuation_began")
        self.assertEqual((line["zone"], line["revision"]), ("a", 11))
        self.assertLess(line["age"], 1.6)  # type: ignore[operator]
        self.engine()
        figures = edge_figures(self.node).gauges
        self.assertEqual(figures["yokeline_forwarding_zones_evacuated"], 1.0)
        name = 'yokeline_forwarding_sends_restricted_total{cause="zone_evacuated"}'
        self.assertEqual(edge_figures(self.node).counters[name], 1.0)

    def test_when_it_is_withdrawn_the_zone_is_used_and_its_engines_are_told(self) -> None:
        """They may have become cold meanwhile."""
        self.start()
        self.watch(put(ORDER_A, 11))
        self.engine()
        self.now += 1.0
        self.watch(gone(ORDER_A, 12))
        self.assertGreaterEqual(self.engines(), ZONE_A_APPS)
        (end,) = self.ends
        self.assertEqual(end.zone, "a")
        self.assertEqual(end.engine_ids, ("apps-0", "apps-1", "models-0", "models-1"))
        (line,) = self.lines("zone_evacuation_ended")
        self.assertEqual((line["zone"], line["revision"]), ("a", 12))
        self.assertGreaterEqual(line["age"], 1.0)  # type: ignore[operator]

    def test_order_end_and_order_in_one_answer_end_as_an_order(self) -> None:
        self.start()
        self.watch(put(ORDER_A, 11), gone(ORDER_A, 12), put(ORDER_A, 13))
        self.assertEqual(self.engine(), "apps-b")
        self.assertEqual(len(self.lines("zone_evacuation_began")), 2)
        self.assertEqual(len(self.ends), 1)

    def test_order_end_order_and_end_leave_the_zone_in_use(self) -> None:
        self.start()
        self.watch(put(ORDER_A, 11), gone(ORDER_A, 12))
        self.watch(put(ORDER_A, 13), gone(ORDER_A, 14))
        self.assertGreaterEqual(self.engines(), ZONE_A_APPS)

    def test_a_new_engine_of_the_zone_gets_nothing(self) -> None:
        """A rolling replacement goes on while the zone is evacuated."""
        self.start()
        document = {
            "service": "apps",
            "address": "10.5.0.1:80",
            "zone": "a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
        }
        self.watch(put(ORDER_A, 11))
        self.watch(StoredItem("servers/i-9", json.dumps(document).encode(), 12))
        self.assertIsNotNone(self.played.engines.get("i-9"))
        self.assertEqual(self.engines(), {"apps-b"})


class LateOrders(EvacuatingNode):
    """Ways by which an order reaches a node other than its watch request."""

    def hear(self, revision: int) -> list[Effect]:
        """Let a load report say that another node has read a revision."""
        report = LoadReport(
            node=NodeName("edge-0"),
            sequence=int(self.now * 100),
            loads=(),
            revision=revision,
            process=WATCHER,
            address=WATCHER_ADDRESS,
            watches=True,
        )
        return self.hand(DatagramArrived(source=WATCHER_ADDRESS, message=report))

    def news(self, *items: StoredItem, since: int = 0) -> None:
        rows = tuple(RegistryItem(item.key, item.value, item.revision) for item in items)
        message = RegistryNews(revision=items[-1].revision, since=since, items=rows)
        self.hand(PeerMessage(sender=WATCHER, message=message))

    def test_a_node_that_lags_sends_to_the_zone_only_until_it_has_read_the_order(self) -> None:
        self.start()
        self.hear(11)
        self.assertEqual(self.engine(), "apps-0")
        self.now += 0.5
        asked = [
            item
            for item in self.hear(11)
            if isinstance(item, SendPeer) and isinstance(item.message, RegistryAsk)
        ]
        self.assertEqual([item.to for item in asked], [WATCHER])
        self.news(put(ORDER_A, 11), since=10)
        self.assertEqual(self.engines(), {"apps-b"})

    def test_a_node_that_the_service_refuses_reads_the_order_from_another_one(self) -> None:
        """The service refuses a third of the nodes while the operator writes the order."""
        self.start()
        for _ in range(4):
            self.hand(HttpFailed(request=self.call("watch").request, sent=True, reason="refused"))
            self.wait(1.0)
        self.hear(11)
        self.now += 0.5
        self.hear(11)
        self.news(put(ORDER_A, 11), since=10)
        self.assertEqual(self.engines(), {"apps-b"})
        (line,) = self.lines("zone_evacuation_began")
        self.assertEqual(line["sessions_seconds"], 0.0, "the order may be seconds old")

    def test_a_restarted_node_sends_nothing_to_the_zone_from_its_first_request_on(self) -> None:
        self.start(put(ORDER_A, 7), StoredItem("op/config", CONFIGURATION, 3))
        self.assertTrue(self.node.ready)
        self.assertEqual(self.engines(), {"apps-b"})
        (line,) = self.lines("zone_evacuation_began")
        self.assertEqual((line["age"], line["sessions_seconds"]), (None, 0.0))

    def test_a_node_that_starts_from_another_ones_snapshot_knows_the_order(self) -> None:
        """The service refuses the node from its start on."""
        self.news(put(ORDER_A, 11))
        self.assertEqual(self.engines(), {"apps-b"})

    def test_an_end_that_was_lost_with_the_history_is_known_by_the_list(self) -> None:
        self.start()
        self.watch(put(ORDER_A, 11))
        self.answer("watch", HistoryLost())
        self.assertEqual(self.engine(), "apps-b")
        self.answer("list", Page((), False, 14))
        self.assertGreaterEqual(self.engines(), ZONE_A_APPS)
        self.assertEqual([end.zone for end in self.ends], ["a"])

    def test_an_order_that_was_lost_with_the_history_is_known_by_the_list(self) -> None:
        self.start()
        self.answer("watch", HistoryLost())
        self.answer("list", Page((put(ORDER_A, 13),), False, 14))
        self.assertEqual(self.engines(), {"apps-b"})

    def test_an_end_and_a_new_order_that_were_lost_leave_the_zone_evacuated(self) -> None:
        self.start()
        self.watch(put(ORDER_A, 11))
        self.answer("watch", HistoryLost())
        self.answer("list", Page((put(ORDER_A, 13),), False, 14))
        self.assertEqual(self.engines(), {"apps-b"})
        self.watch(gone(ORDER_A, 15))
        self.assertEqual(len(self.ends), 1)


class WithoutEvacuations(EvacuatingNode):
    evacuation_seconds = 0.0

    def test_a_deployment_without_a_bound_ignores_orders(self) -> None:
        self.start()
        self.watch(put(ORDER_A, 11))
        self.assertGreaterEqual(self.engines(), ZONE_A_APPS)
        self.assertEqual(self.lines("zone_evacuation_began"), [])
        name = "yokeline_forwarding_zones_evacuated"
        self.assertNotIn(name, edge_figures(self.node).gauges)


class AllZones(EvacuatingNode):
    def evacuate_all(self) -> None:
        self.watch(put(ORDER_A, 11), put(ORDER_B, 12))

    def test_a_call_is_refused_at_once_and_not_run(self) -> None:
        self.start()
        self.evacuate_all()
        for path in ("/look/x", "/look-twice/x", "/fix/x"):
            self.assertEqual(self.engine(path), "")
            reply = self.replies()[-1]
            self.assertEqual(reply.status, 503)
            self.assertEqual(json.loads(reply.body)["error"], "no_engine")
            retry_after = float(reply.headers["retry-after"])
            self.assertGreater(retry_after, 0.0)
            self.assertLessEqual(retry_after, MAX_DELAY_SECONDS)

    def test_one_that_waits_is_refused_when_the_order_is_read(self) -> None:
        self.start()
        for _ in range(24):
            self.engine("/fix/x", ends=False)
        before = len(self.replies())
        self.engine("/fix/x", ends=False)
        self.assertEqual(len(self.replies()), before, "it waits")
        self.evacuate_all()
        self.assertEqual([reply.status for reply in self.replies()[before:]], [503])

    def test_calls_are_served_again_when_one_zone_returns(self) -> None:
        self.start()
        self.evacuate_all()
        self.assertEqual(self.engine(), "")
        self.watch(gone(ORDER_B, 13))
        self.assertEqual(self.engine(), "apps-b")


class Requests(unittest.TestCase):
    """Requests of all kinds at a node that learns of an order while they are under way."""

    def setUp(self) -> None:
        self.zones = ZoneEvacuations(EVACUATION_SECONDS)
        self.played = Played(eligibility=EligibilityPolicy((self.zones,)))
        put_engines_of_zone_b(self.played)
        self.revision = 10

    def order(self, zone: str = "a", *, is_recent: bool = False) -> None:
        self.revision += 1
        max_age = 0.0 if is_recent else float("inf")
        self.zones.apply(zone, self.revision, True, self.played.now, max_age=max_age)
        self.played.forwarder.forget_capacity()

    def session_turn(self, cached_tokens: int = 5_000) -> str:
        """Let a turn arrive whose context is cached at an engine of zone a; return its engine."""
        played, before = self.played, len(self.played.sent)
        usage = {"token_usage": "6000,50", "token_budget": "100000"}
        played.turn("/turn/x", session_id="s", **usage)
        context = CachedContext(engine_id="models-1", tokens=cached_tokens)
        played.ledger_answers(Granted(spent=10, context=context))
        return played.engine_of() if len(played.sent) > before else ""

    def test_a_turn_is_refused_before_the_ledger_is_asked(self) -> None:
        self.order("a")
        self.order("b")
        self.played.turn()
        self.assertEqual(self.played.operations(), [])
        self.assertEqual(self.played.replies[-1].status, 503)
        self.assertEqual(self.played.sent, [])

    def test_callers_return_late_since_an_operator_has_to_act_first(self) -> None:
        """A turn of 3 s bears a third of that; after a lack of capacity it returns in 0.2 s."""
        self.order("a")
        self.order("b")
        for number in range(20):
            self.played.turn(program_id=f"p{number}")
            retry_after = float(self.played.replies[-1].headers["retry-after"])
            self.assertGreaterEqual(retry_after, 0.5)
            self.assertLessEqual(retry_after, 1.0)

    def test_a_turn_that_waits_for_the_ledger_is_refused_when_it_is_granted(self) -> None:
        self.played.turn()
        self.order("a")
        self.order("b")
        self.played.ledger_answers(Granted())
        self.assertEqual(self.played.replies[-1].status, 503)
        self.assertEqual(self.played.sent, [])

    def test_a_retry_under_way_as_the_order_came_goes_to_another_zone(self) -> None:
        self.played.request("/look-twice/x")
        self.assertEqual(self.played.engine_of(), "apps-0")
        self.order("a")
        self.played.engine_breaks()
        self.assertEqual([self.played.engine_of(i) for i in (0, 1)], ["apps-0", "apps-b"])

    def test_a_retry_that_waits_for_its_delay_does_not_return_to_the_zone(self) -> None:
        """Its attempts are used up, so it may only return to the engine that had it."""
        self.played.request("/look/x")
        engine = self.played.engine_of()
        self.played.engine_breaks()
        self.played.engine_breaks()
        sends = len(self.played.sent)
        self.assertEqual({self.played.engine_of(i) for i in range(sends)}, {engine})
        self.order("a" if engine != "apps-b" else "b")
        self.played.wait(0.5)
        self.assertEqual(len(self.played.sent), sends)
        self.assertEqual(self.played.replies[-1].status, 502)

    def test_a_late_call_is_not_repeated_in_the_zone(self) -> None:
        for _ in range(20):
            self.played.request("/look-twice/x")
            self.played.now += 0.01
            self.played.engine_answers()
        self.played.request("/look-twice/x")
        self.order("a")
        sends = len(self.played.sent)
        self.played.wait(1.0)
        repeated = [self.played.engine_of(i) for i in range(sends, len(self.played.sent))]
        self.assertEqual(set(repeated), {"apps-b"})

    def test_a_request_that_runs_in_the_zone_ends_there(self) -> None:
        self.played.request("/look-twice/x")
        self.order("a")
        self.played.engine_answers()
        self.assertEqual(self.played.replies[-1].status, 200)
        self.assertEqual(len(self.played.sent), 1)

    def test_a_session_stays_with_its_context_for_a_while_and_then_moves(self) -> None:
        self.assertEqual(self.session_turn(), "models-1")
        self.order(is_recent=True)
        self.assertEqual(self.session_turn(), "models-1")
        self.played.now += 0.9
        self.assertEqual(self.session_turn(), "models-b")

    def test_a_session_may_stay_though_one_before_it_finds_all_engines_full(self) -> None:
        """The dispatcher remembers that engines are full; a session may go where others may not."""
        played = self.played
        self.order("a", is_recent=True)
        for number in range(5):
            played.turn(program_id=f"p{number}")
            played.ledger_answers(Granted(spent=10))
        self.assertEqual({played.engine_of(i) for i in range(5)}, {"models-b"})
        played.turn(program_id="waits")
        played.ledger_answers(Granted(spent=10))
        self.assertEqual(len(played.sent), 5)
        self.assertEqual(played.forwarder.waiting(), {"models": 1})
        self.assertEqual(self.session_turn(), "models-1")
        self.assertEqual(played.forwarder.waiting(), {"models": 1})

    def test_a_new_program_moves_at_once(self) -> None:
        self.order(is_recent=True)
        for number in range(3):
            self.played.turn(program_id=f"p{number}")
            self.played.ledger_answers(Granted())
        self.assertEqual({self.played.engine_of(i) for i in range(3)}, {"models-b"})

    def test_in_a_burst_capacity_is_what_the_other_zones_have_from_the_order_on(self) -> None:
        """Else the queue admits turns for slots that they cannot get."""
        played = self.played
        placement = played.forwarder._state.placement
        views = played.forwarder._dispatcher._admission._views
        for number in range(14):
            played.turn(program_id=f"p{number}")
            played.ledger_answers(Granted())
        self.assertEqual(views.of("models", played.now).slots, 12)
        self.order("a")
        self.assertEqual(placement.usable_slots_in_pool("models", played.now), 4)
        self.assertEqual(views.of("models", played.now).slots, 4)


class Lateness(unittest.TestCase):
    """The last send of a fleet, from the acknowledgement of the order."""

    def test_all_nodes_end_within_half_the_bound(self) -> None:
        """Nodes learn of an order up to 1.5 s late and send sessions with cached context on."""
        source = random.Random(4)
        for _ in range(40):
            requests = Requests()
            requests.setUp()
            delay = source.uniform(0.0, 1.5)
            ordered_at = requests.played.now
            requests.played.now += delay
            requests.order(is_recent=True)
            while requests.played.now < ordered_at + EVACUATION_SECONDS:
                after = requests.played.now - ordered_at
                if requests.session_turn() != "models-b":
                    self.assertLessEqual(after, EVACUATION_SECONDS / 2)
                requests.played.now += 0.25
                requests.played.engine_begins()
                requests.played.engine_sends(1)
                requests.played.engine_ends()
