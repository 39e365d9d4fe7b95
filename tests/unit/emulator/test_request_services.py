import random
import unittest
from typing import Any

from tests.unit.emulator.driver import Driver, Exchange
from yokeline.emulator.app_service import AppService
from yokeline.emulator.request_books import FaultKind
from yokeline.emulator.settings import AppSettings, FaultSettings, ToolSettings
from yokeline.emulator.tool_service import ToolService
from yokeline.labels.objects import Lookup

KEY = "run-1/2"
ALERT = {"operation": "weigh_in_alert", "load": "7", "lot": "L1", "kilograms": 810.0}


def drive_app(**changes: Any) -> tuple[Driver, AppService]:
    service = AppService(AppSettings(**changes), random.Random(1))
    return Driver(service), service


def post(driver: Driver, body: Any = ALERT, key: str = KEY, fence: int = 1) -> Exchange:
    headers = {"idempotency-key": key, "x-yokeline-fence": str(fence)}
    return driver.send("POST", "/v1/requests", body, headers)


def look_up(driver: Driver, fence: int = 1, key: str = KEY) -> Exchange:
    return driver.send("GET", f"/v1/requests/{key}", query={"fence": str(fence)})


class Apps(unittest.TestCase):
    def test_a_doubled_request_shows_in_records_and_books(self) -> None:
        driver, service = drive_app()
        first, second = post(driver), post(driver)
        driver.run(1.0)
        self.assertEqual((first.json()["sequence"], second.json()["sequence"]), (1, 2))
        self.assertEqual(service.books.applied_twice(), [KEY])
        self.assertEqual(len(service.state.alerts), 2)
        report = driver.send("GET", "/emulator/books").json()
        self.assertEqual(report["applied_twice"], [KEY])
        self.assertEqual([row["fence"] for row in report["requests"]], [1, 1])

    def test_deduplication_answers_alike_during_and_after_the_first(self) -> None:
        driver, service = drive_app(deduplicate=True)
        first, during = post(driver), post(driver)
        driver.run(1.0)
        after = post(driver)
        self.assertEqual(first.body, during.body)
        self.assertEqual(first.body, after.body)
        self.assertEqual(service.books.applied_count(KEY), 1)

    def test_operations_keep_state(self) -> None:
        driver, _ = drive_app(delay_seconds=0.0)

        def ask(number: int, **body: Any) -> Any:
            exchange = post(driver, body, key=f"run-{number}/1")
            driver.run(0.1)
            return exchange.json().get("result")

        self.assertEqual(ask(1, operation="post_finish", race="r", bib="4", seconds=900.5), 1)
        self.assertEqual(ask(2, operation="post_finish", race="r", bib="9", seconds=890.0), 1)
        self.assertEqual(ask(3, operation="result_lookup", race="r"), ["9", "4"])
        self.assertEqual(ask(4, operation="correct_entry", race="r", bib="4", name="A. Sow"), 1)
        ask(5, operation="tally_entry", picker="p", kilograms=12.5)
        self.assertEqual(ask(6, operation="tally_lookup", picker="p"), 12.5)

    def test_each_fault_has_its_effect_or_not_and_the_lookup_tells_the_truth(self) -> None:
        cases = (
            (FaultKind.REFUSE, 422, 0, "not_seen"),
            (FaultKind.FAIL_BEFORE, 500, 0, "not_seen"),
            (FaultKind.FAIL_AFTER, 500, 1, "done"),
            (FaultKind.LOSE_ANSWER, None, 1, "done"),
            (FaultKind.HANG_BEFORE, None, 0, "running"),
            (FaultKind.HANG_AFTER, None, 1, "done"),
        )
        for fault, status, applied, found in cases:
            with self.subTest(fault=fault):
                driver, service = drive_app()
                driver.send("PUT", "/emulator/faults", {"next": [fault.value]})
                exchange = post(driver)
                driver.run(1.0)
                self.assertEqual(exchange.status, status)
                self.assertEqual(exchange.aborted, fault is FaultKind.LOSE_ANSWER)
                self.assertEqual(len(service.state.alerts), applied)
                answer = look_up(driver).json()
                self.assertEqual(answer["status"], found)
                if found == "done":
                    self.assertEqual(answer["response"]["sequence"], 1)

    def test_chances_of_faults_are_drawn_as_set(self) -> None:
        driver, service = drive_app(faults=FaultSettings(refuse=0.25, fail_after=0.25))
        for number in range(400):
            post(driver, key=f"run-{number}/1")
        driver.run(1.0)
        faults = [request.fault for request in service.books.received]
        self.assertAlmostEqual(faults.count(FaultKind.REFUSE) / 400, 0.25, delta=0.07)
        self.assertAlmostEqual(faults.count(None) / 400, 0.5, delta=0.07)

    def test_not_seen_is_final_for_its_fence_and_only_with_fenced_lookup(self) -> None:
        for lookup, applied in ((Lookup.FENCED, 0), (Lookup.RECORDED, 1)):
            driver, service = drive_app(lookup=lookup)
            answer = look_up(driver, fence=3)
            self.assertEqual((answer.status, answer.json()["status"]), (404, "not_seen"))
            self.assertEqual(answer.json()["fenced"], lookup is Lookup.FENCED)
            late = post(driver, fence=3)
            driver.run(1.0)
            self.assertEqual(late.status, 200 if applied else 409)
            self.assertEqual(service.books.applied_count(KEY), applied)
            newer = post(driver, fence=4)
            driver.run(1.0)
            self.assertEqual(newer.status, 200)

    def test_a_bad_request_is_refused_before_anything_is_applied(self) -> None:
        driver, service = drive_app()
        exchange = post(driver, {"operation": "erase_all"})
        driver.run(1.0)
        self.assertEqual(exchange.status, 400)
        self.assertEqual(service.books.applied(), [])

    def test_without_lookup_nothing_is_told(self) -> None:
        driver, _ = drive_app(lookup=Lookup.NONE)
        self.assertEqual(look_up(driver).status, 501)


class Tools(unittest.TestCase):
    def test_answers_depend_on_the_arguments_alone_and_hanging_tools_hang(self) -> None:
        settings = ToolSettings(hang_tools=("stuck",), delays={"slow": 3.0})
        service = ToolService(settings, random.Random(1))
        driver = Driver(service)

        def call(tool: str, key: str, bib: int) -> Exchange:
            body = {"arguments": {"bib": bib}, "run": "run-1", "call": 2}
            return driver.send("POST", f"/v1/tools/{tool}", body, {"idempotency-key": key})

        same = [call("clock", f"run-1/{number}", 7) for number in range(2)]
        other, stuck, slow = call("clock", "k1", 8), call("stuck", "k2", 7), call("slow", "k3", 7)
        driver.run(1.0)
        self.assertEqual(same[0].json(), same[1].json())
        self.assertNotEqual(same[0].json(), other.json())
        self.assertFalse(slow.ended)
        running = driver.send("GET", "/v1/tools/stuck/requests/k2").json()
        self.assertEqual(running, {"status": "running"})
        done = driver.send("GET", "/v1/tools/clock/requests/run-1/0").json()
        self.assertEqual(done["response"], same[0].json())
        driver.run(1000.0)
        self.assertTrue(slow.ended)
        self.assertFalse(stuck.ended)
        self.assertEqual(service.books.applied_count("k2"), 0)
