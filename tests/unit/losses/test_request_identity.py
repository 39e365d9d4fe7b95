"""What makes two attempts of a caller the same request."""

from __future__ import annotations

import unittest

from tests.unit.forwarding.support import Played
from yokeline.losses.loss_keys import is_shared


class RequestIdentity(unittest.TestCase):
    def digest(self, path: str = "/turn/x", body: bytes = b"input", **headers: str) -> str:
        """Return the digest that the log has of a request whose connection fails."""
        played = Played()
        usual = {"program_id": "p", "session_id": "s", "token_usage": "100,50"}
        played.request(path, body, **{**usual, **headers})
        played.engine_breaks()
        line = next(item for item in played.logs if item.event == "engine_connection_failed")
        return str(line.fields["request_digest"])

    def test_attempts_with_ids_of_their_own_are_one_request(self) -> None:
        first = self.digest(deadline_ms="3000", finish_ms="9000")
        second = self.digest(own_id="another", deadline_ms="2100", finish_ms="8000")
        self.assertEqual(first, second)
        self.assertNotEqual(first, "")

    def test_other_content_is_another_request(self) -> None:
        known = self.digest()
        others = [
            self.digest(body=b"other input"),
            self.digest(program_id="q"),
            self.digest(session_id="t"),
            self.digest(path="/turn/y"),
        ]
        self.assertEqual(len({known, *others}), 5)

    def test_requests_without_a_program_share_a_name(self) -> None:
        """Strangers may send the same request, but not one of another tenant or with other keys."""
        usual = {"path": "/look/x", "program_id": "", "token_usage": ""}
        shared = self.digest(**usual)
        self.assertTrue(is_shared(shared))
        self.assertEqual(self.digest(session_id="t", **usual), shared)
        self.assertNotEqual(self.digest(authorization="Bearer other", **usual), shared)
        self.assertFalse(is_shared(self.digest()))


if __name__ == "__main__":
    unittest.main()
