"""The settings loader takes anything in and answers with settings or one-line problems."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from yokeline.settings import Settings
from yokeline.settings_docs import describe_settings
from yokeline.settings_loader import check_settings, load_settings

KEYS = [f"{row.section}.{row.key}" for row in describe_settings()]
VALUES = st.one_of(
    st.integers(-10, 100_000).map(str),
    st.floats().map(str),
    st.sampled_from(["true", "''", "[]", "['10.0.0.1:1']", "10.0.0.1", "{}", "nan", "1979-05-27"]),
    st.text(max_size=12),
)
OVERRIDES = st.lists(
    st.builds(lambda key, value: f"{key}={value}", st.sampled_from(KEYS), VALUES)
    | st.text(max_size=20),
    max_size=4,
)


class LoaderProperties(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(OVERRIDES)
    def test_any_flags_give_checked_settings_or_one_line_problems(
        self, overrides: list[str]
    ) -> None:
        result = load_settings(None, ["node.name=n", *overrides])
        if isinstance(result, Failure):
            lines = result.failure().details
            self.assertTrue(lines)
            self.assertFalse([line for line in lines if "\n" in line or "; " not in line])
            return
        loaded = result.unwrap()
        self.assertEqual(check_settings(loaded), [])
        again = msgspec.convert(msgspec.to_builtins(loaded), Settings)
        self.assertEqual(again, loaded)


if __name__ == "__main__":
    unittest.main()
