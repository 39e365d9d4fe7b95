"""Whatever a caller sends, engines get no order of a caller's, one id and the true tenant."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from yokeline.effects import Address, HttpArrived
from yokeline.forwarding.dialect import EngineRequestContext
from yokeline.forwarding.model import Engine
from yokeline.identifiers import ExchangeId
from yokeline.platform.fields import FIELD_RULES, FieldRule
from yokeline.platform.headers import HeaderDialect

ENGINE = Engine(engine_id="i-1", pool="p", address=Address("10.0.0.1", 80), zone="z", slots=4)
FORGED = "forged"


@st.composite
def field_names(draw: st.DrawFn) -> str:
    """Return a known name, perhaps with some dashes as underscores, or a made-up one."""
    name = draw(st.sampled_from([*sorted(FIELD_RULES), "x-open", "cookie"]))
    disguised = draw(st.booleans())
    return name.replace("-", "_") if disguised else name


FIELDS = st.lists(
    st.tuples(field_names(), st.sampled_from([FORGED, "1", "2,3", "ab:4"])), max_size=12
)
NAMED = st.lists(st.sampled_from(sorted(FIELD_RULES)), max_size=4)


class RequestFields(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(FIELDS, NAMED, st.booleans())
    def test_an_engine_gets_no_field_of_a_caller_that_it_is_not_to_set(
        self, extra: list[tuple[str, str]], named: list[str], has_tenant: bool
    ) -> None:
        items = (
            ("host", "a.example"),
            ("x-yokeline-request-id", "9c41"),
            ("connection", ", ".join(named)),
            *extra,
        )
        headers: dict[str, str] = {}
        for name, value in items:
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        event = HttpArrived(
            exchange=ExchangeId("x1"),
            method="POST",
            path="/a",
            headers=headers,
            header_items=items,
        )
        dialect = HeaderDialect()
        read = dialect.parse_call(event)
        if isinstance(read, Failure):
            return
        order = EngineRequestContext(
            engine=ENGINE,
            remaining_seconds=1.0,
            priority=5,
            tenant="mine" if has_tenant else "",
            forwards_credential=False,
        )
        fields = list(dialect.engine_headers(event, read.unwrap(), order))
        rules = [(FIELD_RULES.get(name.replace("_", "-")), name, value) for name, value in fields]
        for rule, name, value in rules:
            self.assertNotIn(rule, (FieldRule.HOP_BY_HOP, FieldRule.CREDENTIAL))
            if rule in (FieldRule.SYSTEM, FieldRule.REPLACED):
                self.assertEqual(name, name.replace("_", "-"))
                self.assertNotEqual(value, FORGED)
        names = [name for name, _ in fields]
        self.assertEqual(names.count("x-yokeline-request-id"), 1)
        self.assertEqual(names.count("x-yokeline-tenant"), int(has_tenant))
        self.assertEqual(names.count("x-yokeline-deadline-ms"), 1)
