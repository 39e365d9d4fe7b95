"""Selectors against a plain reading of their meaning; checks never crash."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from yokeline.labels.checks import decode_object, qualified_name
from yokeline.labels.objects import OBJECT_TYPES, ObjectKind, StoredObject
from yokeline.labels.selectors import Operator, Requirement, Selector, parse_selector
from yokeline.labels.view import ConfigurationView

KEYS = st.sampled_from(["team", "tier", "a.b/c", "in", "notin", "x"])
VALUES = st.sampled_from(["", "a", "b", "in", "x.y_z-1"])
LABELS = st.dictionaries(KEYS, VALUES)
REQUIREMENTS = st.one_of(
    st.builds(
        lambda key, operator, values: Requirement(key, operator, tuple(sorted(values))),
        KEYS,
        st.sampled_from([Operator.IN, Operator.NOT_IN]),
        st.sets(VALUES, min_size=1),
    ),
    st.builds(Requirement, KEYS, st.sampled_from([Operator.EXISTS, Operator.NOT_EXISTS])),
)
SELECTORS = st.lists(REQUIREMENTS, max_size=4).map(lambda found: Selector(tuple(found)))
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


def holds(requirement: Requirement, labels: dict[str, str]) -> bool:
    """The meaning of a requirement, written out."""
    value = labels.get(requirement.key)
    return {
        Operator.IN: value is not None and value in requirement.values,
        Operator.NOT_IN: value is None or value not in requirement.values,
        Operator.EXISTS: value is not None,
        Operator.NOT_EXISTS: value is None,
    }[requirement.operator]


def field_names(kind: ObjectKind) -> list[str]:
    return list(OBJECT_TYPES[kind].__struct_fields__)


class SelectorProperties(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(SELECTORS, LABELS)
    def test_a_selector_survives_its_text_and_means_what_it_says(
        self, selector: Selector, labels: dict[str, str]
    ) -> None:
        parsed = parse_selector(str(selector)).unwrap()
        self.assertEqual(parsed, selector)
        expected = all(holds(requirement, labels) for requirement in selector.requirements)
        self.assertEqual(parsed.matches(labels), expected)
        self.assertEqual(parsed.first_unmet(labels) is None, expected)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.text(alphabet="ab/=!(), .-\nintox", max_size=20))
    def test_any_text_parses_or_fails_in_one_line(self, text: str) -> None:
        result = parse_selector(text)
        if isinstance(result, Success):
            normal = str(result.unwrap())
            self.assertEqual(str(parse_selector(normal).unwrap()), normal)
        else:
            self.assertNotIn("\n", result.failure().line())


class ObjectProperties(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.data(), st.sampled_from(list(ObjectKind)))
    def test_any_object_is_accepted_or_refused_in_lines(
        self, data: st.DataObject, kind: ObjectKind
    ) -> None:
        names = st.sampled_from([*field_names(kind), "unknown"])
        body = data.draw(st.dictionaries(names, JSON | VALUES))
        text = json.dumps(body)
        result = decode_object(kind, text)
        if isinstance(result, Failure):
            self.assertTrue(result.failure().details)
            self.assertFalse([line for line in result.failure().details if "\n" in line])
        else:
            name = qualified_name(result.unwrap())
            item = StoredObject(kind=kind, name=name, revision=1, body=text)
            self.assertEqual(ConfigurationView().with_objects([item]).invalid(), ())


if __name__ == "__main__":
    unittest.main()
