from __future__ import annotations

import unittest
from collections.abc import Callable

from tests.unit.forwarding.support import Played
from yokeline.effects import BodyFraming, HttpStreamEnd, HttpStreamStart
from yokeline.ledger.operations import Granted, Settle

TOKENS_PER_EVENT = 10


class StreamEndsInLogs(unittest.TestCase):
    """What on-call engineers can tell of a stream from logs and metrics."""

    def test_an_ended_stream_is_logged_with_its_framing_towards_both_sides(self) -> None:
        played = Played()
        played.request("/turn/x", token_usage="100,50")
        played.engine_begins(BodyFraming.CLOSE)
        played.engine_sends(1, 2)
        played.engine_ends()
        ended = [line.fields for line in played.logs if line.event == "request_ended"][-1]
        self.assertEqual(ended["framing"], "close")
        self.assertEqual(ended["caller_framing"], "chunked")
        series = 'yokeline_forwarding_engine_streams_total{framing="close",end="whole"}'
        self.assertEqual(played.forwarder.counters[series], 1)

    def test_a_failed_connection_is_logged_with_the_framing_of_its_stream(self) -> None:
        played = Played()
        played.request("/turn/x", token_usage="100,50")
        played.engine_begins(BodyFraming.CHUNKED)
        played.engine_sends(1)
        played.engine_breaks()
        failed = [line.fields for line in played.logs if line.event == "engine_connection_failed"]
        self.assertEqual([line["framing"] for line in failed], ["chunked"])


class HeadsOfStreams(unittest.TestCase):
    def test_the_head_is_that_of_the_engine_that_sent_the_first_event(self) -> None:
        played = Played()
        played.request("/turn/x", token_usage="100,50")
        played.engine_begins(stamp="first")
        played.engine_breaks()
        played.wait(0.01)
        played.engine_begins(stamp="second")
        played.engine_sends(1)
        played.engine_breaks()
        played.wait(0.2)
        played.engine_begins(stamp="third")
        played.engine_sends(2)
        played.engine_ends()
        heads = [item.headers for item in played.stream if isinstance(item, HttpStreamStart)]
        self.assertEqual([head["x-yokeline-server-stamp"] for head in heads], ["second"])


class AnswersToResumedStreams(unittest.TestCase):
    """Guards against streams that never end, and turns that are settled with too few tokens."""

    def begun(self, path: str) -> Played:
        """Return a turn whose stream broke off after two events, and was sent on."""
        played = Played()
        played.turn(path)
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_sends(1, 2)
        played.engine_breaks()
        played.wait(0.2)
        self.assertGreater(len(played.sent), 1)
        return played

    def check(self, played: Played) -> None:
        """Check that the stream was aborted once, and its events were counted."""
        played.wait(3.1)
        self.assertEqual(played.replies, [])
        ends = [item for item in played.stream if isinstance(item, HttpStreamEnd)]
        self.assertEqual([end.aborted for end in ends], [True])
        settled = [item.tokens for item in played.operations() if isinstance(item, Settle)]
        self.assertEqual(settled, [2 * TOKENS_PER_EVENT])

    def test_each_status_ends_the_stream(self) -> None:
        for path in ("/turn/x", "/single/x"):
            for status in (200, 204, 302, 400, 404, 408, 413, 421, 429, 500, 502, 503, 504):
                with self.subTest(f"{status} at {path}"):
                    played = self.begun(path)
                    answered = 1
                    while len(played.sent) > answered and not played.stream_end():
                        answered = len(played.sent)
                        played.engine_answers(status)
                        played.wait(0.3)
                    self.check(played)

    def test_each_failure_ends_the_stream(self) -> None:
        failures: dict[str, Callable[[Played], None]] = {
            "rejected": Played.engine_rejects,
            "another engine": Played.engine_is_another,
            "broken": Played.engine_breaks,
            "silent": lambda _played: None,
        }
        for path in ("/turn/x", "/single/x"):
            for name, fail in failures.items():
                with self.subTest(f"{name} at {path}"):
                    played = self.begun(path)
                    answered = 1
                    while len(played.sent) > answered and not played.stream_end():
                        answered = len(played.sent)
                        fail(played)
                        played.wait(0.3)
                    self.check(played)


class StreamsWithoutTheirNextEvent(unittest.TestCase):
    def test_a_stream_without_an_event_is_no_complete_answer(self) -> None:
        played = Played()
        played.request("/once/x", token_usage="100,50")
        played.engine_begins(BodyFraming.CLOSE)
        played.engine_ends()
        self.assertEqual([reply.status for reply in played.replies], [502])
        self.assertEqual(played.stream, [])

    def test_a_stream_without_an_event_is_sent_again_where_the_route_allows_it(self) -> None:
        played = Played()
        played.request("/turn/x", token_usage="100,50")
        played.engine_begins(BodyFraming.CLOSE)
        played.engine_ends()
        played.wait(0.01)
        self.assertEqual(len(played.sent), 2)
        played.engine_begins()
        played.engine_sends(1, 2)
        played.engine_ends()
        self.assertTrue(played.is_whole())

    def test_an_event_that_was_begun_is_missed_if_the_next_engine_ends_before_it(self) -> None:
        played = Played()
        played.request("/turn/x", token_usage="100,50")
        played.engine_begins(BodyFraming.CLOSE)
        played.engine_sends(1)
        played.engine_truncates(5)
        played.wait(0.01)
        played.engine_begins(BodyFraming.CLOSE)
        played.engine_ends()
        self.assertFalse(played.is_whole())
        played.wait(0.2)
        self.assertEqual(len(played.sent), 3)
        played.engine_begins(BodyFraming.CLOSE)
        played.engine_sends(2)
        played.engine_ends()
        self.assertTrue(played.is_whole())

    def leave_kept_turn(self) -> tuple[Played, str]:
        """Return a turn whose caller has left after its first event, and its id."""
        played = Played()
        first = played.turn("/line/x")
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_sends(1)
        played.leave(first)
        return played, first

    def test_a_kept_turn_needs_its_events_although_the_caller_has_them(self) -> None:
        played, _ = self.leave_kept_turn()
        played.resume_turn("/line/x", {"last-event-id": "1", "resumes": "elsewhere"})
        played.wait(0.1)
        self.assertEqual((len(played.sent), played.replies[-1].status), (1, 503))
        settled = [item for item in played.operations() if isinstance(item, Settle)]
        self.assertEqual([item.turn for item in settled if item.turn], [])

    def test_an_event_that_a_resumed_turn_lacked_is_not_missed_again(self) -> None:
        played, first = self.leave_kept_turn()
        played.resume_turn("/line/x", {"last-event-id": "1", "resumes": first})
        played.wait(0.05)
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_truncates(5)
        self.assertFalse(played.is_whole())
        played.wait(0.01)
        played.engine_begins()
        played.engine_sends(2)
        played.engine_ends()
        settled = [item for item in played.operations() if isinstance(item, Settle)]
        self.assertEqual([item.turn.text for item in settled if item.turn], [b"word1\nword2\n"])
        after = [dict(item.header_items).get("last-event-id", "") for item in played.sent]
        self.assertEqual(after[0], "")
        self.assertEqual(set(after[1:]), {"1"})

    def test_a_caller_that_has_all_events_gets_a_whole_answer_without_one(self) -> None:
        played = Played()
        played.resume_turn("/turn/x", {"last-event-id": "5"}, budget=False)
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_ends()
        self.assertTrue(played.is_whole())


if __name__ == "__main__":
    unittest.main()
