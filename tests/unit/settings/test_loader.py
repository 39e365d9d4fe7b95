"""Settings files and flags: every problem in one line, all of them at once."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import msgspec
from returns.result import Failure

from yokeline.errors import ErrorKind
from yokeline.settings import Settings
from yokeline.settings_docs import (
    NO_DEFAULT,
    describe_objects,
    describe_settings,
    render_configuration_page,
)
from yokeline.settings_loader import load_settings

GOOD = '[node]\nname = "n1"\nhost = "10.0.0.1"\n'

BAD_FLAGS = (
    ("node.host=machine.example", "node.host"),
    ("node.host=0.0.0.0", "node.host"),
    ("node.name=", "node.name"),
    ("node.http_port=7900", "node.peer_port"),
    ("node.http_port=eighty", "node.http_port"),
    ("node.http_port=65536", "node.http_port"),
    ("node.nmae=x", "node.nmae"),
    ("cluster.replicas=4", "cluster.replicas"),
    ("cluster.replicas=7", "cluster.replicas"),
    ('cluster.seeds=["10.0.0.1:7900", "x:1"]', "cluster.seeds[1]"),
    ("cluster.shards=0", "cluster.shards"),
    ("platform.store=store:2379", "platform.store"),
    ("platform.store_prefix=yoke", "platform.store_prefix"),
    ("platform.machine_list_path=x", "platform.machine_list_path"),
    ("consensus.election_timeout_seconds=0.5", "consensus.election_timeout_seconds"),
    ("consensus.heartbeat_seconds=nan", "consensus.heartbeat_seconds"),
    ("consensus.heartbeat_seconds=true", "consensus.heartbeat_seconds"),
    ("membership.probe_timeout_seconds=0.5", "membership.probe_timeout_seconds"),
    ("membership.suspect_seconds=0.1", "membership.suspect_seconds"),
    ("gateway.default_deadline_seconds=1e9", "gateway.default_deadline_seconds"),
    ("gateway.platform_token_digest=secret", "gateway.platform_token_digest"),
    ("runs.retry_base_seconds=60", "runs.retry_base_seconds"),
    ("scheduling.policy=magic", "scheduling.policy"),
    ("log.level=loud", "log.level"),
    ("nosuch.key=1", "nosuch"),
    ("log=3", "'log=3'"),
    ("justtext", "'justtext'"),
)


class LoaderTest(unittest.TestCase):
    def load(self, text: str | bytes, *overrides: str):
        with tempfile.TemporaryDirectory() as folder:
            self.path = Path(folder) / "node.toml"
            self.path.write_bytes(text if isinstance(text, bytes) else text.encode())
            return load_settings(self.path, list(overrides))

    def test_file_and_flags(self) -> None:
        settings = self.load(GOOD, "node.name=n2", "cluster.seeds=['10.0.0.2:7900']").unwrap()
        self.assertEqual((settings.node.name, settings.node.host), ("n2", "10.0.0.1"))
        self.assertEqual(settings.cluster.seeds, ("10.0.0.2:7900",))
        self.assertEqual(load_settings(None, ["node.name=n1"]).unwrap().node.name, "n1")

    def test_each_fault_is_one_line_with_its_key_and_a_remedy(self) -> None:
        for flag, key in BAD_FLAGS:
            result = self.load(GOOD, flag)
            self.assertIsInstance(result, Failure, flag)
            error = result.failure()
            self.assertIs(error.kind, ErrorKind.BAD_SETTING)
            self.assertTrue(any(f": {key}: " in line for line in error.details), error.details)
            for line in (*error.details, error.line()):
                self.assertNotIn("\n", line)
                self.assertIn("; ", line)

    def test_all_faults_are_listed_with_the_file_or_flag_they_come_from(self) -> None:
        text = GOOD + "[node.x]\n[clustr]\n[log]\nlevel = 3\n"
        error = self.load(text, "gateway.max_body_bytes=-1").failure()
        self.assertEqual(len(error.details), 4)
        self.assertTrue(any("did you mean 'cluster'?" in line for line in error.details))
        flagged = [line for line in error.details if line.startswith("--set: ")]
        self.assertEqual(len(flagged), 1)
        self.assertEqual(sum(line.startswith(f"{self.path}: ") for line in error.details), 3)

    def test_secrets_are_not_repeated(self) -> None:
        error = self.load(GOOD, "gateway.platform_token_digest=hunter2").failure()
        self.assertNotIn("hunter2", "".join((*error.details, error.line())))

    def test_files_that_cannot_be_read(self) -> None:
        for text in ("[node", b"\xff\xfe", "a = " + "[" * 5000):
            error = self.load(text).failure()
            self.assertIs(error.kind, ErrorKind.BAD_SETTING)
            self.assertIn("node.toml", error.message)
        missing = load_settings("/nowhere/node.toml", []).failure()
        self.assertIn("/nowhere/node.toml", missing.message)

    def test_the_documentation_has_every_setting_with_its_meaning(self) -> None:
        rows = describe_settings()
        keys = {(row.section, row.key) for row in rows}
        defaults = msgspec.to_builtins(Settings(node={"name": "n"}))
        expected = {
            (section, field.name)
            for section in defaults
            for field in msgspec.structs.fields(
                next(f.type for f in msgspec.structs.fields(Settings) if f.name == section)
            )
        }
        self.assertEqual(keys, expected)
        self.assertEqual([row.key for row in rows if not row.docs], [])
        self.assertEqual([row.key for row in rows if row.default == NO_DEFAULT], ["name"])
        objects = {(row.section, row.key): row for row in describe_objects()}
        self.assertIn(("tenants", "tokens[].digest"), objects)
        self.assertIn("tokens", objects["policies", "budget.tokens"].key)
        undocumented = [key for key, row in objects.items() if not row.docs]
        self.assertLessEqual({key.rpartition(".")[0] for _, key in undocumented}, {"budget"})
        page = render_configuration_page()
        self.assertIn("| consensus | `heartbeat_seconds` | a number > 0 | `0.25` |", page)


if __name__ == "__main__":
    unittest.main()
