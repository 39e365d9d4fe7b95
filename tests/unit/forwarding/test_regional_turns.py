"""Restricted turns that are kept: their texts are stored, read and cached in their regions only."""

from __future__ import annotations

import unittest

import msgspec

from tests.unit.forwarding.support import TABLE, Played
from tests.unit.forwarding.test_residency import NO_STORAGE, ZONE_REGIONS, restricted
from tests.unit.ledger.text_site import EDGE, TextSite
from yokeline.effects import Effect, HttpStreamEnd
from yokeline.forwarding.model import RoutingTable
from yokeline.forwarding.residency import DataResidency
from yokeline.ledger.messages import StoreText, TextAsk
from yokeline.ledger.operations import Granted, KeptTurn, NoSuchTurn, Reserve, Settle, Settled
from yokeline.ledger.regional_texts import mark_of
from yokeline.scheduling.eligibility import EligibilityPolicy

PATH = "/kept/x"
QUESTION, ANSWER = b"a private question ", b"word1\nword2\n"


class RegionalCase(unittest.TestCase):
    """A node in ``west``, with engines and four storage nodes in each of ``east`` and ``west``."""

    region = "west"
    regions: tuple[str, ...] = ("east",)
    storage: dict[str, int] = {"east": 4, "west": 4}

    def setUp(self) -> None:
        self.site = TextSite(**self.storage)
        self.kept: dict[str, KeptTurn] = {}
        self.begin_node()

    def begin_node(self) -> None:
        """Start a node without any state; storage nodes and the ledger keep theirs."""
        self.residency = DataResidency(self.region, ZONE_REGIONS)
        self.played = Played(
            eligibility=EligibilityPolicy((self.residency.restriction,)),
            residency=self.residency,
            zones=("east-1", "west-1"),
            texts=self.site.texts,
        )
        self.played.now = self.site.now
        self.site.handle_edge_effects = self.played.take
        self.use(restricted(TABLE, self.regions, prefix="/kept/"))

    def use(self, table: RoutingTable) -> None:
        self.played.forwarder.table = table

    def deliver_texts(self) -> None:
        """Deliver the messages between the node and storage nodes."""
        while self.played.text_messages:
            self.site.deliver(EDGE, self.played.text_messages.pop(0))

    def wait(self, seconds: float) -> None:
        end = self.site.now + seconds
        while self.site.now < end:
            self.deliver_texts()
            self.site.run(0.05)
            self.played.wait(max(0.0, self.site.now - self.played.now))
        self.deliver_texts()

    def reserve(self, path: str = PATH, body: bytes = QUESTION, previous: str = "") -> str:
        """Let a turn arrive and have it reserved; return its id."""
        fields = {"previous_turn": previous} if previous else {}
        name = self.played.turn(path, body, **fields)
        operations = self.played.operations()
        if not operations or not isinstance(operations[-1], Reserve):
            return name
        reservation = operations[-1]
        turns: list[KeptTurn] = []
        current = reservation.missing_from
        while current in self.kept:
            turns.insert(0, self.kept[current])
            current = self.kept[current].previous
        self.played.ledger_answers(Granted(turns=tuple(turns)))
        self.deliver_texts()
        return name

    def answer(self) -> None:
        self.played.engine_begins()
        self.played.engine_sends(1, 2)
        self.played.engine_ends()

    def keep(self) -> KeptTurn:
        """Have the ledger keep the turn that was settled last."""
        settled = self.played.operations()[-1]
        assert isinstance(settled, Settle) and settled.turn is not None
        self.kept[settled.turn.turn_id] = settled.turn
        self.played.ledger_answers(Settled())
        return settled.turn

    def play(self, path: str = PATH, body: bytes = QUESTION, previous: str = "") -> str:
        """Play a whole turn; return its id."""
        name = self.reserve(path, body, previous)
        self.answer()
        self.deliver_texts()
        self.keep()
        return name

    def assert_refused(self, reason: str, sent: int) -> None:
        self.assertEqual(self.played.replies[-1].status, 503)
        self.assertEqual(self.played.refusal()["error"], reason)
        self.assertEqual(len(self.played.sent), sent, "refused before it runs")

    def regions_asked(self, *kinds: type) -> set[str]:
        return {self.site.machines[name].region for name in self.site.received(*kinds)}


class Keeping(RegionalCase):
    def test_the_text_is_on_three_disks_of_the_region_before_the_turn_ends(self) -> None:
        name = self.reserve()
        self.answer()
        self.assertFalse(any(isinstance(item, Settle) for item in self.played.operations()))
        self.deliver_texts()
        self.assertEqual(len(self.site.holders(name)), 3)
        self.assertEqual(self.regions_asked(StoreText), {"east"})
        self.assertIsNone(self.played.stream_end(), "the ledger has not kept it yet")
        self.keep()
        self.assertEqual(self.played.stream_end(), HttpStreamEnd(exchange=name))  # type: ignore[arg-type]

    def test_the_ledger_gets_a_mark_in_place_of_the_text(self) -> None:
        turn = self.kept[self.play()]
        mark = mark_of(turn.text)
        assert mark is not None
        self.assertTrue(mark.matches(QUESTION + ANSWER))
        encoded = msgspec.msgpack.encode(turn)
        self.assertFalse(QUESTION in encoded or b"word1" in encoded)

    def test_no_log_line_has_a_part_of_the_text(self) -> None:
        self.play(previous=self.play())
        for line in self.played.logs:
            self.assertNotIn("private", str(line))
            self.assertNotIn("word1", str(line))

    def test_a_turn_that_cannot_be_stored_is_cut_and_the_next_is_refused_before_it_runs(
        self,
    ) -> None:
        for machine in self.site.machines.values():
            machine.is_paused = True
        self.reserve()
        self.answer()
        self.wait(4.0)
        end = self.played.stream_end()
        assert end is not None
        self.assertTrue(end.aborted)
        self.reserve()
        self.assert_refused(NO_STORAGE, sent=1)
        for machine in self.site.machines.values():
            machine.is_paused = False
        self.wait(1.5)
        self.play()
        self.assertEqual(len(self.played.sent), 2, "served soon after the nodes are back")

    def test_a_retiring_last_storage_node_of_the_region_gets_no_new_turn(self) -> None:
        for machine in self.site.machines.values():
            machine.is_retiring = machine.region == "east"
        self.site.list_nodes()
        self.reserve()
        self.assert_refused(NO_STORAGE, sent=0)

    def test_a_storage_node_in_an_unknown_zone_keeps_texts_out_of_the_ledger(self) -> None:
        """The ledger may replicate to it."""
        self.use(restricted(TABLE, ("east", "north", "west"), prefix="/kept/"))
        self.residency.set_storage_zones(["east-1", "elsewhere"])
        self.assertIsNotNone(mark_of(self.kept[self.play()].text))


class TwoNodes(RegionalCase):
    storage = {"east": 2, "west": 4}

    def test_a_region_with_two_storage_nodes_keeps_two_copies(self) -> None:
        self.assertEqual(len(self.site.holders(self.play())), 2)


class NoNodes(RegionalCase):
    storage = {"west": 5}

    def test_a_region_without_storage_nodes_refuses_turns_to_keep_before_they_run(self) -> None:
        self.reserve()
        self.assert_refused(NO_STORAGE, sent=0)
        self.assertEqual(self.played.operations(), [])


class Reading(RegionalCase):
    def test_a_later_turn_gets_the_whole_chain(self) -> None:
        first = self.play()
        second = self.play(body=b"more ", previous=first)
        self.begin_node()
        self.reserve(body=b"last", previous=second)
        body = self.played.sent[-1].body
        self.assertEqual(body, QUESTION + ANSWER + b"more " + ANSWER + b"last")
        self.assertEqual(self.played.engine_of(), "models-0")
        self.assertEqual(self.regions_asked(TextAsk), {"east"})

    def test_a_node_outside_of_the_regions_caches_no_text(self) -> None:
        first = self.play()
        self.site.delivered.clear()
        self.play(previous=first)
        self.assertEqual(len(self.site.received(TextAsk)), 1, "it reads what it wrote itself")

    def test_two_lost_disks_do_not_stop_a_chain(self) -> None:
        first = self.play()
        for name in sorted(self.site.holders(first))[:2]:
            self.site.lose_disk(self.site.machines[name])
        self.begin_node()
        self.reserve(previous=first)
        self.wait(1.0)
        self.assertTrue(self.played.sent[-1].body.startswith(QUESTION + ANSWER))

    def test_without_a_copy_the_turn_is_refused_and_never_unknown(self) -> None:
        first = self.play()
        for name in self.site.holders(first):
            self.site.stop(self.site.machines[name])
        self.begin_node()
        self.reserve(previous=first)
        self.wait(2.5)
        self.assert_refused("history_unreachable", sent=0)
        settled = self.played.operations()[-1]
        assert isinstance(settled, Settle)
        self.assertEqual((settled.tokens, settled.turn), (0, None))

    def test_an_expired_turn_is_unknown_as_ever(self) -> None:
        self.played.turn(PATH, QUESTION, prev_turn="gone")
        self.played.ledger_answers(NoSuchTurn(turn_id="gone"))
        self.assertEqual(self.played.replies[-1].status, 404)

    def test_a_caller_that_leaves_while_texts_are_read_ends_the_turn(self) -> None:
        first = self.play()
        for machine in self.site.machines.values():
            machine.is_paused = True
        self.begin_node()
        name = self.reserve(previous=first)
        self.played.leave(name)
        self.wait(3.0)
        self.assertEqual((self.played.sent, self.played.forwarder.under_way), ([], 0))


class ChangedRegions(RegionalCase):
    def test_a_history_outside_of_the_new_regions_is_refused(self) -> None:
        first = self.play()
        self.use(restricted(TABLE, ("west",), prefix="/kept/"))
        self.site.delivered.clear()
        self.reserve(previous=first)
        self.assert_refused("history_outside_allowed_regions", sent=1)
        self.assertEqual(self.site.delivered, [], "nothing is read")

    def test_a_text_that_is_not_in_the_regions_left_is_refused(self) -> None:
        """Its three copies may all be in the region that is not allowed any more."""
        self.use(restricted(TABLE, ("east", "west"), prefix="/kept/"))
        first = self.play()
        for machine in self.site.machines.values():
            if machine.region == "west":
                self.site.stop(machine)
        self.use(restricted(TABLE, ("west",), prefix="/kept/"))
        self.site.delivered.clear()
        self.begin_node()
        self.use(restricted(TABLE, ("west",), prefix="/kept/"))
        self.reserve(previous=first)
        self.wait(2.5)
        self.assert_refused("history_outside_allowed_regions", sent=0)
        self.assertLessEqual(self.regions_asked(TextAsk), {"west"})

    def test_a_chain_stays_bound_when_the_restriction_is_lifted(self) -> None:
        """Its texts must not be sent to engines that its turns were kept from."""
        first = self.play()
        self.begin_node()
        self.use(msgspec.structs.replace(TABLE, version=9))
        self.play(previous=first)
        self.assertEqual(self.played.engine_of(), "models-0")
        self.assertIsNotNone(mark_of(list(self.kept.values())[-1].text))

    def test_turns_kept_without_a_restriction_go_on_within_the_new_one(self) -> None:
        self.use(msgspec.structs.replace(TABLE, version=8))
        first = self.play()
        self.assertIsNone(mark_of(self.kept[first].text))
        self.use(restricted(msgspec.structs.replace(TABLE, version=9), ("east",)))
        second = self.play(body=b"more ", previous=first)
        self.assertEqual(self.played.sent[-1].body, QUESTION + ANSWER + b"more ")
        self.assertEqual(self.played.engine_of(), "models-0")
        self.assertIsNotNone(mark_of(self.kept[second].text))
        self.reserve(previous=second)
        reservation = self.played.operations()[-1]
        assert isinstance(reservation, Reserve)
        self.assertEqual(reservation.missing_from, first, "not cached outside of the regions")

    def test_a_turn_under_way_is_kept_by_the_newer_configuration(self) -> None:
        self.use(msgspec.structs.replace(TABLE, version=8))
        name = self.reserve()
        self.use(restricted(msgspec.structs.replace(TABLE, version=9), ("east",)))
        self.answer()
        self.deliver_texts()
        self.assertIsNotNone(mark_of(self.keep().text))
        self.assertEqual(len(self.site.holders(name)), 3)


class InsideTheRegions(RegionalCase):
    regions = ("west",)

    def test_a_node_of_the_regions_reads_from_its_cache(self) -> None:
        first = self.play()
        self.play(previous=first)
        self.assertEqual(self.site.received(TextAsk), set())
        self.assertEqual(self.played.sent[-1].body, QUESTION + ANSWER + QUESTION)


class Inactive(unittest.TestCase):
    def play(self, played: Played) -> list[object]:
        """Play calls, retries and a kept chain; return everything that the node did."""
        first = played.turn(PATH, QUESTION)
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_sends(1, 2)
        played.engine_ends()
        played.ledger_answers(Settled())
        played.turn(PATH, b"more ", previous_turn=first)
        played.ledger_answers(Granted())
        played.engine_breaks()
        for number in range(6):
            played.request("/look-twice/x", affinity_key=f"k{number % 2}")
            if number % 3 == 0:
                played.engine_breaks()
        played.wait(1.0)
        return [played.sent, played.replies, played.stream, played.asked, played.logs]

    def test_without_allowed_regions_a_node_does_exactly_the_same(self) -> None:
        """Guards against a cost or another order of effects in other deployments."""
        plain = Played(zones=("east-1", "west-1"))
        site = TextSite(east=4, west=4)
        residency = DataResidency("west", ZONE_REGIONS)
        residency.set_storage_zones(["east-1", "west-1", "elsewhere"])
        regional = Played(
            zones=("east-1", "west-1"),
            eligibility=EligibilityPolicy((residency.restriction,)),
            residency=residency,
            texts=site.texts,
        )
        self.assertEqual(self.play(plain), self.play(regional))
        self.assertIsNone(site.texts.next_deadline())


class Unrestricted(RegionalCase):
    def begin_node(self) -> None:
        super().begin_node()
        self.use(msgspec.structs.replace(TABLE, version=9))

    def test_nothing_is_stored_regionally(self) -> None:
        effects: list[Effect] = []
        self.site.handle_edge_effects = effects.extend
        turn = self.kept[self.play()]
        self.assertEqual(turn.text, QUESTION + ANSWER)
        self.assertEqual((self.site.delivered, effects), ([], []))
