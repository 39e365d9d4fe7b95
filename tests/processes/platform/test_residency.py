"""Data residency with real processes: where requests run, and on which disks their texts are."""

from __future__ import annotations

import unittest

from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import WORDS, Deployment

ZONES = {"storage": ("e", "e", "e", "w", "w"), "edge": ("w", "e")}
ZONE_REGIONS = {"e": "east", "w": "west"}
TEXT = b"input-"


class RegionalDeployment(Deployment):
    """Two regions; the first edge is outside of the region that the kept route allows."""

    def __init__(self) -> None:
        super().__init__(storage_nodes=5, edges=2, models=2, zones=("e", "w"))
        self.allowed_regions = {"kept": ["east"]}

    def zone_of(self, name: str) -> str:
        kind, _, number = name.partition("-")
        return ZONES[kind][int(number)]

    def region_settings(self, name: str) -> list[str]:
        regions = ", ".join(f'{zone} = "{region}"' for zone, region in ZONE_REGIONS.items())
        own = ZONE_REGIONS[self.zone_of(name)]
        return [f'region = "{own}"', f"zone_regions = {{ {regions} }}"]

    def files_with(self, text: bytes) -> set[tuple[str, str]]:
        """Return the storage nodes and files that contain a text."""
        return {
            (process.name, path.name)
            for process in self.storage
            for path in self.data_folder(process).glob("*")
            if text in path.read_bytes()
        }


class Regions(unittest.TestCase):
    def test_a_kept_chain_stays_in_its_region_and_survives_the_death_of_all_storage(self) -> None:
        with RegionalDeployment() as deployment:
            east, west = deployment.models
            status, _ = deployment.turn(0, "/kept/x", "k1", program_id="q")
            self.assertEqual(status, 200)
            first, body = east.runs[-1][:2]
            self.assertEqual(
                deployment.files_with(body),
                {(f"storage-{number}", "regional-texts.log") for number in range(3)},
            )
            for process in deployment.storage:
                process.kill()
            for process in deployment.storage:
                process.start(first_start=False)
            follow = {"program_id": "q", "previous_turn": first}
            self.assertEqual(deployment.turn(1, "/kept/x", "k2", **follow)[0], 200)
            second, whole = east.runs[-1][:2]
            self.assertEqual(whole, body + WORDS + TEXT + second.encode())
            self.assertEqual(west.runs, [])
            files = deployment.files_with(TEXT)
            self.assertEqual({file for _, file in files}, {"regional-texts.log"})
            self.assertEqual({name for name, _ in files}, {f"storage-{n}" for n in range(3)})
            for name, log in deployment.logs().items():
                self.assertNotIn(TEXT.decode(), log, name)
            self.assertTrue(deployment.edges[0].lines("data_residency"))

    def test_unrestricted_routes_are_served_and_stored_as_ever(self) -> None:
        with RegionalDeployment() as deployment:
            for number in range(8):
                status, _ = deployment.turn(0, "/turn/x", f"t{number}", program_id=f"p{number}")
                self.assertEqual(status, 200)
            self.assertTrue(deployment.models[1].runs, "the engine of the node's own zone")
            self.assertEqual(deployment.files_with(TEXT), set())

    def test_a_newer_configuration_without_an_engine_refuses_at_once(self) -> None:
        with RegionalDeployment() as deployment:
            deployment.allowed_regions = {"kept": ["north"]}
            deployment.configure(5)

            def is_refused() -> bool:
                status, body = deployment.ask(0, "/kept/x", "r", program_id="q")
                return status == 503 and b"no_engine_in_allowed_regions" in body

            wait_until(is_refused, "the new regions are in force")
