"""The command line itself: help, usage, exit codes."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from tests.unit.cli.support import CommandResult
from yokeline.cli import COMMANDS, gather_repeated
from yokeline.commands.client import parse_events


class CommandLineTest(unittest.TestCase):
    def test_every_command_has_help_that_documents_its_arguments(self) -> None:
        paths = [[name] for name in COMMANDS]
        paths += [[group, name] for group in ("config", "run") for name in COMMANDS[group]]  # type: ignore[union-attr]
        for path in paths:
            with self.subTest(" ".join(path)):
                found = CommandResult([*path, "--help"])
                self.assertEqual(0, found.code, found.err)
                self.assertNotIn("Args:", found.out)
        top = CommandResult(["--help"])
        self.assertIn("Exit codes", top.out.replace("\n", " "))

    def test_wrong_usage_is_exit_code_2(self) -> None:
        for arguments in (
            [],
            ["nope"],
            ["run"],
            ["run", "show"],
            ["emulate", "nope"],
            ["nodes", "--x"],
        ):
            with self.subTest(str(arguments)):
                self.assertEqual(2, CommandResult(arguments).code)

    def test_bad_settings_are_exit_code_2_with_a_line_each(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "node.toml"
            file.write_text('[node]\nname = "a"\nzonne = "z"\n')
            found = CommandResult(["node", str(file), "--set", "runs.call_attempts=-1", "--check"])
            self.assertEqual((2, 2), (found.code, found.err.count("\n")), found.err)
            file.write_text('[node]\nname = "a"\n')
            found = CommandResult(["node", str(file), "--set", "node.zone=z", "--check"])
            self.assertEqual(0, found.code, found.err)
            settings = Path(folder) / "engine.toml"
            settings.write_text("nope = 1\n")
            found = CommandResult(["emulate", "engine", "--settings", str(settings)])
            self.assertEqual((2, 1), (found.code, found.err.count("\n")), found.err)

    def test_repeated_flags_are_kept(self) -> None:
        given = ["node", "--set", "a=1", "file", "--set=b=2", "--check"]
        self.assertEqual(["node", "file", "--check", "--set", "a=1", "b=2"], gather_repeated(given))

    def test_event_lines(self) -> None:
        lines = [
            b": hello\n",
            b"id: 1.2\n",
            b"event: text\n",
            b"data: a\n",
            b"data: b\n",
            b"\n",
            b"data: c\n",
        ]
        events = list(parse_events(iter(lines)))
        self.assertEqual([("1.2", "text", "a\nb")], [(e.id, e.kind, e.data) for e in events])
