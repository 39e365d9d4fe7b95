"""What a node knows of cold engines: stale or missing knowledge counts as cold."""

from __future__ import annotations

import math
import unittest

from yokeline.effects import (
    Address,
    Effect,
    Event,
    HttpCancel,
    HttpFailed,
    HttpRequest,
    HttpResponse,
    HttpStreamItem,
    LogRecord,
)
from yokeline.forwarding.cold_engine_tracker import ENTRY_LAG_SECONDS, ColdEngineTracker
from yokeline.forwarding.model import Engine, Pool
from yokeline.identifiers import RequestId
from yokeline.scheduling.cold_engines import ColdEngineRates

COLD_SECONDS = 3.0
POOLS = {"p": Pool(name="p", max_connections=1, cold_seconds=COLD_SECONDS, cold_rate=24.0)}
ENGINE = "e@1"
REQUEST = RequestId("call/1")


class TrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.start(first_start=True)

    def start(self, *, first_start: bool, own_record_found: bool = False) -> None:
        """Start a node that has read the configuration and the list of entries."""
        self.now = 100.0
        self.revision = 1
        self.rates = ColdEngineRates("n", 1.5, 5.0, 0.0)
        self.rates.set_nodes(("n",), 0.0)
        self.tracker = ColdEngineTracker(self.rates, first_start=first_start)
        self.tracker.set_pools(POOLS, self.now)
        self.tracker.begin_batch(own_record_found=own_record_found)

    def entry(
        self, seconds_left: float = 0.0, engine_id: str = ENGINE, *, is_new: bool = True
    ) -> list[LogRecord]:
        """Apply an entry; it is the known one again unless ``is_new``."""
        self.revision += is_new
        engine = Engine(
            engine_id=engine_id,
            instance="e",
            pool="p",
            address=Address("10.0.0.1", 1),
            zone="a",
            slots=6,
            cold_seconds_left=seconds_left,
        )
        return self.tracker.apply_entry(engine, self.revision, self.now)

    def seconds_cold(self, engine_id: str = ENGINE) -> float:
        cold = self.rates.cold_engine(engine_id, self.now)
        return round(cold.until - self.now, 6) if cold is not None else 0.0

    def send(self, request: RequestId = REQUEST) -> None:
        self.rates.record_send(ENGINE, self.now)
        self.observe(None, [_http_request(request)], under_way=True)

    def observe(
        self,
        event: Event | None,
        effects: list[Effect],
        *,
        under_way: bool = False,
        failed_now: bool = False,
    ) -> list[LogRecord]:
        sent = (ENGINE, self.now) if under_way else None
        records = self.tracker.observe_event(event, self.now) if event is not None else []
        return records + self.tracker.observe_effects(
            event or HttpStreamItem(request=RequestId("other"), data=b""),
            effects,
            lambda _request: sent,
            lambda _engine: failed_now,
            self.now,
        )

    def answer(self, status: int = 200) -> list[LogRecord]:
        return self.observe(HttpResponse(request=REQUEST, status=status, body=b"ok"), [])

    def engine_fails(
        self, *, sent: bool = True, stale: bool = False, fresh: bool = False
    ) -> list[LogRecord]:
        event = HttpFailed(request=REQUEST, sent=sent, reason="reset", stale=stale, fresh=fresh)
        return self.observe(event, [])

    def had_traffic(self) -> None:
        self.entry(engine_id="other@1")
        self.rates.record_send("other@1", self.now)
        self.observe(None, [_http_request(REQUEST)], under_way=True)
        self.answer()


def _http_request(request: RequestId) -> HttpRequest:
    return HttpRequest(request=request, address=Address("10.0.0.1", 1), method="POST", path="/")


class Entries(TrackerTest):
    def test_an_engine_that_registered_before_the_first_traffic_is_warm(self) -> None:
        self.assertEqual(self.entry(), [])
        self.assertEqual(self.seconds_cold(), 0.0)

    def test_a_new_incarnation_is_cold_though_its_first_entry_says_nothing(self) -> None:
        self.had_traffic()
        self.tracker.begin_batch(own_record_found=True)
        records = self.entry()
        self.assertEqual(self.seconds_cold(), COLD_SECONDS)
        self.assertEqual(records[0].event, "engine_cold")
        self.assertEqual(records[0].fields["reason"], "started")

    def test_a_later_entry_tells_that_a_new_incarnation_is_warm(self) -> None:
        self.had_traffic()
        self.tracker.begin_batch(own_record_found=True)
        self.entry()
        self.now += 1.0
        records = self.entry()
        self.assertEqual(self.seconds_cold(), 0.0)
        self.assertEqual(records[0].event, "engine_warm")
        self.assertEqual(records[0].fields["seconds"], 1.0)

    def test_the_time_left_counts_from_when_the_revision_was_first_seen(self) -> None:
        """A list of all entries repeats an old entry, which must not extend or restart the time."""
        self.entry(2.5)
        self.now += 1.0
        self.assertEqual(self.seconds_cold(), 1.5)
        self.entry(2.5, is_new=False)
        self.assertEqual(self.seconds_cold(), 1.5)

    def test_an_entry_without_a_start_may_say_that_an_engine_is_cold_again(self) -> None:
        self.entry()
        self.now += 10.0
        self.entry(3.0)
        self.assertEqual(self.seconds_cold(), 3.0)

    def test_a_node_that_restarts_believes_the_entries_that_it_finds(self) -> None:
        """If all nodes lose power together, warm engines must not be held to the rate of cold
        ones; an engine that appears after the first list has started.
        """
        for first_start, own_record_found in ((False, False), (False, True), (True, True)):
            self.start(first_start=first_start, own_record_found=own_record_found)
            self.entry()
            self.assertEqual(self.seconds_cold(), 0.0)
            self.entry(2.0, engine_id="cold@1")
            self.assertEqual(self.seconds_cold("cold@1"), 2.0)
            self.tracker.begin_batch(own_record_found=True)
            self.entry(engine_id="later@1")
            self.assertEqual(self.seconds_cold("later@1"), COLD_SECONDS)

    def test_an_engine_turns_warm_with_a_log_line(self) -> None:
        self.entry(2.0)
        self.assertEqual(self.tracker.next_deadline(), self.now + 2.0)
        self.now += 2.0
        records = self.tracker.tick(self.now)
        self.assertEqual([record.event for record in records], ["engine_warm"])
        self.assertIsNone(self.tracker.next_deadline())

    def test_an_entry_that_returns_is_no_new_incarnation(self) -> None:
        """Entries vanish together while the key-value service is down."""
        self.entry()
        self.had_traffic()
        self.tracker.forget(ENGINE)
        self.entry()
        self.assertEqual(self.seconds_cold(), 0.0)

    def test_engines_may_be_marked(self) -> None:
        self.entry()
        records = self.tracker.mark_cold([ENGINE, "unknown"], "evacuation_ended", self.now)
        self.assertEqual(records[0].fields["reason"], "evacuation_ended")
        self.assertEqual(self.seconds_cold(), COLD_SECONDS)

    def test_the_configuration_may_come_after_the_entries(self) -> None:
        self.start(first_start=False)
        self.tracker.set_pools({}, self.now)
        self.assertEqual(self.entry(2.0), [])
        self.assertFalse(self.tracker.is_active)
        self.now += 0.5
        self.assertEqual(len(self.tracker.set_pools(POOLS, self.now)), 1)
        self.assertEqual(self.seconds_cold(), 1.5)

    def test_nothing_is_tracked_without_a_rate(self) -> None:
        pool = Pool(name="p", max_connections=1, cold_seconds=3.0, cold_rate=0.0)
        self.start(first_start=False)
        self.tracker.set_pools({"p": pool}, self.now)
        self.assertEqual(self.entry(2.0), [])
        self.assertEqual(self.engine_fails(), [])
        self.assertEqual(self.tracker.mark_cold([ENGINE], "evacuation_ended", self.now), [])
        self.assertFalse(self.tracker.is_active)
        self.assertIsNone(self.tracker.next_deadline())

    def test_a_rate_that_is_taken_away_ends_the_bound(self) -> None:
        self.entry(2.0)
        self.tracker.set_pools({}, self.now)
        self.assertFalse(self.tracker.is_active)
        self.assertIsNone(self.tracker.next_deadline())


class Silences(TrackerTest):
    def setUp(self) -> None:
        super().setUp()
        self.entry()
        self.send()

    def test_an_engine_that_fails_is_cold_until_it_has_answered_for_a_while(self) -> None:
        """Nobody can tell whether it has restarted; all nodes would send at once on its return."""
        for sent in (True, False):
            self.setUp()
            records = self.engine_fails(sent=sent)
            self.assertEqual(
                records[0].fields, {"engine": ENGINE, "reason": "silent", "seconds": None}
            )
            self.assertEqual(self.seconds_cold(), math.inf)
            self.now += 20.0
            self.send()
            records = self.answer()
            self.assertEqual(records[0].fields["reason"], "returned")
            self.assertEqual(self.seconds_cold(), COLD_SECONDS)

    def test_requests_count_once_whether_the_engine_was_warm_or_cold(self) -> None:
        self.assertEqual(self.rates._instances["e"].window.count(self.now), 1)
        self.answer()
        self.now += 5.0
        self.entry(10.0)
        self.send()
        self.assertEqual(self.rates._instances["e"].window.count(self.now), 1)

    def test_a_reset_request_counts_for_a_second_and_one_that_timed_out_for_longer(self) -> None:
        window = self.rates._instances["e"].window
        self.engine_fails()
        self.assertEqual(window.count(self.now + 0.9), 1)
        self.assertEqual(window.count(self.now + 1.0), 0)
        self.send()
        self.observe(HttpFailed(request=REQUEST, sent=True, reason="silent", silent=True), [])
        self.assertEqual(window.count(self.now + 4.9), 1)
        self.assertEqual(window.count(self.now + 5.0), 0)

    def test_requests_of_a_replaced_incarnation_leave_the_window_when_they_end(self) -> None:
        """They would otherwise hold a place at the next incarnation for half a minute."""
        self.tracker.forget(ENGINE)
        self.entry(3.0, engine_id="e@2")
        window = self.rates._instances["e"].window
        self.assertEqual(window.count(self.now), 1)
        self.engine_fails()
        self.assertEqual(window.count(self.now + 1.0), 0)

    def test_a_request_that_timed_out_is_a_silence(self) -> None:
        self.observe(None, [HttpCancel(REQUEST)], failed_now=True)
        self.assertEqual(self.seconds_cold(), math.inf)

    def time_out(self) -> None:
        self.observe(HttpFailed(request=REQUEST, sent=True, reason="silent", silent=True), [])

    def test_a_time_out_at_an_engine_that_answers_others_is_no_silence(self) -> None:
        """Deadlines under overload would otherwise make a node treat all its engines as cold."""
        for is_cancelled in (False, True):
            self.setUp()
            other = RequestId("call/0")
            self.send(other)
            self.now += 5.0
            self.observe(HttpResponse(request=other, status=200), [], under_way=True)
            self.now += 1.0
            if is_cancelled:
                self.observe(None, [HttpCancel(REQUEST)], failed_now=True)
            else:
                self.time_out()
            self.assertEqual(self.seconds_cold(), 0.0)

    def test_a_time_out_a_while_after_the_last_answer_is_a_silence(self) -> None:
        other = RequestId("call/0")
        self.send(other)
        self.observe(HttpResponse(request=other, status=200, body=b"ok"), [])
        self.now += 1.1
        self.time_out()
        self.assertEqual(self.seconds_cold(), math.inf)

    def test_a_time_out_at_an_engine_that_writes_entries_is_no_silence(self) -> None:
        """A node has few requests at each engine, so others may not show that the engine runs."""
        self.now += ENTRY_LAG_SECONDS
        self.entry()
        self.now += 1.2
        self.time_out()
        self.assertEqual(self.seconds_cold(), 0.0)

    def test_entries_before_a_stream_falls_silent_do_not_show_that_the_engine_runs(self) -> None:
        """A long stream was sent before these entries; its engine may have stopped after them."""
        self.observe(HttpResponse(request=REQUEST, status=200), [], under_way=True)
        self.now += 10.0
        self.entry()
        self.observe(HttpStreamItem(request=REQUEST, data=b"x"), [], under_way=True)
        self.now += 1.5
        self.time_out()
        self.assertEqual(self.seconds_cold(), math.inf)
        self.now += 0.4
        self.entry()
        self.assertEqual(self.seconds_cold(), math.inf)
        self.now += 0.1
        self.entry()
        self.assertEqual(self.seconds_cold(), 0.0)

    def test_a_time_out_of_an_earlier_request_does_not_shorten_a_mark(self) -> None:
        """The entry may have been written before the evacuation ended."""
        self.now += 5.0
        self.tracker.mark_cold([ENGINE], "evacuated", self.now)
        self.time_out()
        self.now += 1.9
        self.entry()
        self.assertEqual(self.seconds_cold(), math.inf)
        self.now += 0.1
        self.entry()
        self.assertEqual(self.seconds_cold(), 0.0)

    def test_the_next_entry_ends_the_silence_after_a_time_out(self) -> None:
        """The entry is later than the request that timed out, so the engine was running."""
        self.now += 1.5
        self.time_out()
        self.now += 0.4
        self.entry()
        self.assertEqual(self.seconds_cold(), math.inf)
        self.now += 0.1
        self.entry()
        self.assertEqual(self.seconds_cold(), 0.0)

    def test_an_entry_that_may_precede_the_request_or_is_old_does_not_show_that_it_runs(
        self,
    ) -> None:
        for seen_after, timed_out_after in ((1.9, 0.1), (2.0, 2.1)):
            self.setUp()
            self.now += seen_after
            self.entry()
            self.now += timed_out_after
            self.time_out()
            self.assertEqual(self.seconds_cold(), math.inf)

    def test_a_refusal_is_a_silence_though_the_engine_answered_a_moment_ago(self) -> None:
        """A process that has ended refuses connections at once."""
        other = RequestId("call/0")
        self.send(other)
        self.observe(HttpResponse(request=other, status=200, body=b"ok"), [])
        self.engine_fails(sent=False)
        self.assertEqual(self.seconds_cold(), math.inf)

    def test_a_caller_that_went_is_no_silence(self) -> None:
        self.observe(None, [HttpCancel(REQUEST)])
        self.assertEqual(self.seconds_cold(), 0.0)

    def test_a_limit_of_this_node_is_no_silence(self) -> None:
        """A burst beyond the node's connections, or answers that are too large, would make a node
        treat running engines as cold.
        """
        for sent in (False, True):
            self.setUp()
            reason = "too many connections are open"
            failure = HttpFailed(request=REQUEST, sent=sent, reason=reason, is_outage=False)
            self.assertEqual(self.observe(failure, []), [])
            self.assertEqual(self.seconds_cold(), 0.0)

    def test_a_closed_idle_connection_is_no_silence(self) -> None:
        self.engine_fails(stale=True)
        self.assertEqual(self.seconds_cold(), 0.0)

    def test_a_stream_that_breaks_off_is_a_silence(self) -> None:
        self.observe(HttpResponse(request=REQUEST, status=200), [], under_way=True)
        self.observe(HttpStreamItem(request=REQUEST, data=b"x"), [], under_way=True)
        self.engine_fails()
        self.assertEqual(self.seconds_cold(), math.inf)

    def fail_and_answer_earlier_request(self, delay: float = 0.2, *, fresh: bool = False) -> None:
        """Let the second of two requests fail, and then the first one be answered."""
        first = RequestId("call/0")
        self.send(first)
        self.now += 0.1
        self.send()
        self.now += 0.1
        self.engine_fails(fresh=fresh)
        self.assertEqual(self.seconds_cold(), math.inf)
        self.now += delay
        self.observe(HttpResponse(request=first, status=200, body=b"ok"), [])

    def test_the_answer_to_an_earlier_request_shows_that_only_a_connection_failed(self) -> None:
        """Each reset by the network would otherwise take a busy engine's cached contexts away."""
        self.fail_and_answer_earlier_request()
        self.assertEqual(self.seconds_cold(), 0.0)

    def test_such_an_answer_shows_nothing_after_a_refusal_or_a_longer_silence(self) -> None:
        self.fail_and_answer_earlier_request(fresh=True)
        self.assertEqual(self.seconds_cold(), COLD_SECONDS)
        self.setUp()
        self.fail_and_answer_earlier_request(delay=0.6)
        self.assertEqual(self.seconds_cold(), COLD_SECONDS)

    def test_an_entry_that_may_precede_the_silence_ends_nothing(self) -> None:
        self.engine_fails()
        self.now += 0.5
        self.entry()
        self.assertEqual(self.seconds_cold(), math.inf)

    def test_a_newer_entry_says_how_long_the_engine_is_cold(self) -> None:
        self.engine_fails()
        self.now += ENTRY_LAG_SECONDS
        self.entry(1.5)
        self.assertEqual(self.seconds_cold(), 1.5)
        self.engine_fails()
        self.entry()
        self.assertEqual(self.seconds_cold(), 0.0)

    def test_an_answer_of_a_removed_engine_is_not_logged_as_a_return(self) -> None:
        """Nothing would log its end, since a removed engine is no longer restricted."""
        other = RequestId("call/0")
        self.send(other)
        self.engine_fails()
        self.tracker.forget(ENGINE)
        records = self.observe(HttpResponse(request=other, status=200, body=b"ok"), [])
        self.assertEqual(records, [])

    def test_ended_requests_are_not_remembered(self) -> None:
        self.answer()
        self.send()
        self.engine_fails()
        self.send()
        self.observe(None, [HttpCancel(REQUEST)])
        self.assertEqual(self.tracker._sent, {})


if __name__ == "__main__":
    unittest.main()
