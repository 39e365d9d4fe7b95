"""The client holds to its rate, stops asking a store that is down, and is truthful."""

from __future__ import annotations

import unittest

from returns.result import Failure, Success

from tests.unit.store.bench import Bench
from yokeline.emulator.settings import StoreSettings
from yokeline.errors import Execution
from yokeline.store.protocol import decode_range, decode_watch_line
from yokeline.store.request_bodies import prefix_end


class ClientTest(unittest.TestCase):
    def bench(self, **settings: float) -> None:
        store = StoreSettings(
            **{"requests_per_second": 1000.0, "burst": 1000, "delay_seconds": 0.0} | settings
        )
        self.bench = Bench(store_settings=store)
        self.node = self.bench.add("a")
        self.client = self.node.client

    def ask(self, method: str, *arguments: object, wait: float = 0.02, **options: object) -> list:
        outcome: list = []
        getattr(self.client, method)(*arguments, outcome.append, **options)
        self.bench.flush(self.node)
        self.bench.run(wait)
        return outcome

    def test_swap_read_delete_and_pages(self) -> None:
        self.bench()
        for name in ("a", "b", "c"):
            swap = self.ask("compare_and_swap", f"/x/{name}", 0, b"1")[0].unwrap()
            self.assertTrue(swap.applied)
        again = self.ask("compare_and_swap", "/x/a", 0, b"2")[0].unwrap()
        self.assertFalse(again.applied)
        self.assertEqual(again.current.value, b"1")
        page = self.ask("get_range", "/x/", limit=2)[0].unwrap()
        self.assertEqual(([i.key for i in page.items], page.more), (["/x/a", "/x/b"], True))
        rest = self.ask("get_range", "/x/", after="/x/b")[0].unwrap()
        self.assertEqual(([i.key for i in rest.items], rest.more), (["/x/c"], False))
        deleted = self.ask("delete", "/x/a", again.current.mod_revision)[0].unwrap()
        self.assertTrue(deleted.applied)
        self.assertEqual(self.ask("get", "/x/a")[0].unwrap().items, ())
        before = self.ask("get", "/x/a", revision=deleted.revision - 1)[0].unwrap()
        self.assertEqual(before.items[0].value, b"1")

    def test_a_key_bound_to_a_lease_lapses_with_it(self) -> None:
        self.bench()
        lease = self.ask("grant_lease", 5)[0].unwrap()
        self.ask("compare_and_swap", "/x/leased", 0, b"1", lease=lease.lease)
        self.bench.run(4.0)
        self.assertEqual(self.ask("keep_lease_alive", lease.lease)[0].unwrap().seconds, 5)
        self.bench.run(4.0)
        self.assertEqual(len(self.ask("get", "/x/leased")[0].unwrap().items), 1)
        self.bench.run(2.0)
        self.assertEqual(self.ask("get", "/x/leased")[0].unwrap().items, ())
        self.assertEqual(self.ask("keep_lease_alive", lease.lease)[0].unwrap().seconds, 0)

    def test_requests_are_held_to_the_rate_and_the_overflow_is_refused_as_not_sent(self) -> None:
        self.bench()
        outcomes = [self.ask("get", "/x", wait=0.0) for _ in range(400)]
        self.bench.run(0.02)
        self.assertEqual(sum(len(o) == 1 and isinstance(o[0], Success) for o in outcomes), 40)
        refused = [o[0].failure() for o in outcomes if o and isinstance(o[0], Failure)]
        self.assertEqual(len(refused), 400 - 40 - 256)
        self.assertTrue(all(error.execution is Execution.NOT_RUN for error in refused))
        self.bench.run(2.0)
        self.assertTrue(all(len(outcome) == 1 for outcome in outcomes))

    def test_a_rate_limit_of_the_store_is_not_applied_and_waited_for(self) -> None:
        self.bench(requests_per_second=0.5, burst=1)
        self.ask("get", "/x")
        error = self.ask("compare_and_swap", "/x", 0, b"1")[0].failure()
        self.assertIs(error.execution, Execution.NOT_RUN)
        self.assertAlmostEqual(error.retry_after, 2.0, delta=0.1)
        self.assertEqual(self.bench.store.books, [])

    def test_a_store_that_is_down_is_asked_less_and_less_until_it_answers(self) -> None:
        self.bench()
        self.bench.faults(down=True)
        unknown = self.ask("compare_and_swap", "/x", 0, b"1")[0].failure()
        self.assertIs(unknown.execution, Execution.UNKNOWN)
        self.assertIs(self.ask("get", "/x")[0].failure().execution, Execution.NOT_RUN)
        self.ask("get", "/x")
        self.assertFalse(self.client.available)
        sent = self.node.context.counters['yokeline_store_requests_total{outcome="sent"}']
        refused = self.ask("compare_and_swap", "/x", 0, b"1")[0].failure()
        self.assertIs(refused.execution, Execution.NOT_RUN)
        self.assertGreater(refused.retry_after, 0.0)
        for _ in range(600):
            self.bench.run(0.1)
            self.ask("get", "/x")
        total = self.node.context.counters['yokeline_store_requests_total{outcome="sent"}']
        self.assertLess(total - sent, 40)
        self.bench.faults()
        self.bench.run(6.0)
        self.assertIsInstance(self.ask("get", "/x")[0], Success)
        self.assertTrue(self.client.available)

    def test_malformed_answers_are_failures_not_crashes(self) -> None:
        for body in (b"", b"[]", b"\xff", b'{"kvs":3}', b'{"header":{"revision":"x"}}'):
            self.assertIsInstance(decode_range(body), Failure)
            self.assertIsInstance(decode_watch_line(b"x" + body), Failure)

    def test_the_head_of_a_watch_is_no_progress(self) -> None:
        created = b'{"result":{"header":{"revision":"9"},"created":true}}'
        notice = b'{"result":{"header":{"revision":"9"}}}'
        self.assertEqual(decode_watch_line(created).unwrap().upto, 0)
        self.assertEqual(decode_watch_line(notice).unwrap().upto, 9)

    def test_prefix_end(self) -> None:
        self.assertEqual(prefix_end("/x/"), b"/x0")


if __name__ == "__main__":
    unittest.main()
