"""The emulated key-value store: watches replay to its state; compare-and-swap is atomic."""

import random
import unittest
from base64 import b64encode
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.emulator.driver import Driver
from yokeline.emulator.settings import StoreSettings
from yokeline.emulator.store_service import StoreService

KEYS = ["/a/1", "/a/2", "/a/3"]
ALL = {"key": b64encode(b"/a/").decode(), "range_end": b64encode(b"/a0").decode()}

actions = st.lists(
    st.tuples(
        st.sampled_from(["put", "delete", "lease", "wait", "hang", "mend"]), st.sampled_from(KEYS)
    ),
    max_size=30,
)


def replayed(lines: list[Any]) -> dict[str, str]:
    state: dict[str, str] = {}
    revisions = []
    for line in lines:
        for event in line["result"].get("events", []):
            kv = event["kv"]
            revisions.append(int(kv["mod_revision"]))
            if event.get("type") == "DELETE":
                state.pop(kv["key"], None)
            else:
                state[kv["key"]] = kv["mod_revision"]
    assert revisions == sorted(revisions)
    return state


class Watches(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(actions, st.integers(0, 29))
    def test_a_watch_from_any_moment_replays_to_the_state(
        self, plan: list[tuple[str, str]], opened: int
    ) -> None:
        driver = Driver(StoreService(StoreSettings(delay_seconds=0.0), random.Random(1)))
        watch = None
        for number, (action, key) in enumerate(plan):
            if number == opened:
                request = {"create_request": {**ALL, "start_revision": "1"}}
                watch = driver.send("POST", "/v3/watch", request)
            body = {"key": b64encode(key.encode()).decode(), "value": "eA=="}
            if action == "put":
                driver.send("POST", "/v3/kv/put", body)
            elif action == "delete":
                driver.send("POST", "/v3/kv/deleterange", {"key": body["key"]})
            elif action == "lease":
                driver.send("POST", "/v3/lease/grant", {"ID": number + 1, "TTL": 2})
                driver.send("POST", "/v3/kv/put", {**body, "lease": number + 1})
            elif action == "wait":
                driver.run(1.0)
            else:
                driver.send("PUT", "/emulator/faults", {"hang": action == "hang"})
        driver.send("PUT", "/emulator/faults", {})
        found = driver.send("POST", "/v3/kv/range", ALL)
        driver.run(0.0)
        if watch is not None and watch.body:
            kvs = found.json().get("kvs", [])
            state = {kv["key"]: kv["mod_revision"] for kv in kvs}
            self.assertEqual(replayed(watch.lines()), state)
