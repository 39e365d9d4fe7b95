"""What a planned stop does with requests that arrive, and with those that are open at its end."""

from __future__ import annotations

import unittest
from unittest import mock

from tests.unit.forwarding.support import Played
from yokeline.effects import HttpStreamEnd
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.planned_stop import (
    CHECK_SECONDS,
    CLOSE_CONNECTIONS_AFTER_SECONDS,
    PlannedStop,
    RequestTimes,
)
from yokeline.ledger.operations import Granted, Settle

GRACE_SECONDS = 8.0
START = 100.0


def begun(grace_seconds: float = GRACE_SECONDS, start: float = START) -> PlannedStop:
    stop = PlannedStop(grace_seconds)
    stop.begin(start)
    return stop


def check_until(stop: PlannedStop, end: float, *, late: float = 0.0) -> float:
    """Check at each due time, some seconds late; return the last time."""
    now = START
    while now < end:
        due = stop.next_deadline()
        assert due is not None
        now = due + late
        stop.check(now, is_busy=True)
    return now


class FinalAnswers(unittest.TestCase):
    """Requests that were open at the exit ended without an answer."""

    def stopped(self, played: Played) -> list[int]:
        """Give the final answers; return the statuses of whole ones."""
        before = len(played.replies)
        played.take(played.forwarder.answer_all(played.now))
        self.assertEqual(played.forwarder.under_way, 0)
        return [reply.status for reply in played.replies[before:]]

    def test_a_call_at_an_engine_fails_and_is_not_said_to_be_not_run(self) -> None:
        for path in ("/fix/x", "/look/x", "/look-twice/x"):
            played = Played()
            played.request(path)
            self.assertEqual(self.stopped(played), [502])
            self.assertEqual(len(played.cancelled), 1)

    def test_a_request_that_was_not_passed_on_is_refused(self) -> None:
        waiting = Played(engines_per_pool=1, slots=1)
        for _ in range(3):
            waiting.request("/fix/x")
        self.assertEqual(len(waiting.sent), 2)
        self.assertEqual(self.stopped(waiting), [502, 502, 503])
        reserving = Played()
        reserving.turn("/turn/x")
        self.assertEqual((self.stopped(reserving), reserving.sent), ([503], []))
        held = Played()
        held.forwarder.table = None
        held.request("/fix/x")
        self.assertEqual((self.stopped(held), held.forwarder.held), ([503], 0))

    def test_a_call_that_waits_for_another_engine_fails(self) -> None:
        played = Played()
        played.request("/look-twice/x")
        played.engine_breaks(sent=True)
        self.assertEqual(self.stopped(played), [502])

    def test_a_begun_stream_is_aborted_and_its_tokens_are_settled(self) -> None:
        played = Played()
        played.turn("/turn/x")
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_sends(1, 2)
        self.assertEqual(self.stopped(played), [])
        end = played.stream[-1]
        self.assertTrue(isinstance(end, HttpStreamEnd) and end.aborted)
        settled = played.operations()[-1]
        self.assertTrue(isinstance(settled, Settle) and settled.tokens == 20)

    def test_a_turn_that_is_being_kept_is_not_passed_off_as_whole(self) -> None:
        played = Played()
        played.turn("/kept/x")
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_sends(1)
        played.engine_ends()
        self.assertEqual(self.stopped(played), [])
        self.assertFalse(played.is_whole())

    def test_a_fault_at_one_request_leaves_no_other_without_an_answer(self) -> None:
        played = Played()
        for _ in range(4):
            played.request("/fix/x")
        sender = played.forwarder._sender
        cancel = sender.cancel
        faults = iter((None, RuntimeError("a fault"), None, None))

        def faulty(exchange: Exchange) -> None:
            fault = next(faults)
            if fault is not None:
                raise fault
            cancel(exchange)

        with mock.patch.object(sender, "cancel", faulty):
            self.assertEqual(self.stopped(played), [502] * 4)
        self.assertTrue(any(item.event == "final_answer_fault" for item in played.logs))

    def test_a_reservation_without_an_answer_of_the_ledger_is_settled(self) -> None:
        played = Played()
        played.turn("/turn/x")
        self.stopped(played)
        self.assertIsInstance(played.operations()[-1], Settle)


class Times(unittest.TestCase):
    def test_final_answers_come_half_a_second_before_the_end(self) -> None:
        stop = begun()
        check_until(stop, START + 7.4)
        self.assertFalse(stop.is_answer_due(START + 7.49))
        self.assertTrue(stop.is_answer_due(START + 7.5))
        self.assertFalse(stop.may_exit(START + 7.5))
        self.assertTrue(stop.may_exit(START + 7.8))

    def test_a_late_loop_answers_sooner_and_not_before_the_last_sixth(self) -> None:
        stop = begun()
        check_until(stop, START + 5.0, late=0.3)
        self.assertTrue(stop.is_answer_due(START + 7.21))
        self.assertFalse(stop.is_answer_due(START + 7.1))
        stop = begun()
        check_until(stop, START + 5.0, late=2.0)
        self.assertFalse(stop.is_answer_due(START + GRACE_SECONDS * 5 / 6 - 0.01))

    def test_a_short_grace_period_has_time_for_final_answers(self) -> None:
        for grace_seconds in (0.3, 1.0, 2.0):
            stop = begun(grace_seconds)
            check_until(stop, START + grace_seconds * 0.8)
            self.assertFalse(stop.is_answer_due(START + grace_seconds * 0.8))
            self.assertTrue(stop.is_answer_due(START + grace_seconds * 0.85))
            self.assertFalse(stop.may_exit(START + grace_seconds * 0.9))
            self.assertTrue(stop.may_exit(START + grace_seconds))

    def test_an_idle_node_exits_once_callers_go_elsewhere(self) -> None:
        stop = begun()
        now = check_until(stop, START + 1.0)
        self.assertFalse(stop.may_exit(START + CLOSE_CONNECTIONS_AFTER_SECONDS - 0.01))
        self.assertTrue(stop.may_exit(now + CLOSE_CONNECTIONS_AFTER_SECONDS))

    def test_the_grace_period_of_a_process_that_stood_still_began_before(self) -> None:
        """It counted from the end of the standstill, so that the process was killed before."""
        stop = PlannedStop(GRACE_SECONDS)
        for at in (START - 1.0, START, START + 0.01):
            stop.observe_event(at)
        stop.begin(START + 0.01)
        self.assertTrue(stop.is_answer_due(START + 6.5))
        self.assertLessEqual(stop.time_to_exit(START + 6.8), 0.0)
        stop = PlannedStop(GRACE_SECONDS)
        for at in (START - 2.0, START - 1.0, START - 0.7, START - 0.4, START):
            stop.observe_event(at)
        stop.begin(START)
        self.assertFalse(stop.is_answer_due(START + 7.45))

    def test_output_may_be_sent_after_the_last_moment_for_an_exit(self) -> None:
        self.assertAlmostEqual(begun().output_seconds(START + 7.8), 0.05)
        self.assertAlmostEqual(begun().output_seconds(START + 3.0), 4.85)

    def test_a_late_process_exits_sooner(self) -> None:
        """An exit 0.2 s before the end was seen after it, beside ten times the machine's load."""
        stop = begun()
        check_until(stop, START + 7.3, late=0.3)
        self.assertFalse(stop.may_exit(START + 7.4))
        self.assertTrue(stop.may_exit(START + 7.51))

    def test_output_leaves_a_late_process_time_to_end(self) -> None:
        """A process whose reader was away waited for it until it was killed."""
        stop = begun()
        check_until(stop, START + 5.0, late=0.3)
        self.assertAlmostEqual(stop.output_seconds(START + 7.0), 0.55)

    def test_checks_are_due_in_a_stop_only(self) -> None:
        self.assertIsNone(PlannedStop(GRACE_SECONDS).next_deadline())
        self.assertEqual(begun().next_deadline(), START + CHECK_SECONDS)


class NewRequests(unittest.TestCase):
    """Streams that began after the stop request were broken off by the exit."""

    def may_begin(
        self,
        after: float,
        longest: float,
        *,
        typical: float | None = None,
        high: float | None = None,
        may_repeat: bool = False,
    ) -> bool:
        times = RequestTimes(longest=longest, typical=typical, high=high, may_repeat=may_repeat)
        return begun().may_begin(times, START + after)

    def test_everything_begins_without_a_stop(self) -> None:
        stop = PlannedStop(GRACE_SECONDS)
        self.assertTrue(stop.may_begin(RequestTimes(longest=1e6, typical=1e5), START))

    def test_what_ends_by_its_deadline_begins(self) -> None:
        self.assertTrue(self.may_begin(3.0, 4.4))
        self.assertFalse(self.may_begin(3.0, 4.6))

    def test_the_usual_time_decides_on_calls_that_may_be_repeated(self) -> None:
        for after in (2.2, 3.0):
            quick = self.may_begin(after, 20.0, typical=0.2, high=1.0, may_repeat=True)
            self.assertTrue(quick)
            slow = self.may_begin(after, 20.0, typical=3.0, high=5.4, may_repeat=True)
            self.assertFalse(slow)
            self.assertFalse(self.may_begin(after, 20.0, may_repeat=True))

    def test_what_the_exit_would_harm_begins_elsewhere_however_short_it_was_before(self) -> None:
        """Guards against streams and calls of unknown fate at engines that became slower."""
        for after in (2.2, 3.0, 3.9):
            self.assertFalse(self.may_begin(after, 20.0, typical=0.01, high=0.02))
            self.assertFalse(self.may_begin(after, 7.6 - after, typical=0.01, high=0.02))
            self.assertTrue(self.may_begin(after, 7.4 - after, typical=0.01, high=0.02))

    def test_only_what_takes_too_long_is_refused_while_callers_come_back_here(self) -> None:
        self.assertTrue(self.may_begin(1.0, 20.0))
        self.assertTrue(self.may_begin(1.0, 20.0, typical=4.0, high=9.0))
        self.assertFalse(self.may_begin(1.0, 20.0, typical=7.0, high=9.0))
        self.assertAlmostEqual(begun().retry_after(START + 1.0), 1.2)
        self.assertEqual(begun().retry_after(START + 3.0), 0.0)

    def test_the_forwarder_learns_how_long_a_route_takes(self) -> None:
        played = Played()
        for path in ("/fix/x", "/look/x") * 5:
            played.request(path, deadline_ms="60000")
            played.wait(0.05)
            played.engine_answers()
        played.forwarder.planned_stop = begun(start=played.now - 6.8)
        sent = len(played.sent)
        for path in ("/look/x", "/look-twice/x", "/fix/x", "/once/x"):
            played.request(path, deadline_ms="60000", token_usage="100,50")
        self.assertEqual(len(played.sent), sent + 1)
        refused = [item.fields for item in played.logs if item.event == "request_refused"]
        self.assertEqual(
            [(item["path"], item["reason"], item["high"] is None) for item in refused],
            [
                ("/look-twice/x", "stopping", True),
                ("/fix/x", "stopping", False),
                ("/once/x", "stopping", True),
            ],
        )


if __name__ == "__main__":
    unittest.main()
