"""Texts of restricted turns stay on storage nodes of their regions and survive two lost disks."""

from __future__ import annotations

import itertools
import unittest

import msgspec

from tests.unit.ledger.text_site import EDGE, EDGE_ADDRESS, TextSite, stores, text_of
from yokeline.effects import Effect, SendPeer, SyncFile
from yokeline.ledger.messages import RegionalText, StoreText, TextAsk, TextOffer, TextStored
from yokeline.ledger.regional_text_store import (
    MAX_DEAD_SECONDS,
    RecoveredTexts,
    RegionalTextStore,
    recover_texts,
)
from yokeline.ledger.regional_texts import (
    EXPIRY_SLACK_SECONDS,
    RegionalMark,
    digest_of,
    mark_of,
    marked,
    ranked,
)

REPAIR_SECONDS = 12.0
"""Time within which lost copies are made again: absence of a node and a turn of each other one."""


class Marks(unittest.TestCase):
    def test_a_mark_holds_no_part_of_the_text(self) -> None:
        text = b"a secret of the east"
        held = marked(text, {"west", "east"})
        self.assertNotIn(b"secret", held)
        mark = mark_of(held)
        assert mark is not None
        self.assertEqual(mark.regions, ("east", "west"))
        self.assertTrue(mark.matches(text))
        self.assertFalse(mark.matches(text + b" "))

    def test_a_text_is_no_mark_even_if_it_begins_like_one(self) -> None:
        """Guards against a caller's text that stops a node, or is taken for another turn's."""
        self.assertIsNone(mark_of(b"hello"))
        begin = marked(b"", ())[:20]
        for text in (begin, begin + b"\xff\xff", marked(b"x", ("a",))[:-3]):
            self.assertIsNone(mark_of(text))


class Placement(unittest.TestCase):
    def setUp(self) -> None:
        self.site = TextSite(east=5, west=5)
        self.east = {name for name, item in self.site.machines.items() if item.region == "east"}

    def test_a_text_is_on_three_disks_of_its_region_before_it_is_acknowledged(self) -> None:
        for number in range(20):
            self.assertEqual(self.site.store(f"t{number}", "east"), 3)
            holders = self.site.holders(f"t{number}")
            self.assertEqual(len(holders), 3)
            self.assertLessEqual(holders, self.east)
        self.assertEqual(self.site.received(StoreText), self.east, "spread over the nodes")

    def test_an_unsynced_copy_is_not_acknowledged(self) -> None:
        """Guards against a text in memory only, which a loss of power takes."""
        for name in self.east:
            self.site.machines[name].disk_hangs = True
        self.assertEqual(self.site.store("t", "east", limit=1.0), 0)

    def test_a_silent_node_is_replaced_by_another_of_the_region(self) -> None:
        self.site.store("t", "east")
        paused = sorted(self.site.holders("t"))[0]
        self.site.machines[paused].is_paused = True
        self.assertEqual(self.site.store("u", "east", root="t"), 3)
        self.assertLessEqual(self.site.holders("u"), self.east - {paused})

    def test_a_storage_node_of_another_region_refuses_a_text(self) -> None:
        """Guards against a forwarding node with other settings."""
        stranger = next(item for name, item in self.site.machines.items() if name not in self.east)
        machine = self.site.machines["storage-0"]
        machine.is_listed = False
        renamed = msgspec.structs.replace(stranger.node, region="east")
        others = [self.site.machines[name].node for name in sorted(self.east)[:1]]
        self.site.texts.set_nodes([*others, renamed])
        self.site.store("t", "east", limit=1.0)
        self.assertNotIn(stranger.name, self.site.holders("t"))

    def test_a_region_with_two_nodes_gets_two_copies(self) -> None:
        site = TextSite(east=2, west=5)
        self.assertTrue(site.texts.can_store(("east",), site.now))
        self.assertEqual(site.store("t", "east"), 2)

    def test_without_a_storage_node_in_the_region_nothing_is_stored(self) -> None:
        site = TextSite(west=5)
        self.assertFalse(site.texts.can_store(("east",), site.now))
        self.assertEqual(site.store("t", "east", limit=0.5), 0)
        self.assertEqual(site.received(StoreText), set())

    def test_nodes_that_do_not_answer_count_as_absent_before_the_next_turn(self) -> None:
        """A turn that cannot be kept is to be refused before it runs."""
        for name in self.east:
            self.site.machines[name].is_paused = True
        self.assertTrue(self.site.texts.can_store(("east",), self.site.now))
        self.assertEqual(self.site.store("t", "east", limit=1.5), 0)
        self.assertFalse(self.site.texts.can_store(("east",), self.site.now))

    def test_the_order_of_nodes_does_not_depend_on_their_disks(self) -> None:
        nodes = [item.node for item in self.site.machines.values()]
        changed = [msgspec.structs.replace(node, replica=f"{node.name}~9") for node in nodes]
        before, after = ranked(nodes, "root"), ranked(reversed(changed), "root")
        self.assertEqual([node.name for node in before], [node.name for node in after])


class Reads(unittest.TestCase):
    def setUp(self) -> None:
        self.site = TextSite(east=4, west=3)
        previous = ""
        for number in range(4):
            self.site.store(f"t{number}", "east", previous=previous, root="t0")
            previous = f"t{number}"
        self.chain = tuple(f"t{number}" for number in range(4))
        self.site.delivered.clear()

    def test_a_chain_is_read_from_one_node_of_the_region(self) -> None:
        self.assertEqual(self.site.fetch(*self.chain, root="t0"), set(self.chain))
        self.assertEqual(len(self.site.received(TextAsk)), 1)

    def test_a_chain_survives_the_loss_of_any_two_disks_at_once(self) -> None:
        names = [name for name, item in self.site.machines.items() if item.region == "east"]
        for lost in itertools.combinations(names, 2):
            site = TextSite(east=4, west=3)
            site.store("t", "east")
            for name in lost:
                site.lose_disk(site.machines[name])
            self.assertEqual(site.fetch("t"), {"t"}, lost)

    def test_no_node_outside_of_the_regions_is_asked(self) -> None:
        for name in self.site.holders("t0"):
            self.site.stop(self.site.machines[name])
        self.assertEqual(self.site.fetch(*self.chain, root="t0"), set())
        regions = {self.site.machines[name].region for name in self.site.received(TextAsk)}
        self.assertLessEqual(regions, {"east"})

    def test_a_history_outside_of_the_new_regions_is_not_read(self) -> None:
        self.assertEqual(self.site.fetch(*self.chain, root="t0", regions=("west",)), set())
        self.assertEqual(self.site.fetch(*self.chain, root="t0", regions=()), set())
        regions = {self.site.machines[name].region for name in self.site.received(TextAsk)}
        self.assertEqual(regions, {"west"})

    def test_a_copy_that_differs_from_its_digest_is_not_used(self) -> None:
        results: list[dict[str, bytes]] = []
        wanted = {"t0": RegionalMark(digest_of(b"other"), len(text_of("t0")), ("east",))}
        effects = self.site.texts.fetch(
            wanted,
            "t0",
            ("east",),
            lambda found, now: results.append(found) or [],  # type: ignore[func-returns-value]
            self.site.now,
            self.site.now + 2.0,
        )
        self.site.carry_out("edge~1", effects)  # type: ignore[arg-type]
        self.site.run(2.0)
        self.assertEqual(results, [{}])
        self.assertGreater(self.site.texts.counts["mismatched"], 0)

    def test_texts_survive_a_restart_and_a_torn_write(self) -> None:
        for machine in self.site.machines.values():
            self.site.stop(machine)
            machine.disk += b"\x00\x00\x01\x00torn"
            self.site.start(machine)
        self.site.list_nodes()
        self.assertEqual(self.site.fetch(*self.chain, root="t0"), set(self.chain))


class Repair(unittest.TestCase):
    def setUp(self) -> None:
        self.site = TextSite(east=4, west=4)
        for number in range(6):
            self.site.store(f"t{number}", "east")
        self.site.run(REPAIR_SECONDS)
        self.east = {name for name, item in self.site.machines.items() if item.region == "east"}

    def assert_whole(self, site: TextSite, copies: int = 3) -> None:
        for number in range(6):
            holders = site.holders(f"t{number}")
            self.assertGreaterEqual(len(holders), copies)
            self.assertEqual({site.machines[name].region for name in holders}, {"east"})

    def test_whole_texts_are_checked_once_and_not_copied(self) -> None:
        self.assertEqual(stores(self.site), 18)
        self.site.delivered.clear()
        self.site.run(REPAIR_SECONDS)
        self.assertEqual(stores(self.site), 0)
        offers = [item for _, item in self.site.delivered if isinstance(item, TextOffer)]
        self.assertFalse(any(offer.turn_ids for offer in offers))

    def test_copies_on_a_lost_disk_are_made_again_on_its_new_disk(self) -> None:
        machine = self.site.machines["storage-1"]
        self.site.lose_disk(machine)
        self.site.start(machine)
        self.site.list_nodes()
        self.site.run(REPAIR_SECONDS)
        self.assert_whole(self.site)

    def test_two_losses_after_each_other_lose_no_text(self) -> None:
        """Three of four disks are lost in all, two at once: the copies are made again between."""
        for lost in (("storage-0", "storage-1"), ("storage-2",)):
            for name in lost:
                self.site.lose_disk(self.site.machines[name])
            self.site.run(1.0)
            for name in lost:
                self.site.start(self.site.machines[name])
            self.site.list_nodes()
            self.site.run(REPAIR_SECONDS)
            self.assert_whole(self.site)

    def test_a_machine_that_stays_away_is_replaced_in_its_region(self) -> None:
        self.site.lose_disk(self.site.machines["storage-1"])
        self.site.run(2 * REPAIR_SECONDS)
        for number in range(6):
            left = self.site.holders(f"t{number}") - {"storage-1"}
            self.assertEqual(len(left), 3)
        self.assert_whole(self.site)

    def test_a_new_storage_node_of_another_region_gets_no_text(self) -> None:
        machine = self.site.add("west")
        self.site.lose_disk(self.site.machines["storage-1"])
        self.site.list_nodes()
        self.site.run(2 * REPAIR_SECONDS)
        self.assertEqual(machine.disk, b"")
        kinds = (StoreText, TextOffer, TextAsk)
        self.assertLessEqual(self.site.received(*kinds), self.east)

    def test_a_new_storage_node_of_the_region_takes_its_part(self) -> None:
        machine = self.site.add("east")
        self.site.list_nodes()
        self.site.run(2 * REPAIR_SECONDS)
        self.assertNotEqual(machine.disk, b"")
        self.assert_whole(self.site)

    def test_a_copy_that_would_expire_early_is_kept_as_long_as_the_others(self) -> None:
        """Guards against a node that was silent while its chain was continued."""
        paused = self.site.machines[sorted(self.site.holders("t0"))[0]]
        paused.is_paused = True
        self.site.store("u", "east", previous="t0", root="t0", seconds=600.0)
        paused.is_paused = False
        self.site.run(2 * REPAIR_SECONDS)
        expiries = [
            recover_texts(self.site.machines[name].disk).unwrap().texts["t0"].expires
            for name in self.site.holders("t0")
        ]
        self.assertLess(max(expiries) - min(expiries), 6.0)


class Retirement(unittest.TestCase):
    def retire(self, site: TextSite, name: str) -> None:
        site.machines[name].is_retiring = True
        site.list_nodes()

    def needed(self, site: TextSite, name: str) -> bool:
        store = site.machines[name].store
        assert store is not None
        return store.is_needed

    def test_a_retiring_node_is_needed_until_its_texts_are_elsewhere(self) -> None:
        site = TextSite(east=4, west=4)
        site.store("t", "east")
        site.run(REPAIR_SECONDS)
        name = sorted(site.holders("t"))[0]
        self.retire(site, name)
        self.assertTrue(self.needed(site, name))
        site.run(REPAIR_SECONDS)
        self.assertFalse(self.needed(site, name))
        self.assertEqual(len(site.holders("t") - {name}), 3)

    def test_a_retiring_node_gets_no_further_text(self) -> None:
        site = TextSite(east=4)
        self.retire(site, "storage-0")
        for number in range(8):
            self.assertEqual(site.store(f"t{number}", "east"), 3)
            self.assertNotIn("storage-0", site.holders(f"t{number}"))

    def test_a_retiring_node_refuses_texts_of_a_node_that_does_not_know_yet(self) -> None:
        """Guards against a text that arrives after the retirement was reported complete."""
        site = TextSite(east=5)
        site.store("t", "east")
        name = sorted(site.holders("t"))[0]
        machine = site.machines[name]
        machine.is_retiring = True
        assert machine.store is not None
        machine.store.set_nodes([item.node for item in site.machines.values()])
        self.assertEqual(site.store("u", "east", root="t"), 3)
        self.assertNotIn(name, site.holders("u"))

    def test_the_last_storage_node_of_a_region_stays_needed_until_its_texts_expire(self) -> None:
        site = TextSite(east=1, west=4)
        self.assertEqual(site.store("t", "east", seconds=30.0), 1)
        self.retire(site, "storage-0")
        site.run(20.0)
        self.assertTrue(self.needed(site, "storage-0"))
        self.assertFalse(site.texts.can_store(("east",), site.now))
        self.assertEqual(site.fetch("t"), {"t"}, "later turns read it meanwhile")
        self.assertEqual(site.holders("t"), {"storage-0"})
        site.run(20.0)
        self.assertFalse(self.needed(site, "storage-0"))


class Restarts(unittest.TestCase):
    def test_a_machine_that_moves_to_another_region_loses_its_texts(self) -> None:
        site = TextSite(east=3, west=1)
        site.store("t", "east")
        machine = site.machines["storage-0"]
        self.assertIn(machine.name, site.holders("t"))
        site.stop(machine)
        machine.region = "west"
        site.start(machine)
        site.list_nodes()
        site.run(REPAIR_SECONDS)
        self.assertEqual(site.holders("t"), {"storage-1", "storage-2"})

    def test_an_answer_to_an_earlier_process_confirms_nothing(self) -> None:
        """Guards against a text that counts as copied because of an answer about another one."""
        site = TextSite(east=4)
        site.store("t", "east")
        offers = [item for _, item in site.delivered if isinstance(item, TextOffer)]
        site.run(REPAIR_SECONDS)
        for machine in site.machines.values():
            site.stop(machine)
            site.start(machine)
        site.list_nodes()
        numbers = {item.number for _, item in site.delivered if isinstance(item, TextOffer)}
        site.delivered.clear()
        site.run(REPAIR_SECONDS)
        later = {item.number for _, item in site.delivered if isinstance(item, TextOffer)}
        self.assertTrue(numbers and later)
        self.assertEqual((offers, numbers & later), ([], set()))


class Space(unittest.TestCase):
    def test_a_node_takes_no_more_texts_than_its_memory_bears(self) -> None:
        """Guards against a storage process that grows beyond its memory, and ends."""
        machine = TextSite(east=1).machines["storage-0"]
        store = RegionalTextStore(
            replica=machine.replica,
            address=machine.node.address,
            region="east",
            recovered=RecoveredTexts(),
            wall=lambda: 0.0,
            now=0.0,
            memory_mb=4.0,
        )
        sizes = [600_000, 600_000]
        written: list[Effect] = []
        for number, size in enumerate(sizes):
            text = RegionalText(f"t{number}", "", f"t{number}", b"x" * size, ("east",))
            message = StoreText(number=number, asker=EDGE_ADDRESS, text=text, seconds_left=60.0)
            written.extend(store.handle(EDGE, message, 0.0) or [])
        first, second = written
        self.assertIsInstance(first, SyncFile)
        assert isinstance(second, SendPeer)
        self.assertEqual(second.message, TextStored(number=1, is_stored=False))


class Expiry(unittest.TestCase):
    def test_an_expired_text_is_not_read_and_leaves_the_disk(self) -> None:
        site = TextSite(east=3)
        site.store("t", "east", seconds=10.0)
        site.run(20.0)
        self.assertEqual(site.fetch("t"), set())
        self.assertEqual(site.holders("t"), set())
        self.assertTrue(all(machine.disk == b"" for machine in site.machines.values()))

    def test_a_file_in_use_loses_its_expired_texts_too(self) -> None:
        site = TextSite(east=3)
        site.store("t", "east", seconds=10.0)
        site.store("u", "east", seconds=10_000.0)
        site.run(MAX_DEAD_SECONDS + 30.0)
        self.assertEqual(site.holders("t"), set())
        self.assertEqual(len(site.holders("u")), 3)

    def test_a_later_turn_keeps_its_chain(self) -> None:
        site = TextSite(east=3)
        site.store("t", "east", seconds=10.0)
        site.run(5.0)
        site.store("u", "east", previous="t", root="t", seconds=30.0)
        site.run(20.0)
        self.assertEqual(site.fetch("t", "u", root="t"), {"t", "u"})
        for machine in site.machines.values():
            site.stop(machine)
            site.start(machine)
        site.list_nodes()
        self.assertEqual(site.fetch("t", "u", root="t"), {"t", "u"})

    def test_texts_outlive_the_entries_of_the_ledger(self) -> None:
        from yokeline.ledger import state

        self.assertGreater(EXPIRY_SLACK_SECONDS, state.EXPIRY_SLACK_SECONDS)
