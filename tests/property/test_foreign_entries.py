"""Whatever stands in the key-value service, a node lives and goes on using the true engines."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from tests.unit.forwarding.engine_entries_support import NodeWithEntries
from yokeline.platform.documents import PlatformDocuments, hash_api_keys
from yokeline.registry.nodes import decode_founders, decode_node

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=8,
)
FIELDS = st.sampled_from(
    (
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold-left-ms",
        "sequence",
        "born",
        "name",
        "role",
        "replica",
        "routes",
        "services",
        "limits",
        "tenants",
        "duration-s",
    )
)
DOCUMENTS = st.dictionaries(FIELDS, JSON, max_size=9).map(lambda item: json.dumps(item).encode())
VALUES = st.binary(max_size=40) | JSON.map(lambda item: json.dumps(item).encode()) | DOCUMENTS
IDS = st.sampled_from(("i-0", "i-1", "i-2", "")) | st.text(max_size=6)
PREFIXES = st.sampled_from(
    ("servers/", "servers/", "yokeline/nodes/", "yokeline/ledger/", "yokeline/", "op/", "")
)


class ForeignEntries(unittest.TestCase):
    @given(VALUES, IDS)
    def test_every_reader_returns_a_result(self, value: bytes, name: str) -> None:
        documents = PlatformDocuments()
        documents.read_engine(f"servers/{name}", value)
        documents.read_routing(value)
        documents.read_retire_order(f"op/retire/{name}", value)
        hash_api_keys(value)
        decode_node(value)
        decode_founders(value)

    @given(VALUES, IDS)
    def test_an_engine_that_is_read_can_be_addressed(self, value: bytes, name: str) -> None:
        read = PlatformDocuments().read_engine(f"servers/{name}", value)
        if not isinstance(read, Success):
            return
        engine = read.unwrap()
        self.assertEqual(engine.instance, name)
        self.assertTrue(name.isascii() and name.isprintable() and " " not in name)
        self.assertTrue(0 < engine.address.port < 2**16)
        self.assertGreater(engine.slots, 0)

    @given(st.lists(st.tuples(PREFIXES, IDS, VALUES | st.none()), max_size=12))
    def test_true_engines_are_used_whatever_stands_beside_them(
        self, changes: list[tuple[str, str, bytes | None]]
    ) -> None:
        player = NodeWithEntries("setUp")
        player.setUp()
        for prefix, name, value in changes:
            player.write_item(prefix + name, value)
        for number in range(3):
            player.write(f"i-{number}", player.entry(number, born=number))
        usable = set(player.usable())
        player.assertLessEqual({"i-0", "i-1", "i-2"}, usable)
        player.assertEqual(player.lines("service_fault"), [])
