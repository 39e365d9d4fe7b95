import random
import unittest
from base64 import b64encode
from typing import Any

from tests.unit.emulator.driver import Driver, Exchange
from yokeline.emulator.etcd.limits import StoreFaults
from yokeline.emulator.settings import StoreSettings
from yokeline.emulator.store_service import StoreService


def b64(text: str) -> str:
    return b64encode(text.encode()).decode()


def drive(**changes: Any) -> tuple[Driver, StoreService]:
    service = StoreService(StoreSettings(**changes), random.Random(1))
    return Driver(service), service


def post(driver: Driver, path: str, **body: Any) -> Exchange:
    exchange = driver.send("POST", path, body)
    driver.run(0.01)
    return exchange


def put(driver: Driver, key: str, value: str, **fields: Any) -> Exchange:
    return post(driver, "/v3/kv/put", key=b64(key), value=b64(value), **fields)


def get(driver: Driver, key: str, **fields: Any) -> Any:
    return post(driver, "/v3/kv/range", key=b64(key), **fields).json()


def compare_and_swap(driver: Driver, key: str, value: str, mod_revision: int) -> Exchange:
    return post(
        driver,
        "/v3/kv/txn",
        compare=[
            {
                "key": b64(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(mod_revision),
            }
        ],
        success=[{"requestPut": {"key": b64(key), "value": b64(value)}}],
        failure=[{"request_range": {"key": b64(key)}}],
    )


def watch(driver: Driver, start: int = 0, **fields: Any) -> Exchange:
    request = {
        "key": b64("/a/"),
        "range_end": b64("/a0"),
        "start_revision": str(start),
        **fields,
    }
    return driver.send("POST", "/v3/watch", {"create_request": request})


def events(exchange: Exchange) -> list[tuple[str, str, str]]:
    return [
        (event.get("type", "PUT"), event["kv"]["key"], event["kv"]["mod_revision"])
        for line in exchange.lines()
        for event in line["result"].get("events", [])
    ]


class Keys(unittest.TestCase):
    def test_compare_and_swap_lets_one_of_two_writers_win(self) -> None:
        driver, service = drive()
        created = compare_and_swap(driver, "/a/1", "one", 0).json()
        self.assertTrue(created["succeeded"])
        lost = compare_and_swap(driver, "/a/1", "two", 0).json()
        self.assertNotIn("succeeded", lost)
        (seen,) = lost["responses"][0]["response_range"]["kvs"]
        self.assertEqual((seen["value"], seen["mod_revision"]), (b64("one"), "2"))
        self.assertTrue(compare_and_swap(driver, "/a/1", "three", 2).json()["succeeded"])
        self.assertEqual([change.kv.value for change in service.books], [b"one", b"three"])

    def test_versions_ranges_and_deletions(self) -> None:
        driver, _ = drive()
        for key in ("/a/2", "/a/1", "/b/1", "/a/1"):
            put(driver, key, key)
        found = get(driver, "/a/", range_end=b64("/a0"))
        self.assertEqual([kv["key"] for kv in found["kvs"]], [b64("/a/1"), b64("/a/2")])
        self.assertEqual(found["kvs"][0]["version"], "2")
        self.assertEqual((found["count"], found["header"]["revision"]), ("2", "5"))
        self.assertTrue(get(driver, "/a/", range_end=b64("/a0"), limit="1")["more"])
        deleted = post(driver, "/v3/kv/deleterange", key=b64("/a/"), range_end=b64("/a0"))
        self.assertEqual(deleted.json()["deleted"], "2")
        self.assertNotIn("kvs", get(driver, "/a/1"))
        past = get(driver, "/a/", range_end=b64("/a0"), revision="4")
        self.assertEqual([kv["version"] for kv in past["kvs"]], ["1", "1"])

    def test_a_transaction_that_cannot_be_done_changes_nothing(self) -> None:
        driver, service = drive()
        operations = [
            {"request_put": {"key": b64("/a/1"), "value": b64("x")}},
            {"request_put": {"key": b64("/a/2"), "value": b64("x"), "lease": "99"}},
        ]
        failed = post(driver, "/v3/kv/txn", success=operations)
        self.assertEqual((failed.status, failed.json()["code"]), (404, 5))
        self.assertEqual(service.books, [])


class Watches(unittest.TestCase):
    def test_a_watch_gets_the_past_from_its_revision_and_then_each_change_once(self) -> None:
        driver, _ = drive()
        for key in ("/a/1", "/b/1", "/a/2"):
            put(driver, key, "x")
        exchange = watch(driver, start=3)
        self.assertTrue(exchange.lines()[0]["result"]["created"])
        put(driver, "/a/3", "x")
        post(driver, "/v3/kv/deleterange", key=b64("/a/1"))
        expected = [
            ("PUT", b64("/a/2"), "4"),
            ("PUT", b64("/a/3"), "5"),
            ("DELETE", b64("/a/1"), "6"),
        ]
        self.assertEqual(events(exchange), expected)

    def test_progress_is_told_to_those_who_ask(self) -> None:
        driver, _ = drive(progress_seconds=5.0)
        asked, silent = watch(driver, progress_notify=True), watch(driver)
        put(driver, "/b/1", "x")
        driver.run(6.0)
        self.assertEqual(
            asked.lines()[-1]["result"], {"header": asked.lines()[-1]["result"]["header"]}
        )
        self.assertEqual(asked.lines()[-1]["result"]["header"]["revision"], "2")
        self.assertEqual(len(silent.lines()), 1)

    def test_a_compacted_start_ends_the_watch(self) -> None:
        driver, _ = drive()
        for number in range(5):
            put(driver, "/a/1", str(number))
        post(driver, "/v3/kv/compaction", revision="4")
        exchange = watch(driver, start=3)
        last = exchange.lines()[-1]["result"]
        self.assertEqual((last["canceled"], last["compact_revision"]), (True, "5"))
        self.assertTrue(exchange.ended)
        self.assertEqual(len(events(watch(driver, start=5))), 2)

    def test_silence_while_hanging_is_made_up_for(self) -> None:
        driver, service = drive()
        exchange = watch(driver)
        put(driver, "/a/1", "x")
        granted = post(driver, "/v3/lease/grant", TTL="5").json()
        put(driver, "/a/2", "x", lease=granted["ID"])
        driver.send("PUT", "/emulator/faults", {"hang": True})
        unanswered = put(driver, "/a/3", "x")
        driver.run(10.0)
        self.assertEqual((unanswered.ended, len(events(exchange))), (False, 2))
        driver.send("PUT", "/emulator/faults", {})
        self.assertEqual(events(exchange)[-1], ("DELETE", b64("/a/2"), "4"))


class Leases(unittest.TestCase):
    def test_keys_go_with_a_lease_that_is_not_kept_alive(self) -> None:
        driver, _ = drive()
        exchange = watch(driver)
        lease = post(driver, "/v3/lease/grant", TTL="3").json()["ID"]
        put(driver, "/a/1", "x", lease=lease)
        driver.run(2.0)
        kept = post(driver, "/v3/lease/keepalive", ID=lease).json()
        self.assertEqual(kept["result"]["TTL"], "3")
        driver.run(2.0)
        self.assertEqual(get(driver, "/a/1")["kvs"][0]["lease"], lease)
        driver.run(2.0)
        self.assertNotIn("kvs", get(driver, "/a/1"))
        self.assertEqual(events(exchange)[-1][0], "DELETE")
        gone = post(driver, "/v3/lease/keepalive", ID=lease).json()
        self.assertNotIn("TTL", gone["result"])
        self.assertEqual(put(driver, "/a/2", "x", lease=lease).status, 404)

    def test_a_key_written_anew_leaves_its_old_lease(self) -> None:
        driver, _ = drive()
        lease = post(driver, "/v3/lease/grant", TTL="3").json()["ID"]
        put(driver, "/a/1", "x", lease=lease)
        put(driver, "/a/1", "y")
        driver.run(5.0)
        self.assertEqual(get(driver, "/a/1")["kvs"][0]["value"], b64("y"))


class Faults(unittest.TestCase):
    def test_an_answer_is_lost_after_the_write_took_effect(self) -> None:
        driver, service = drive()
        service.set_faults(StoreFaults(lose_answers=1, lose_requests=1))
        never, lost, good = (
            put(driver, "/a/0", "x"),
            put(driver, "/a/1", "x"),
            put(driver, "/a/2", "x"),
        )
        self.assertEqual((never.aborted, lost.aborted, good.status), (True, True, 200))
        self.assertEqual([change.kv.key for change in service.books], [b"/a/1", b"/a/2"])

    def test_down_breaks_connections_and_slow_delays_answers(self) -> None:
        driver, service = drive()
        exchange = watch(driver)
        driver.send("PUT", "/emulator/faults", {"down": True})
        self.assertTrue(exchange.aborted)
        self.assertTrue(put(driver, "/a/1", "x").aborted)
        driver.send("PUT", "/emulator/faults", {"slow_seconds": 4.0})
        slow = put(driver, "/a/1", "x")
        driver.run(3.9)
        self.assertFalse(slow.ended)
        self.assertEqual(len(service.books), 1)
        driver.run(0.2)
        self.assertEqual(slow.status, 200)

    def test_the_rate_limit_refuses_before_any_effect(self) -> None:
        driver, service = drive(requests_per_second=10.0, burst=3)
        answers = [driver.send("POST", "/v3/kv/put", {"key": b64(str(n))}) for n in range(5)]
        driver.run(0.05)
        self.assertEqual([a.status for a in answers], [200, 200, 200, 429, 429])
        self.assertIn("retry-after", answers[-1].headers)
        self.assertEqual(len(service.books), 3)
        driver.run(1.0)
        self.assertEqual(put(driver, "later", "x").status, 200)
