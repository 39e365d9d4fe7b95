from __future__ import annotations

import unittest

from tests.unit.forwarding.support import Played
from yokeline.effects import BodyFraming


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
        self.assertEqual(ended["unfinished_bytes"], 0)
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


if __name__ == "__main__":
    unittest.main()
