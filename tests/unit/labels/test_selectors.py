"""Selector syntax and meaning, as in Kubernetes."""

from __future__ import annotations

import unittest

from returns.result import Failure

from yokeline.labels.selectors import is_label_key, is_label_value, parse_selector

LABELS = {"team": "timing", "tier": "gold", "club.example/zone": "", "in": "x"}


class SelectorTest(unittest.TestCase):
    def test_what_matches(self) -> None:
        matching = (
            "",
            "  ",
            "team=timing",
            "team == timing , tier!=silver",
            "tier in (silver, gold)",
            "tier notin (silver,bronze)",
            "team,!absent",
            "absent!=x",
            "absent notin (x)",
            "club.example/zone=",
            "club.example/zone in (,a)",
            "in in (x)",
        )
        for text in matching:
            self.assertTrue(parse_selector(text).unwrap().matches(LABELS), text)
        for text in ("team=x", "absent", "!team", "tier in (silver)", "absent=", "team,tier=x"):
            self.assertFalse(parse_selector(text).unwrap().matches(LABELS), text)

    def test_bad_selectors_name_the_mistake_and_the_remedy(self) -> None:
        for text in (
            "team===x",
            "team=a b",
            "team in gold",
            "team in (gold",
            "team notin gold)",
            ",team",
            "team,",
            "=x",
            "!",
            "-team=x",
            "team=-x",
            "Bad_Prefix/team",
            "team/",
            "a" * 64,
            "team=" + "a" * 64,
            "team=x;tier",
            "x" * 5000,
        ):
            result = parse_selector(text)
            self.assertIsInstance(result, Failure, text)
            error = result.failure()
            self.assertTrue(error.message and error.remedy, text)
            self.assertNotIn("\n", error.line())

    def test_keys_and_values(self) -> None:
        for key in ("a", "a" * 63, "a.b/c_d-e.F", "0/9"):
            self.assertTrue(is_label_key(key), key)
        for key in ("", "/a", "a/", "a/b/c", "A/b", "a..b/c", "é", "a\n", "x" * 254 + "/a"):
            self.assertFalse(is_label_key(key), key)
        self.assertTrue(is_label_value("") and is_label_value("a" * 63))
        self.assertFalse(is_label_value("a" * 64) or is_label_value("a,b") or is_label_value("-"))


if __name__ == "__main__":
    unittest.main()
