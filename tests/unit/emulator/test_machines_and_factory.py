import random
import unittest

from returns.result import Failure

from tests.unit.emulator.driver import Driver
from yokeline.emulator.engine_service import EngineService
from yokeline.emulator.factory import build_stand_in
from yokeline.emulator.machines_service import MachinesService
from yokeline.emulator.settings import (
    EngineSettings,
    Machine,
    MachinesSettings,
    MachineState,
    StandInKind,
    parse_settings,
)


class Machines(unittest.TestCase):
    def test_readers_see_the_list_late(self) -> None:
        machines = (Machine(address="10.0.0.1:80", labels={"zone": "z1"}),)
        service = MachinesService(
            MachinesSettings(lag_seconds=5.0, machines=machines), random.Random(1)
        )
        driver = Driver(service)
        service.set_state("10.0.0.1:80", MachineState.LEAVING, 0.0)
        driver.run(2.0)
        driver.send("PUT", "/emulator/machines", [{"address": "10.0.0.2:80"}])
        seen = []
        for _ in range(3):
            (group,) = driver.send("GET", "/v1/machines").json()
            seen.append((group["targets"], group["labels"]))
            driver.run(3.5)
        self.assertEqual(
            seen,
            [
                (["10.0.0.1:80"], {"zone": "z1", "yokeline_state": "live"}),
                (["10.0.0.1:80"], {"zone": "z1", "yokeline_state": "leaving"}),
                (["10.0.0.2:80"], {"yokeline_state": "live"}),
            ],
        )


class Factory(unittest.TestCase):
    def test_every_kind_is_built_from_defaults_and_answers(self) -> None:
        for kind in StandInKind:
            settings = parse_settings(kind, "").unwrap()
            driver = Driver(build_stand_in(kind, settings, random.Random(1)))
            self.assertEqual(driver.send("GET", "/healthz").status, 204, kind)
            self.assertEqual(driver.send("GET", "/nothing").status, 404, kind)

    def test_settings_come_from_toml_and_mistakes_are_named(self) -> None:
        text = 'name = "e1"\n[parameters]\nslots = 4\ntime_scale = 10.0\n'
        settings = parse_settings(StandInKind.ENGINE, text).unwrap()
        assert isinstance(settings, EngineSettings)
        service = build_stand_in(StandInKind.ENGINE, settings, random.Random(1))
        assert isinstance(service, EngineService)
        self.assertEqual(service.model.parameters.slots, 4)
        wrong = parse_settings(StandInKind.ENGINE, "[parameters]\nslots = 0\n")
        assert isinstance(wrong, Failure)
        self.assertIn("slots", wrong.failure().message)
        self.assertIsInstance(parse_settings(StandInKind.TOOL, "slots = 1"), Failure)
