"""Every fault of a configuration object is reported with its field and a remedy."""

from __future__ import annotations

import json
import unittest

from returns.result import Failure

from yokeline.errors import ErrorKind
from yokeline.labels.checks import decode_object, qualified_name
from yokeline.labels.objects import ObjectKind

GOOD = {
    ObjectKind.TENANT: {"name": "dallim", "tokens": [{"digest": "ab" * 32}]},
    ObjectKind.PROGRAM: {"name": "bibs", "tenant": "dallim", "model": "m/1", "tools": ["clubs"]},
    ObjectKind.ENGINE_POOL: {"name": "east", "addresses": ["10.0.0.1:80"], "models": ["m/1"]},
    ObjectKind.TOOL: {"name": "clubs", "addresses": ["10.0.0.2:80"]},
    ObjectKind.APP: {"name": "results", "tenant": "dallim", "addresses": ["10.0.0.3:80"]},
    ObjectKind.POLICY: {"name": "gold", "priority": 5, "program_selector": "tier=gold"},
}

BAD = (
    (ObjectKind.TENANT, {"name": "a/b"}, "name"),
    (ObjectKind.TENANT, {"name": ""}, "name"),
    (ObjectKind.TENANT, {"colour": 1}, "colour"),
    (ObjectKind.TENANT, {"labels": {"-x": "y"}}, "labels"),
    (ObjectKind.TENANT, {"labels": {"x": "y z"}}, "labels['x']"),
    (ObjectKind.TENANT, {"labels": {"x": 1}}, "labels['x']"),
    (ObjectKind.TENANT, {"tokens": [{"digest": "short"}]}, "tokens[0].digest"),
    (ObjectKind.TENANT, {"tokens": [{"digest": "ab" * 32, "role": "god"}]}, "tokens[0].role"),
    (ObjectKind.TENANT, {"limits": {"burst": 0}}, "limits.burst"),
    (ObjectKind.TENANT, {"limits": {"burst": 1.5}}, "limits.burst"),
    (ObjectKind.TENANT, {"limits": {"requests_per_second": -1}}, "limits.requests_per_second"),
    (ObjectKind.PROGRAM, {"tenant": ""}, "tenant"),
    (ObjectKind.PROGRAM, {"app": "results"}, "model, app"),
    (ObjectKind.PROGRAM, {"model": ""}, "model, app"),
    (ObjectKind.PROGRAM, {"model": "", "app": "results"}, "tools"),
    (ObjectKind.PROGRAM, {"model": "m 1"}, "model"),
    (ObjectKind.PROGRAM, {"tools": ["a", "a"]}, "tools"),
    (ObjectKind.PROGRAM, {"children": ["clubs"]}, "children"),
    (ObjectKind.PROGRAM, {"max_completion_tokens": 0}, "max_completion_tokens"),
    (ObjectKind.PROGRAM, {"system_prompt": "x" * 70_000}, "system_prompt"),
    (ObjectKind.ENGINE_POOL, {"addresses": ["engine.example:80"]}, "addresses[0]"),
    (ObjectKind.ENGINE_POOL, {"addresses": ["10.0.0.1"]}, "addresses[0]"),
    (ObjectKind.ENGINE_POOL, {"addresses": ["10.0.0.1:0"]}, "addresses[0]"),
    (ObjectKind.ENGINE_POOL, {"addresses": ["10.0.0.256:80"]}, "addresses[0]"),
    (ObjectKind.ENGINE_POOL, {"addresses": []}, "addresses, machine_selector"),
    (ObjectKind.ENGINE_POOL, {"machine_selector": "a in b"}, "machine_selector"),
    (ObjectKind.ENGINE_POOL, {"models": []}, "models"),
    (ObjectKind.ENGINE_POOL, {"slots": 0}, "slots"),
    (ObjectKind.TOOL, {"path": "no-slash"}, "path"),
    (ObjectKind.TOOL, {"path": "/a\r\nx: y"}, "path"),
    (ObjectKind.TOOL, {"timeout_seconds": 0}, "timeout_seconds"),
    (ObjectKind.TOOL, {"timeout_seconds": 4000}, "timeout_seconds"),
    (ObjectKind.TOOL, {"lookup": "maybe"}, "lookup"),
    (ObjectKind.APP, {"addresses": "10.0.0.3:80"}, "addresses"),
    (ObjectKind.POLICY, {"engine_selector": "a,,b"}, "engine_selector"),
    (ObjectKind.POLICY, {"priority": 1001}, "priority"),
    (ObjectKind.POLICY, {"worth": -1}, "worth"),
    (ObjectKind.POLICY, {"budget": {"token": 3}}, "budget.token"),
    (ObjectKind.POLICY, {"budget": {"tokens": -3}}, "budget.tokens"),
    (ObjectKind.POLICY, {"name": None}, "name"),
)


class ChecksTest(unittest.TestCase):
    def test_good_objects_pass(self) -> None:
        for kind, body in GOOD.items():
            decoded = decode_object(kind, json.dumps(body)).unwrap()
            self.assertEqual(decoded.name, body["name"])
        decoded = decode_object(ObjectKind.PROGRAM, json.dumps(GOOD[ObjectKind.PROGRAM])).unwrap()
        self.assertEqual(qualified_name(decoded), "dallim/bibs")

    def test_each_fault_is_one_line_that_names_its_field(self) -> None:
        for kind, change, field in BAD:
            result = decode_object(kind, json.dumps(GOOD[kind] | change))
            self.assertIsInstance(result, Failure, change)
            error = result.failure()
            self.assertIs(error.kind, ErrorKind.BAD_REQUEST)
            named = [line for line in error.details if line.startswith(f"{kind.value}: {field}: ")]
            self.assertTrue(named, (change, error.details))
            self.assertTrue(all("\n" not in line and "; " in line for line in error.details))

    def test_several_faults_are_all_listed(self) -> None:
        body = {"name": "x", "tenant": 3, "labls": {}, "tools": "clubs"}
        error = decode_object(ObjectKind.PROGRAM, json.dumps(body)).failure()
        self.assertEqual(len(error.details), 3)
        self.assertIn("did you mean 'labels'?", "".join(error.details))

    def test_what_is_no_json_object_is_refused(self) -> None:
        for text in ("", "[]", "3", "null", "{", '{"name":"a"}}', b"\xff", "[" * 100_000):
            self.assertIsInstance(decode_object(ObjectKind.TENANT, text), Failure)


if __name__ == "__main__":
    unittest.main()
