from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from yokeline.cli import main

EDGE = [
    {"time": "10:00:00.100", "event": "configuration_applied", "version": 4},
    {"time": "10:00:01.000", "event": "engine_chosen", "request": "9c41", "engine": "i-1"},
    {"time": "10:00:01.050", "event": "engine_chosen", "request": "other", "engine": "i-2"},
    {"time": "10:00:01.200", "event": "engine_gone", "engine": "i-1"},
    {"time": "10:00:01.300", "event": "request_repeated", "request": "9c41", "reason": "reset"},
    {"time": "10:00:02.000", "event": "request_ended", "request": "9c41", "outcome": "cut"},
]
RESUMED = [
    {"time": "10:00:01.000", "event": "engine_chosen", "request": "a", "version": "v1"},
    {"time": "10:00:01.100", "event": "stream_resumed", "request": "b", "resumes": "a"},
    {"time": "10:00:01.110", "event": "engine_chosen", "request": "b", "version": "v2"},
    {"time": "10:00:01.200", "event": "stream_resumed", "request": "c", "resumes": "a"},
    {"time": "10:00:01.300", "event": "stream_resumed", "request": "d", "resumes": "x"},
]
STORAGE = [{"time": "10:00:01.100", "event": "ledger_role_changed", "role": "leader"}]


class Explain(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.edge = Path(folder.name) / "edge-1.log"
        prefixed = [f" 1.000 edge-hall-a-1 {json.dumps(row)}" for row in reversed(EDGE)]
        self.edge.write_text("\n".join([*prefixed, "no json", '{"a": 1}']))
        self.storage = Path(folder.name) / "storage-1.log"
        self.storage.write_text("\n".join(json.dumps(row) for row in STORAGE))

    def run_explain(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(["explain", *arguments])
        return code, out.getvalue(), err.getvalue()

    def test_the_story_is_in_order_with_what_the_node_came_to_believe(self) -> None:
        code, out, _ = self.run_explain("9c41", str(self.edge), str(self.storage))
        self.assertEqual(code, 0)
        events = [row.split()[2] for row in out.splitlines()]
        self.assertEqual(
            events,
            [
                "configuration_applied",
                "engine_chosen",
                "engine_gone",
                "request_repeated",
                "request_ended",
            ],
        )
        self.assertIn("edge-hall-a-1", out)
        self.assertIn("reason=reset", out)

    def test_lines_of_one_millisecond_keep_the_order_of_their_log(self) -> None:
        events = ["engine_connection_failed", "request_repeated", "engine_chosen"]
        other = self.edge.with_name("edge-2.log")
        rows = [{"time": "10:00:01.000", "event": event, "request": "a"} for event in events]
        other.write_text("\n".join(json.dumps(row) for row in rows))
        _, out, _ = self.run_explain("a", str(other))
        self.assertEqual([row.split()[2] for row in out.splitlines()], events)

    def test_a_resumed_stream_is_shown_with_all_its_requests(self) -> None:
        other = self.edge.with_name("edge-2.log")
        other.write_text("\n".join(json.dumps(row) for row in RESUMED))
        for request in ("a", "b", "c"):
            _, out, _ = self.run_explain(request, str(other))
            events = [row.split()[2] for row in out.splitlines()]
            self.assertEqual(events.count("stream_resumed"), 2, request)
            self.assertEqual(events.count("engine_chosen"), 2, request)
        _, out, _ = self.run_explain("c", str(other))
        self.assertIn("request=a version=v1", out)

    def test_an_unknown_request_or_file_is_said_in_one_line(self) -> None:
        code, _, err = self.run_explain("nobody", str(self.edge))
        self.assertEqual((code, len(err.splitlines())), (1, 1))
        code, _, err = self.run_explain("9c41", str(self.edge) + ".missing")
        self.assertEqual(code, 2)
        self.assertIn("name files", err)
