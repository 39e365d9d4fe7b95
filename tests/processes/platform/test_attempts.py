"""Streams on a route of one attempt, with real processes, while their engine breaks them off.

An engine broke two streams off one after the other and went on with its other work. The node went
back to it once and then to another engine, so that one request ran on two engines where its route
allows one. Lines of a node's log (engine_connection_failed) that showed it, 1 ms apart:

    reason="malformed response: ... (incomplete chunked read)" after_event="16" send=1
    reason="closed by the other end (before a response)" after_event="16" send=2
"""

from __future__ import annotations

import unittest

from tests.processes.platform.deployment import Deployment
from tests.soak.records import STREAM, Asked, too_many_engines

BREAKS = 2


class StreamsThatBreak(unittest.TestCase):
    def test_a_stream_that_breaks_twice_runs_on_one_engine(self) -> None:
        with Deployment() as deployment:
            deployment.turn(0, "/turn/x", "warm", program_id="w")
            preferred = next(model for model in deployment.models if model.runs)
            preferred.break_after = 2
            preferred.breaks = BREAKS
            fields = {"program_id": "p", "token_budget": "200", "token_usage": "100,50"}
            status, body = deployment.ask(0, "/turn/x", "broken", **fields)
            self.assertEqual((status, body), (200, STREAM))
            self.assertEqual(preferred.breaks, 1)
            asked = [
                Asked(request_id="broken", path="/turn/x", status=status, body=body, is_whole=True)
            ]
            spans = [span for model in deployment.models for span in model.spans]
            self.assertEqual(too_many_engines(spans, asked), [])
