"""Seeded faults of storage nodes: texts survive two lost disks and stay in their region."""

from __future__ import annotations

import random
import unittest

from tests.unit.ledger.text_site import TextMachine, TextSite
from yokeline.ledger.messages import StoreText, TextAsk, TextOffer, TextReply

SEEDS = 8
ROUNDS = 10
REPAIRED_SECONDS = 60.0
"""Time within which all copies must be made again after the last fault."""


class Faults(unittest.TestCase):
    def east(self, site: TextSite) -> list[TextMachine]:
        return [item for item in site.machines.values() if item.region == "east"]

    def is_whole(self, site: TextSite) -> bool:
        stores = [item.store for item in self.east(site) if item.store is not None]
        return all(not store.gauges().get(UNCHECKED, 0.0) for store in stores)

    def repair(self, site: TextSite, seed: int) -> None:
        for machine in self.east(site):
            machine.is_paused = False
            machine.disk_hangs = False
            if machine.store is None:
                site.start(machine)
        site.list_nodes()
        end = site.now + REPAIRED_SECONDS
        site.run(10.0)
        while not self.is_whole(site) and site.now < end:
            site.run(1.0)
        self.assertTrue(self.is_whole(site), f"seed {seed}: not repaired")

    def hurt(self, site: TextSite, source: random.Random) -> None:
        """Lose up to two disks, and disturb other nodes of the region without a loss."""
        nodes = self.east(site)
        source.shuffle(nodes)
        for machine in nodes[: source.randint(0, 2)]:
            site.lose_disk(machine)
            if source.random() < 0.5:
                site.start(machine)
        disturbed = nodes[2]
        kind = source.choice(["pause", "restart", "hang", "new_node", "nothing"])
        if kind == "pause":
            disturbed.is_paused = True
        elif kind == "restart":
            site.stop(disturbed)
            site.start(disturbed)
        elif kind == "hang":
            disturbed.disk_hangs = True
        elif kind == "new_node" and len(site.machines) < 14:
            site.add(source.choice(["east", "west"]))
        if source.random() < 0.7:
            site.list_nodes()

    def test_texts_survive_and_stay_in_their_region(self) -> None:
        for seed in range(SEEDS):
            source = random.Random(seed)
            site = TextSite(east=5, west=4)
            kept: list[str] = []
            for number in range(ROUNDS):
                self.hurt(site, source)
                name = f"t{number}"
                previous = kept[-1] if kept and source.random() < 0.7 else ""
                root = "t0" if previous else name
                if site.store(name, "east", previous=previous, root=root, seconds=10_000.0):
                    kept.append(name)
                site.run(source.uniform(0.0, 5.0))
                self.repair(site, seed)
                for item in kept:
                    self.assertGreaterEqual(len(site.holders(item)), 3, f"seed {seed}: {item}")
            self.assertGreater(len(kept), ROUNDS // 2, f"seed {seed}")
            for item in kept:
                self.assertEqual(site.fetch(item), {item}, f"seed {seed}")
            kinds = (StoreText, TextReply, TextOffer, TextAsk)
            reached = site.received(*kinds) - {"edge~1"}
            regions = {site.machines[name].region for name in reached}
            self.assertEqual(regions, {"east"}, f"seed {seed}")


UNCHECKED = "yokeline_ledger_regional_texts_unchecked"
