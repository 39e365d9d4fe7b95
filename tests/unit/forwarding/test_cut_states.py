"""Engines that break off their answer to a request for their state run on."""

from __future__ import annotations

import unittest

from tests.unit.losses.test_quarantine import NOT_RUN, STARTED_MS, Node
from yokeline.effects import HttpFailed, HttpResponse
from yokeline.losses.engine_fates import MAX_ENDED_ENGINES, LossFate
from yokeline.losses.quarantine import FATES_UNKNOWN, QUARANTINED


class CutStates(unittest.TestCase):
    def setUp(self) -> None:
        self.node = Node()

    def ask_states(self, *, is_listed: bool) -> None:
        """Let engines lose a request's attempts; the next attempt asks for their states."""
        for _ in range(MAX_ENDED_ENGINES):
            self.node.begin("/once/x")
            self.node.wait(1.1)
            engine_id = self.node.engine_of()
            self.node.lose_engine()
            if not is_listed:
                self.node.engines.remove(engine_id)
        self.sent = len(self.node.sent)
        self.node.begin("/once/x")
        self.assertEqual(len(self.node.state_requests), MAX_ENDED_ENGINES)

    def fail_states(self, received_bytes: int) -> None:
        while self.node.state_requests:
            failed = HttpFailed(
                request=self.node.state_requests.pop(0).request,
                sent=True,
                reason="closed by the other end (before a response)",
                received_bytes=received_bytes,
            )
            self.node.take(self.node.forwarder.handle_engine_event(failed, self.node.now))

    def answer_states(self, body: bytes) -> None:
        while self.node.state_requests:
            request = self.node.state_requests.pop(0).request
            answer = HttpResponse(request=request, status=200, body=body)
            self.node.take(self.node.forwarder.handle_engine_event(answer, self.node.now))

    def assert_fates_unknown(self) -> None:
        self.assertEqual(len(self.node.sent), self.sent)
        self.node.wait(0.3)
        self.assertEqual(self.node.refusal, (NOT_RUN, FATES_UNKNOWN))

    def test_a_cut_head_does_not_show_that_an_engine_has_ended(self) -> None:
        """Guards against requests that are refused for long as if they ended engines."""
        for is_listed in (True, False):
            with self.subTest(is_listed=is_listed):
                self.node = Node()
                self.ask_states(is_listed=is_listed)
                self.fail_states(received_bytes=17)
                self.assert_fates_unknown()

    def test_an_engine_without_entry_that_sends_nothing_has_ended(self) -> None:
        self.ask_states(is_listed=False)
        self.fail_states(received_bytes=0)
        self.assertEqual(self.node.refusal, (NOT_RUN, QUARANTINED))

    def test_a_cut_body_does_not_show_that_an_engine_has_ended(self) -> None:
        whole = f'{{"state": "ready", "born": {STARTED_MS}}}'.encode()
        for is_listed in (True, False):
            for body in (b"", whole[:10], whole[:-4], whole[:-1], b'{"a":' * 200_000):
                with self.subTest(is_listed=is_listed, body=body[:40]):
                    self.node = Node()
                    self.ask_states(is_listed=is_listed)
                    self.answer_states(body)
                    lines = [log for log in self.node.logs if log.event == "engine_state_read"]
                    self.assertEqual(len(lines), MAX_ENDED_ENGINES)
                    fates = {line.fields["fate"] for line in lines}
                    self.assertNotIn(LossFate.ENDED.value, fates)
