from __future__ import annotations

import unittest

from tests.unit.forwarding.support import Played
from yokeline.effects import BodyFraming, HttpStreamStart
from yokeline.ledger.operations import Granted, Settle


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

    def resume_kept_turn(self) -> Played:
        played = Played()
        played.resume_turn("/line/x", {"last-event-id": "2"})
        played.ledger_answers(Granted())
        return played

    def test_a_kept_turn_needs_its_events_although_the_caller_has_them(self) -> None:
        played = self.resume_kept_turn()
        played.engine_begins()
        played.engine_ends()
        self.assertFalse(played.is_whole())
        self.assertEqual([item for item in played.operations() if isinstance(item, Settle)], [])

    def test_an_event_that_only_the_kept_turn_lacked_is_not_missed_again(self) -> None:
        played = self.resume_kept_turn()
        played.engine_begins()
        played.engine_sends(1)
        played.engine_truncates(5)
        played.wait(0.01)
        played.engine_begins()
        played.engine_sends(2)
        played.engine_ends()
        settled = [item for item in played.operations() if isinstance(item, Settle)]
        self.assertEqual([item.turn.text for item in settled if item.turn], [b"word1\nword2\n"])

    def test_a_caller_that_has_all_events_gets_a_whole_answer_without_one(self) -> None:
        played = Played()
        played.resume_turn("/turn/x", {"last-event-id": "5"}, budget=False)
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_ends()
        self.assertTrue(played.is_whole())


if __name__ == "__main__":
    unittest.main()
