from __future__ import annotations

import json
import logging
import os
import sys
import unittest
from unittest import mock

import absl.logging

from yokeline import logs
from yokeline.effects import LogRecord
from yokeline.logs import set_up_role_logs, write_record

AT = 1_700_000_000.25


class RoleLines(unittest.TestCase):
    """A role writes its lines without records of ``logging``, with the same bytes."""

    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.reader = reader
        root = logging.getLogger()
        self.addCleanup(setattr, root, "handlers", list(root.handlers))
        self.addCleanup(absl.logging.set_verbosity, absl.logging.get_verbosity())
        self.addCleanup(setattr, logs._role_lines, "output", logs._role_lines.output)
        stream = mock.Mock()
        stream.fileno.return_value = writer
        self.enterContext(mock.patch.object(sys, "stdout", stream))
        self.enterContext(mock.patch("time.time", return_value=AT))

    def written(self) -> bytes:
        os.set_blocking(self.reader, False)
        try:
            return os.read(self.reader, 65536)
        except BlockingIOError:
            return b""

    def test_lines_are_those_of_absl_logging(self) -> None:
        set_up_role_logs("debug")
        for level in ("debug", "info", "warning", "error"):
            fields = {"name": "n", "number": 1, "ratio": 0.5, "api_key": "s3cret", "none": None}
            record = LogRecord(event="e", fields=fields, level=level)
            write_record(record)
            directly = self.written()
            with mock.patch.object(logs._role_lines, "output", None):
                write_record(record)
            self.assertEqual(directly, self.written())
            self.assertEqual(json.loads(directly)["api_key"], logs.REDACTED)

    def test_a_line_makes_no_record_of_logging(self) -> None:
        """Finding the caller on the stack took most of the time of a line."""
        set_up_role_logs("info")
        with mock.patch.object(logging, "LogRecord") as made:
            write_record(LogRecord(event="e", fields={"name": "n"}))
        self.assertEqual(made.call_count, 0)
        self.assertEqual(json.loads(self.written())["event"], "e")

    def test_lines_below_the_level_are_left_out(self) -> None:
        set_up_role_logs("warning")
        write_record(LogRecord(event="low", fields={}))
        write_record(LogRecord(event="high", fields={}, level="error"))
        self.assertEqual(json.loads(self.written())["event"], "high")

    def test_lines_keep_their_order_with_those_of_transports(self) -> None:
        set_up_role_logs("info")
        write_record(LogRecord(event="first", fields={}))
        absl.logging.info({"event": "second"})
        write_record(LogRecord(event="third", fields={}))
        lines = self.written().splitlines()
        self.assertEqual(
            [json.loads(line)["event"] for line in lines], ["first", "second", "third"]
        )

    def test_a_line_that_cannot_be_written_does_not_stop_the_process(self) -> None:
        output = set_up_role_logs("info")
        with (
            mock.patch("yokeline.log_output._encoded", side_effect=ValueError("no")),
            mock.patch.object(output, "handleError") as handled,
        ):
            write_record(LogRecord(event="e", fields={}))
        self.assertEqual(handled.call_count, 1)
