import random
import unittest
from typing import Any

from tests.unit.emulator.driver import Driver, Exchange
from yokeline.effects import HttpResponse, StopRequested
from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.emulator.engine_service import EngineService
from yokeline.emulator.settings import EngineSettings, WeightsSettings
from yokeline.emulator.weights_service import WeightsService


def drive(weights: str = "", **changes: Any) -> tuple[Driver, EngineService]:
    settings = EngineSettings(parameters=EngineParameters(**changes), weights=weights)
    service = EngineService(settings, random.Random(1))
    return Driver(service), service


def chat(driver: Driver, call_id: str, content: str = "hello", **fields: Any) -> Exchange:
    body = {
        "model": "model-a",
        "messages": [{"role": "user", "content": content}],
        "stream": True,
        "call_id": call_id,
        "cache_key": call_id.partition("/")[0],
        "cache_salt": "tenant",
        **fields,
    }
    return driver.send("POST", "/v1/chat/completions", body)


class Streams(unittest.TestCase):
    def test_ids_are_offsets_and_the_last_event_has_the_usage(self) -> None:
        driver, _ = drive()
        exchange = chat(driver, "run-1/1", '{"answer_tokens": 30}')
        driver.run(5.0)
        events = exchange.sse()
        self.assertGreater(len(events), 5)
        self.assertTrue(exchange.body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(len(exchange.text().split()), 30)
        # 4 words of prompt and 29 of the answer fill two blocks; a shorter context fills none.
        (entry,) = driver.send("GET", "/v1/cache").json()["entries"]
        self.assertEqual(entry["tokens"], 32)
        chat(driver, "run-2/1", '{"answer_tokens": 2}')
        driver.run(5.0)
        self.assertEqual(len(driver.send("GET", "/v1/cache").json()["entries"]), 1)
        length = 0
        for offset, data in events:
            length += len(data["choices"][0]["delta"].get("content") or "")
            self.assertEqual(offset, length)
        last = events[-1][1]
        self.assertEqual(last["choices"][0]["finish_reason"], "stop")
        self.assertEqual(last["usage"]["completion_tokens"], 30)
        self.assertEqual(last["usage"]["prompt_tokens_details"], {"cached_tokens": 0})

    def test_a_call_goes_on_without_its_caller_and_is_resumed_from_an_offset(self) -> None:
        driver, service = drive()
        first = chat(driver, "run-1/1", '{"answer_tokens": 60}')
        driver.run(0.3)
        offset = first.sse()[-1][0]
        had = first.text()
        driver.hang_up(first)
        driver.run(0.1)
        query = {"offset": str(offset)}
        resumed = driver.send("GET", "/v1/calls/run-1%2F1/events", query=query)
        attached = chat(driver, "run-1/1", '{"answer_tokens": 60}')
        driver.run(5.0)
        self.assertFalse(first.ended)
        self.assertEqual(had + resumed.text(), attached.text())
        self.assertEqual(len(attached.text().split()), 60)
        late = driver.send("GET", "/v1/calls/run-1/1/events", query=query)
        self.assertEqual(late.text(), resumed.text())
        self.assertEqual(len(service.books.calls), 1)
        driver.run(120.0)
        self.assertEqual(driver.send("GET", "/v1/calls/run-1/1/events").status, 404)

    def test_a_tool_call_comes_whole(self) -> None:
        driver, _ = drive()
        exchange = chat(driver, "run-1/1", '{"steps":[{"tool":"clock","arguments":{"bib":"7"}}]}')
        driver.run(5.0)
        (call,) = [
            data["choices"][0]["delta"]["tool_calls"][0]
            for _, data in exchange.sse()
            if "tool_calls" in data["choices"][0]["delta"]
        ]
        self.assertEqual(call["function"], {"name": "clock", "arguments": '{"bib":"7"}'})
        self.assertEqual(exchange.sse()[-1][1]["choices"][0]["finish_reason"], "tool_calls")
        self.assertEqual(exchange.text(), "")

    def test_cancel_ends_the_stream_and_may_be_repeated(self) -> None:
        driver, service = drive()
        exchange = chat(driver, "run-1/1", '{"answer_tokens": 900}')
        driver.run(0.2)
        for _ in range(2):
            self.assertEqual(driver.send("DELETE", "/v1/calls/run-1/1").status, 204)
        driver.run(0.2)
        self.assertTrue(exchange.ended)
        self.assertEqual(exchange.sse()[-1][1]["choices"][0]["finish_reason"], "cancelled")
        self.assertLess(service.books.totals.completion_tokens, 100)

    def test_the_books_can_be_read_and_a_time_scale_shortens_all(self) -> None:
        ends = []
        for scale in (1.0, 10.0):
            driver, _ = drive(time_scale=scale)
            chat(driver, "run-1/1", '{"answer_tokens": 40}')
            driver.run(5.0)
            books = driver.send("GET", "/emulator/books").json()
            self.assertEqual(books["totals"]["completion_tokens"], 40)
            ends.append(books["calls"][0]["ended_at"])
        self.assertAlmostEqual(ends[0], 10 * ends[1])

    def test_an_answer_without_stream_is_whole(self) -> None:
        driver, _ = drive()
        exchange = chat(driver, "run-1/1", stream=False)
        driver.run(5.0)
        message = exchange.json()["choices"][0]["message"]
        self.assertEqual(len(message["content"].split()), 20)

    def test_a_planned_stop_finishes_what_runs_and_refuses_what_is_new(self) -> None:
        driver, _ = drive()
        running = chat(driver, "run-1/1", '{"answer_tokens": 50}')
        driver.run(0.1)
        driver.event(StopRequested())
        refused = chat(driver, "run-2/1")
        self.assertEqual(refused.status, 503)
        self.assertIn("retry-after", refused.headers)
        self.assertFalse(driver.exited)
        driver.run(5.0)
        self.assertEqual(len(running.text().split()), 50)
        self.assertTrue(driver.exited)


class Fences(unittest.TestCase):
    def test_orders_below_the_highest_fence_are_refused(self) -> None:
        driver, service = drive(model_load_seconds=3.0)
        order = {"fence": 5, "order": "load_model", "name": "model-b", "version": "2"}
        self.assertEqual(driver.send("POST", "/v1/orders", order).status, 202)
        self.assertEqual(chat(driver, "run-1/1", model="model-b").status, 503)
        stale = driver.send("POST", "/v1/orders", {**order, "fence": 4, "order": "unload_model"})
        self.assertEqual((stale.status, stale.json()["error"]["type"]), (409, "fenced"))
        driver.run(3.5)
        exchange = chat(driver, "run-1/1", model="model-b")
        driver.run(5.0)
        self.assertTrue(exchange.text())

    def test_a_call_of_a_former_leader_is_refused(self) -> None:
        driver, service = drive()
        chat(driver, "run-1/1", fence=7)
        stale = chat(driver, "run-1/2", fence=6)
        other = chat(driver, "run-2/1", fence=3)
        driver.run(5.0)
        self.assertEqual(stale.json()["error"]["type"], "fenced")
        self.assertTrue(other.text())
        self.assertEqual([c.call_id for c in service.books.calls], ["run-1/1", "run-2/1"])


class CacheAndLoad(unittest.TestCase):
    def test_hold_inventory_release_and_drop(self) -> None:
        driver, _ = drive()
        chat(driver, "run-1/1", " ".join(f"w{n}" for n in range(64)))
        driver.run(5.0)
        hold = {"cache_key": "run-1", "cache_salt": "tenant", "seconds": 20.0, "fence": 1}
        self.assertEqual(driver.send("POST", "/v1/cache/holds", hold).json(), {"tokens": 80})
        (entry,) = driver.send("GET", "/v1/cache").json()["entries"]
        self.assertEqual((entry["cache_key"], entry["held_seconds"]), ("run-1", 20.0))
        driver.send("DELETE", "/v1/cache/holds/run-1")
        (entry,) = driver.send("GET", "/v1/cache").json()["entries"]
        self.assertIsNone(entry["held_seconds"])
        driver.send("DELETE", "/v1/cache/entries/run-1")
        self.assertEqual(driver.send("GET", "/v1/cache").json()["entries"], [])
        driver.run(5.0)
        feed = driver.send("GET", "/v1/cache/events", query={"after": "0"}).json()
        self.assertEqual(feed["events"][0]["kind"], "stored")
        self.assertEqual(feed["events"][-1], {**feed["events"][-1], "kind": "evicted", "tokens": 0})

    def test_load_lags(self) -> None:
        driver, _ = drive(load_lag_seconds=2.0)
        driver.run(10.0)
        chat(driver, "run-1/1", '{"answer_tokens": 300}')
        self.assertEqual(driver.send("GET", "/v1/load").json()["running"], 0)
        driver.run(2.1)
        load = driver.send("GET", "/v1/load").json()
        self.assertEqual((load["running"], load["age_seconds"]), (1, 2.0))
        self.assertGreater(load["cache_tokens_used"], 0)

    def test_context_moves_between_engines(self) -> None:
        source, _ = drive()
        target, service = drive()
        chat(source, "run-1/1", " ".join(f"w{n}" for n in range(64)))
        source.run(5.0)
        export = source.send("POST", "/v1/cache/exports", {"cache_key": "run-1"}).json()
        body = {"export": export["export"], "source": "10.0.0.1:80", "cache_key": "run-1"}
        imported = target.send("POST", "/v1/cache/imports", body)
        (fetch,) = target.requests
        answer = source.send(fetch.method, fetch.path)
        response = HttpResponse(request=fetch.request, status=200, body=answer.body)
        target.event(response)
        target.run(1.0)
        self.assertEqual(imported.json(), {"tokens": 80})
        chat(target, "run-1/2", " ".join(f"w{n}" for n in range(64)))
        target.run(5.0)
        self.assertEqual(service.books.calls[0].cached_tokens, 64)

    def test_an_export_of_another_key_is_not_taken_in(self) -> None:
        target, service = drive()
        body = {"export": "e", "source": "10.0.0.1:80", "cache_key": "run-1"}
        imported = target.send("POST", "/v1/cache/imports", body)
        foreign = b'{"export":"e","cache_key":"run-9","cache_salt":"t","tokens":16,"blocks":[5]}'
        (fetch,) = target.requests
        target.event(HttpResponse(request=fetch.request, status=200, body=foreign))
        target.run(1.0)
        self.assertEqual(imported.status, 502)
        self.assertEqual(service.model.entries(target.now), [])

    def test_a_model_is_loaded_through_the_throttled_weight_store(self) -> None:
        weights = Driver(
            WeightsService(
                WeightsSettings(bytes_per_second=100.0, sizes={"model-b": 1000}, queue_limit=1),
                random.Random(1),
            )
        )
        engine, service = drive(weights="10.0.0.9:81", weight_bytes_per_second=1000.0)
        order = {"fence": 1, "order": "load_model", "name": "model-b"}
        engine.send("POST", "/v1/orders", order)
        (fetch,) = engine.requests
        answer = weights.send(fetch.method, fetch.path)
        throttled = weights.send(fetch.method, fetch.path)
        self.assertEqual((throttled.status, throttled.headers["retry-after"]), (429, "10"))
        weights.run(9.9)
        self.assertFalse(answer.ended)
        weights.run(0.2)
        engine.event(HttpResponse(request=fetch.request, status=200, body=answer.body))
        self.assertFalse(service.model.registry.ready("model-b"))
        engine.run(1.1)
        self.assertTrue(service.model.registry.ready("model-b"))
