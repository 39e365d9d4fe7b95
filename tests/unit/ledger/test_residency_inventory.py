"""Everything that can carry a text has a rule in the note on data residency.

Guards against a new message, field, log entry or file that takes the body of a restricted request
out of its regions unnoticed.
"""

from __future__ import annotations

import unittest

import msgspec

from tests.unit.ledger.text_fields import ROOTS, documented, open_fields, writers
from yokeline.ledger.messages import HistoryReply


class Inventory(unittest.TestCase):
    maxDiff = None

    def test_every_field_that_can_hold_a_text_has_a_rule_or_is_known_to_hold_none(self) -> None:
        with_text = set(documented("Fields that carry texts"))
        without = {
            f"{kind}.{field}"
            for kind, fields in documented("Fields that carry no text").items()
            for field in fields.replace("`", "").split(", ")
        }
        fields = {
            f"{kind}.{field}" for kind, names in open_fields(*ROOTS).items() for field in names
        }
        self.assertEqual(with_text & without, set())
        self.assertEqual(with_text | without, fields)

    def test_every_field_with_a_text_has_a_rule(self) -> None:
        for field, rule in documented("Fields that carry texts").items():
            self.assertEqual(rule.count(" | "), 1, field)
            self.assertGreater(len(rule.split(" | ")[1]), 20, field)

    def test_every_module_that_writes_a_file_has_a_rule(self) -> None:
        found = writers("SyncFile", "WriteFile", "open", "write_bytes", "write_text")
        self.assertEqual(set(documented("Files")), found)


class Detection(unittest.TestCase):
    """The inventory finds what it is to find."""

    def test_a_new_field_of_a_nested_type_is_found(self) -> None:
        class Inner(msgspec.Struct):
            number: int
            note: str | None = None
            texts: dict[str, tuple[bytes, ...]] = {}

        class Outer(msgspec.Struct):
            inner: tuple[Inner, ...] | None
            reply: HistoryReply
            anything: msgspec.Raw

        globals().update(Inner=Inner)
        found = open_fields(Outer)
        self.assertEqual(found["Inner"], {"note", "texts"})
        self.assertEqual(found["Outer"], {"anything"})
        self.assertIn("text", found["KeptTurn"])
