from __future__ import annotations

import random
import unittest

from yokeline.effects import Address, HttpFailed, HttpRequest, HttpResponse
from yokeline.identifiers import RequestId
from yokeline.registry.client import RegistryClient
from yokeline.registry.protocol import (
    HistoryLost,
    Page,
    RegistryAnswer,
    StoredItem,
    StoreRefused,
    WatchEvents,
    Written,
)
from yokeline.registry.watch import (
    FIRST_WATCH_DELAY_SECONDS,
    MAX_RETAINED_CHANGES,
    MAX_RETRY_DELAY_SECONDS,
    Changes,
    PrefixWatch,
    Whole,
)


class ScriptedStore:
    """Puts the name of each call into the request's path; responses decode to ``next_answer``."""

    def __init__(self) -> None:
        self.next_answer: RegistryAnswer = HistoryLost()
        self.requested_stale: list[bool] = []

    def _call(self, request: RequestId, path: str) -> HttpRequest:
        return HttpRequest(request=request, address=Address("s", 1), method="GET", path=path)

    def list_call(
        self, request: RequestId, prefix: str, after_key: str, *, may_lag: bool
    ) -> HttpRequest:
        self.requested_stale.append(may_lag)
        return self._call(request, f"list {prefix} {after_key}".strip())

    def read_call(self, request: RequestId, key: str) -> HttpRequest:
        return self._call(request, f"read {key}")

    def watch_call(
        self, request: RequestId, prefix: str, revision: int, wait: float
    ) -> HttpRequest:
        return self._call(request, f"watch {prefix} {revision}")

    def write_call(
        self, request: RequestId, key: str, value: bytes, expected: int | None
    ) -> HttpRequest:
        return self._call(request, f"write {key} {expected}")

    def read_answer(self, response: HttpResponse) -> RegistryAnswer:
        return self.next_answer


def item(key: str, revision: int, value: bytes | None = b"v") -> StoredItem:
    return StoredItem(key, value, revision)


class Watches(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ScriptedStore()
        self.watch = PrefixWatch("p/", self.store, random.Random(1))
        self.now = 0.0

    def call(self) -> HttpRequest:
        due = self.watch.next_deadline()
        assert due is not None
        self.now = max(self.now, due)
        made = self.watch.tick(self.now)
        assert made is not None
        return made

    def answer(self, answer: RegistryAnswer) -> list[StoredItem]:
        made = self.call()
        self.assertTrue(self.watch.owns(made.request))
        self.store.next_answer = answer
        return self.watch.on_response(HttpResponse(request=made.request, status=200), self.now)

    def test_it_lists_all_pages_and_watches_from_the_revision_of_the_first(self) -> None:
        self.assertEqual(self.answer(Page((item("p/a", 3),), True, 10)), [])
        self.assertFalse(self.watch.complete)
        changed = self.answer(Page((item("p/b", 12),), False, 14))
        self.assertEqual([entry.key for entry in changed], ["p/a", "p/b"])
        self.assertEqual(self.call().path, "watch p/ 10")

    def test_watching_starts_at_the_lowest_revision_of_all_pages(self) -> None:
        """Otherwise changes between the revisions of two pages are never read."""
        self.answer(Page((item("p/a", 3),), True, 10))
        self.answer(Page((item("p/b", 2),), False, 7))
        self.assertEqual(self.call().path, "watch p/ 7")

    def test_the_first_watch_request_is_delayed_so_that_other_nodes_can_register(self) -> None:
        """Otherwise each of the nodes that start together wakes all others."""
        self.answer(Page((item("p/a", 3),), False, 10))
        listed_at = self.now
        self.call()
        self.assertAlmostEqual(self.now - listed_at, FIRST_WATCH_DELAY_SECONDS)
        self.store.next_answer = HistoryLost()
        pending = RequestId(f"watch/{self.watch.prefix}/2")
        self.watch.on_response(HttpResponse(request=pending, status=410), self.now)
        self.answer(Page((item("p/a", 3),), False, 20))
        listed_at = self.now
        self.call()
        self.assertEqual(self.now, listed_at)

    def test_only_the_first_list_may_be_stale(self) -> None:
        self.answer(Page((item("p/a", 3),), True, 10))
        self.answer(Page((item("p/b", 12),), False, 14))
        self.answer(HistoryLost())
        self.answer(Page((item("p/a", 3), item("p/b", 12)), False, 20))
        self.assertEqual(self.store.requested_stale, [True, True, False])

    def test_a_missed_change_that_another_node_has_read_causes_a_relist(self) -> None:
        """The pending watch request may be at a service that no longer receives changes."""
        self.answer(Page((item("p/a", 3),), False, 10))
        waiting = self.call()
        self.assertFalse(self.watch.is_behind(12, self.now))
        self.assertFalse(self.watch.is_behind(12, self.now + 0.3))
        self.assertTrue(self.watch.is_behind(12, self.now + 0.5))
        self.assertEqual(self.watch.relist(self.now), waiting.request)
        self.assertEqual(self.call().path, "list p/")

    def test_a_change_that_is_read_in_time_causes_no_relist(self) -> None:
        self.answer(Page((item("p/a", 3),), False, 10))
        self.assertFalse(self.watch.is_behind(12, self.now))
        self.answer(WatchEvents((item("p/a", 12),), 12))
        self.assertFalse(self.watch.is_behind(12, self.now + 0.5))
        self.assertEqual(self.call().path, "watch p/ 12")

    def test_a_response_without_changes_does_not_confirm_its_revision(self) -> None:
        """A service that no longer receives changes still reports the latest revision."""
        self.answer(Page((item("p/a", 3),), False, 10))
        self.answer(WatchEvents((), 29))
        self.assertFalse(self.watch.is_behind(27, self.now))
        self.assertTrue(self.watch.is_behind(27, self.now + 0.5))
        changed = self.watch.adopt(Whole(27, (item("p/a", 27),)), self.now)
        self.assertEqual([entry.revision for entry in changed], [27])
        self.assertEqual(self.call().path, "watch p/ 27")

    def test_a_snapshot_of_another_node_is_applied_if_it_is_later(self) -> None:
        self.answer(Page((item("p/a", 3), item("p/b", 4)), False, 10))
        self.assertEqual(self.watch.adopt(Whole(9, (item("p/a", 2),)), self.now), [])
        changed = self.watch.adopt(Whole(12, (item("p/a", 11),)), self.now)
        self.assertEqual(
            [(entry.key, entry.value) for entry in changed], [("p/b", None), ("p/a", b"v")]
        )
        self.assertEqual(self.call().path, "watch p/ 12")

    def test_a_starting_node_that_the_service_refuses_is_complete_after_a_snapshot(self) -> None:
        self.answer(StoreRefused(503, ()))
        self.watch.adopt(Whole(12, (item("p/a", 11),)), self.now)
        self.assertTrue(self.watch.complete)
        whole = self.watch.whole()
        assert whole is not None
        self.assertEqual(whole.revision, 12)

    def test_the_second_page_begins_after_the_last_key_of_the_first(self) -> None:
        self.answer(Page((item("p/a", 3),), True, 10))
        self.assertEqual(self.call().path, "list p/ p/a")

    def test_an_event_for_a_listed_revision_changes_nothing(self) -> None:
        self.answer(Page((item("p/a", 12),), False, 10))
        self.assertEqual(self.answer(WatchEvents((item("p/a", 12),), 12)), [])
        later = self.answer(WatchEvents((item("p/a", 13),), 13))
        self.assertEqual(later, [item("p/a", 13)])

    def test_lost_history_causes_a_relist_that_finds_removals(self) -> None:
        self.answer(Page((item("p/a", 3), item("p/b", 4)), False, 10))
        self.answer(HistoryLost())
        changed = self.answer(Page((item("p/b", 4), item("p/c", 20)), False, 21))
        self.assertEqual(
            [(entry.key, entry.value) for entry in changed], [("p/a", None), ("p/c", b"v")]
        )
        self.assertEqual(self.call().path, "watch p/ 21")

    def test_a_refused_or_failed_request_is_retried_and_keeps_the_items(
        self,
    ) -> None:
        self.answer(Page((item("p/a", 3),), False, 10))
        self.answer(StoreRefused(503, ()))
        made = self.call()
        self.watch.on_failure(
            HttpFailed(request=made.request, sent=True, reason="silent"), self.now
        )
        self.assertEqual(self.watch.failures, 2)
        due = self.watch.next_deadline()
        assert due is not None
        self.assertGreater(due, self.now)
        self.assertIn("p/a", self.watch.items)
        self.assertEqual(self.call().path, "watch p/ 10")

    def test_a_watch_retries_after_an_outage_of_any_length(self) -> None:
        self.answer(Page((item("p/a", 3),), False, 10))
        for _ in range(5000):
            made = self.call()
            self.watch.on_failure(
                HttpFailed(request=made.request, sent=True, reason="refused"), self.now
            )
            due = self.watch.next_deadline()
            assert due is not None
            self.assertLessEqual(due - self.now, MAX_RETRY_DELAY_SECONDS)
            self.now = due


class Writes(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ScriptedStore()
        self.client = RegistryClient(self.store, (), random.Random(1))
        self.outcomes: list[bool] = []

    def attempt(self, now: float, answer: RegistryAnswer | None) -> list[str]:
        calls = [call for call in self.client.tick(now) if isinstance(call, HttpRequest)]
        for call in calls:
            if answer is None:
                event: HttpFailed | HttpResponse = HttpFailed(
                    request=call.request, sent=True, reason="answer lost"
                )
            else:
                self.store.next_answer = answer
                event = HttpResponse(request=call.request, status=200)
            self.client.take(event, now)
        return [call.path for call in calls]

    def test_a_write_is_retried_until_its_outcome_is_known(self) -> None:
        self.client.write("k", b"mine", 0.0, done=self.outcomes.append)
        self.assertEqual(self.attempt(0.0, None), ["write k None"])
        self.assertEqual(self.attempt(0.1, None), [])
        self.assertEqual(self.attempt(1.0, Written(5)), ["write k None"])
        self.assertEqual(self.outcomes, [True])
        self.assertIsNone(self.client.next_deadline())

    def test_a_conflict_with_the_own_value_counts_as_success(self) -> None:
        self.client.write("k", b"mine", 0.0, expected=0, done=self.outcomes.append)
        self.attempt(0.0, None)
        self.attempt(1.0, StoreRefused(412, (item("k", 4, b"mine"),)))
        self.assertEqual(self.outcomes, [True])

    def test_a_conflict_with_another_value_counts_as_failure(self) -> None:
        self.client.write("k", b"mine", 0.0, expected=0, done=self.outcomes.append)
        self.attempt(0.0, StoreRefused(412, (item("k", 4, b"theirs"),)))
        self.assertEqual(self.outcomes, [False])


class EnsuredRecords(unittest.TestCase):
    def client(self, found: StoredItem) -> tuple[RegistryClient, list[str]]:
        """Return a client that has read one item, and the paths of its next requests."""
        store = ScriptedStore()
        client = RegistryClient(store, ("p/",), random.Random(1))
        client.ensure("p/me", b"mine")
        first = [call for call in client.tick(0.0) if isinstance(call, HttpRequest)]
        store.next_answer = Page((found,), False, 10)
        client.take(HttpResponse(request=first[0].request, status=200), 0.0)
        calls = [
            call
            for now in (0.0, FIRST_WATCH_DELAY_SECONDS)
            for call in client.tick(now)
            if isinstance(call, HttpRequest)
        ]
        return client, [call.path for call in calls]

    def test_an_unchanged_record_is_not_written(self) -> None:
        _, calls = self.client(item("p/me", 3, b"mine"))
        self.assertEqual(calls, ["watch p/ 10"])

    def test_a_record_that_is_missing_or_differs_is_written_once(self) -> None:
        for found in (item("p/other", 3), item("p/me", 3, b"older")):
            client, calls = self.client(found)
            self.assertIn("write p/me None", calls)
            self.assertEqual(client.tick(FIRST_WATCH_DELAY_SECONDS + 0.1), [])


class Followers(Watches):
    """A follower sends no requests; it applies the changes of a node that watches."""

    def listed(self, *items: StoredItem, revision: int = 10) -> PrefixWatch:
        watch = PrefixWatch("p/", self.store, random.Random(1))
        call = watch.tick(0.0)
        assert call is not None
        self.store.next_answer = Page(items, False, revision)
        watch.on_response(HttpResponse(request=call.request, status=200), 0.0)
        return watch

    def test_a_follower_sends_no_watch_request_until_it_stops_following(self) -> None:
        watch = self.listed()
        watch.follows = True
        self.assertIsNone(watch.next_deadline())
        self.assertIsNone(watch.tick(5.0))
        watch.follows = False
        call = watch.tick(5.0)
        assert call is not None
        self.assertEqual(call.path, "watch p/ 10")

    def test_a_follower_lists_first(self) -> None:
        watch = PrefixWatch("p/", self.store, random.Random(1))
        watch.follows = True
        self.assertIsNotNone(watch.tick(0.0))

    def test_changes_and_removals_of_another_node_are_applied_once(self) -> None:
        source = self.listed(item("p/a", 5), item("p/b", 6))
        follower = self.listed(item("p/a", 5), item("p/b", 6))
        call = source.tick(1.0)
        assert call is not None
        self.store.next_answer = WatchEvents((item("p/c", 11), item("p/a", 12, None)), 12)
        source.on_response(HttpResponse(request=call.request, status=200), 1.0)
        changes = source.changes_after(follower.last_change)
        assert changes is not None
        applied = follower.adopt_changes(changes, 1.0)
        self.assertEqual([(n.key, n.value) for n in applied], [("p/c", b"v"), ("p/a", None)])
        self.assertEqual((sorted(follower.items), follower.last_change), (["p/b", "p/c"], 12))
        self.assertEqual(follower.adopt_changes(changes, 1.0), [])

    def test_changes_after_a_gap_are_ignored(self) -> None:
        follower = self.listed()
        changes = Changes(11, 14, (item("p/x", 14),))
        self.assertEqual(follower.adopt_changes(changes, 1.0), [])
        self.assertEqual(follower.last_change, 10)

    def test_only_fully_retained_changes_are_returned(self) -> None:
        source = self.listed(revision=10)
        self.assertIsNone(source.changes_after(9))
        self.assertIsNone(source.changes_after(11))
        no_changes = source.changes_after(10)
        assert no_changes is not None
        self.assertEqual(no_changes.items, ())
        call = source.tick(1.0)
        assert call is not None
        many = tuple(item(f"p/{number}", 11 + number) for number in range(MAX_RETAINED_CHANGES + 1))
        self.store.next_answer = WatchEvents(many, many[-1].revision)
        source.on_response(HttpResponse(request=call.request, status=200), 1.0)
        self.assertIsNone(source.changes_after(10))
        self.assertIsNotNone(source.changes_after(11))

    def test_a_late_older_change_does_not_undo_a_removal(self) -> None:
        watch = self.listed(item("p/a", 5))
        watch.adopt_changes(Changes(10, 14, (item("p/a", 14, None),)), 1.0)
        call = watch.tick(1.0)
        assert call is not None
        self.store.next_answer = WatchEvents((item("p/a", 12),), 14)
        watch.on_response(HttpResponse(request=call.request, status=200), 1.0)
        self.assertEqual(watch.items, {})

    def test_a_list_older_than_applied_changes_removes_nothing(self) -> None:
        watch = self.listed(revision=10)
        watch.relist(1.0)
        watch.adopt_changes(Changes(10, 14, (item("p/new", 14),)), 1.0)
        call = watch.tick(1.0)
        assert call is not None
        self.store.next_answer = Page((), False, 12)
        watch.on_response(HttpResponse(request=call.request, status=200), 1.0)
        self.assertEqual(list(watch.items), ["p/new"])

    def test_a_steady_stream_of_changes_read_in_time_causes_no_relist(self) -> None:
        watch = self.listed(revision=10)
        now = 0.0
        for revision in range(11, 60):
            now += 0.3
            self.assertFalse(watch.is_behind(revision, now))
            watch.adopt_changes(Changes(revision - 1, revision, ()), now + 0.1)

    def test_a_missed_change_causes_a_relist_while_others_arrive(self) -> None:
        watch = self.listed(revision=10)
        found = [watch.is_behind(11 + number, 0.1 * number) for number in range(10)]
        self.assertIn(True, found)
