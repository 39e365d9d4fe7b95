"""Checks of the fault soak: what they report, and what they let pass."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

from tests.processes.platform.deployment import WORDS, TenantKeys
from tests.processes.platform.stand_ins import BROKE_OFF, EngineStandIn, SeenRequest, Span
from tests.soak.cold_engines import MOST_ARRIVALS, beyond_cold_rate
from tests.soak.records import (
    Asked,
    called_broken,
    input_of,
    too_many_engines,
    violations,
)
from tests.soak.regions import outside_regions

ALLOWED = int(MOST_ARRIVALS)


class BrokenStreams(unittest.TestCase):
    """A whole stream that was called broken, or a chain with a broken turn, must not go unseen."""

    def test_a_stream_that_no_engine_broke_off_is_reported(self) -> None:
        engine = EngineStandIn("model-0")
        engine.spans = [
            Span("model-0", "broken", 1.0, how=BROKE_OFF),
            Span("model-0", "whole", 2.0, how="whole"),
        ]
        failures: list[dict[str, object]] = [
            {"request": name, "end": end, "reason": "r"}
            for name in ("broken", "whole")
            for end in ("inside_event", "without_event", "lost", "silent")
        ]
        found = called_broken(failures, [engine])
        self.assertEqual([line.split(" ")[0] for line in found], ["whole", "whole"])

    def test_a_turn_after_a_broken_one_runs_on_the_whole_chain_or_not_at_all(self) -> None:
        broken = Asked(
            request_id="a",
            path="/kept/x",
            status=200,
            body=b"id: 1\ndata: word1\n\n",
            is_whole=False,
        )
        following = Asked(
            request_id="b",
            path="/kept/x",
            status=404,
            body=b"",
            is_whole=True,
            previous="a",
            follows_broken=True,
        )
        engine = EngineStandIn("model-0")
        self.assertEqual(violations([broken, following], [engine]), [])
        engine.runs = [("b", input_of("a") + WORDS + input_of("b"), 0)]
        self.assertEqual(violations([broken, following], [engine]), [])
        engine.runs = [("b", input_of("a") + b"word1\n" + input_of("b"), 0)]
        self.assertEqual(len(violations([broken, following], [engine])), 1)


class EnginesOfARequest(unittest.TestCase):
    """A request on more engines than its route allows must not go unseen."""

    def found(self, *, gone_at: float | None) -> list[str]:
        spans = [
            Span("model-0", "r", 1.0, how=BROKE_OFF, engine_gone_at=gone_at),
            Span("model-1", "r", 2.0),
        ]
        asked = Asked(request_id="r", path="/turn/x", status=200, body=b"", is_whole=True)
        return too_many_engines(spans, [asked])

    def test_an_engine_that_broke_off_counts_and_one_that_was_replaced_before_does_not(
        self,
    ) -> None:
        self.assertEqual(len(self.found(gone_at=None)), 1)
        self.assertEqual(len(self.found(gone_at=2.5)), 1)
        self.assertEqual(self.found(gone_at=1.5), [])


class ColdRates(unittest.TestCase):
    """A cold engine that gets more than its bound must not go unseen."""

    def setUp(self) -> None:
        self.engine = EngineStandIn("app-0")
        self.engine.start_again(100.0, down_seconds=2.5, cold_seconds=3.0)

    def arrive(self, count: int, first: float, distance: float) -> list[str]:
        self.engine.seen = [
            SeenRequest(f"r{number}", first + number * distance, {}) for number in range(count)
        ]
        return beyond_cold_rate([self.engine])

    def test_one_more_than_the_bound_within_a_second_is_reported(self) -> None:
        self.assertEqual(self.arrive(ALLOWED, 101.0, 0.1), [])
        self.assertEqual(len(self.arrive(ALLOWED + 1, 101.0, 0.1)), 1)

    def test_arrivals_over_more_than_a_second_or_at_a_warm_engine_pass(self) -> None:
        self.assertEqual(self.arrive(ALLOWED + 1, 100.0, 1.01 / ALLOWED), [])
        self.assertEqual(self.arrive(50, 103.0, 0.01), [])

    def test_each_start_has_a_cold_time_of_its_own(self) -> None:
        self.engine.start_again(110.0, down_seconds=2.5, cold_seconds=3.0)
        self.assertEqual(self.engine.cold_until, 113.0)
        self.assertEqual(len(self.arrive(50, 100.0, 0.01)), 1)
        self.assertEqual(len(self.arrive(50, 110.0, 0.01)), 1)


class Regions(unittest.TestCase):
    """A bound request or its text in another region must not go unseen."""

    def setUp(self) -> None:
        self.engines = {zone: EngineStandIn(f"model-{zone}") for zone in "ac"}
        self.proxies = {engine.engine_id: self.proxy() for engine in self.engines.values()}
        self.proxies["store"] = self.proxy()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def proxy(self) -> SimpleNamespace:
        return SimpleNamespace(texts=set())

    def found(self) -> list[str]:
        deployment = SimpleNamespace(
            tenants=[TenantKeys("amber", []), TenantKeys("birch", [], allowed_regions=["east"])],
            models=list(self.engines.values()),
            apps=[],
            engine_zones={f"model-{zone}": zone for zone in self.engines},
            storage=[SimpleNamespace(name="storage-0"), SimpleNamespace(name="storage-1")],
            data_folder=lambda process: self.folder / process.name,
        )
        asked = [
            Asked(request_id=name, path="/kept/x", status=200, body=b"", is_whole=True, tenant=of)
            for name, of in (("c0-1", "amber"), ("c1-1", "birch"))
        ]
        return outside_regions(cast(Any, deployment), cast(Any, self.proxies), asked)

    def test_a_bound_request_at_an_engine_of_another_region_is_reported(self) -> None:
        for zone in "ac":
            self.engines[zone].seen = [SeenRequest("c0-1", 1.0, {})]
        self.engines["a"].seen.append(SeenRequest("c1-1", 1.0, {}))
        self.assertEqual(self.found(), [])
        self.engines["c"].seen.append(SeenRequest("c1-1", 1.0, {}))
        self.assertEqual(len(self.found()), 1)

    def test_a_bound_text_on_a_connection_to_another_region_is_reported(self) -> None:
        self.proxies["model-a"].texts = {b"input-c1-1"}
        self.proxies["model-c"].texts = {b"input-c0-1"}
        self.assertEqual(self.found(), [])
        self.proxies["model-c"].texts.add(b"input-c1-1")
        self.proxies["store"].texts.add(b"input-c1-1")
        self.assertEqual(len(self.found()), 2)

    def test_a_bound_text_in_a_file_of_a_storage_node_of_another_region_is_reported(self) -> None:
        for name in ("storage-0", "storage-1"):
            (self.folder / name).mkdir()
        (self.folder / "storage-0" / "ledger.log").write_bytes(b"\x93input-c0-1word1\n")
        (self.folder / "storage-1" / "regional-texts.log").write_bytes(b"\x93input-c1-1word1\n")
        self.assertEqual(self.found(), [])
        (self.folder / "storage-0" / "regional-texts.log").write_bytes(b"..input-c1-1word1\n")
        self.assertEqual(len(self.found()), 1)


if __name__ == "__main__":
    unittest.main()
