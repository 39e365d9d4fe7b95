"""Entries that another writer leaves among those of engines and nodes."""

from __future__ import annotations

from tests.unit.forwarding.engine_entries_support import FIRST_START_MS, NodeWithEntries
from yokeline.effects import Address
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.registry.nodes import NodeRecord, NodeRole, encode_node, node_key

BAD_VALUES = (b"", b"\xff\x00", b"{}", b"[1]", b"null", b'{"service":"models"}', b"[" * 50_000)


class ForeignEntries(NodeWithEntries):
    def setUp(self) -> None:
        super().setUp()
        self.write("i-0", self.entry(born=FIRST_START_MS))
        self.write("i-1", self.entry(1, born=FIRST_START_MS))

    def test_one_that_names_no_engine_costs_one_line_and_leaves_the_others(self) -> None:
        for value in BAD_VALUES * 3:
            self.write("junk", value)
        self.assertEqual(self.usable(), ["i-0", "i-1"])
        self.assertEqual(len(self.lines("engine_refused")), 1)

    def test_an_engine_whose_entry_no_longer_names_one_is_not_used(self) -> None:
        for value in BAD_VALUES:
            with self.subTest(value[:20]):
                self.write("i-0", self.entry(born=FIRST_START_MS))
                self.assertEqual(self.usable(), ["i-0", "i-1"])
                self.write("i-0", value)
                self.assertEqual(self.usable(), ["i-1"])

    def test_an_entry_that_turns_good_is_used_at_once(self) -> None:
        self.write("i-2", b"\xff")
        self.write("i-2", self.entry(2, born=FIRST_START_MS))
        self.assertEqual(self.usable(), ["i-0", "i-1", "i-2"])
        self.write("i-2", b"\xff")
        self.assertEqual(len(self.lines("engine_refused")), 2)

    def test_one_that_goes_is_forgotten_with_its_line(self) -> None:
        self.write("junk", b"\xff")
        self.write("junk", None)
        self.write("junk", b"\xff")
        self.assertEqual(len(self.lines("engine_refused")), 2)
        self.assertEqual(self.lines("engine_gone"), [])

    def test_an_unknown_service_gets_no_request_of_another_one(self) -> None:
        self.write("i-0", self.entry(service="nobody", born=FIRST_START_MS))
        self.assertEqual(self.usable(), ["i-1"])

    def test_an_unknown_state_is_not_used_and_is_again_once_it_is_known(self) -> None:
        self.write("i-0", self.entry(state="paused", born=FIRST_START_MS))
        self.assertEqual(self.usable(), ["i-1"])
        self.write("i-0", self.entry(born=FIRST_START_MS))
        self.assertEqual(self.usable(), ["i-0", "i-1"])

    def test_what_it_had_under_way_may_end(self) -> None:
        self.write("i-0", self.entry(service="apps", born=FIRST_START_MS))
        self.played.request("/fix/x")
        self.write("i-0", b"\xff")
        self.played.engine_answers()
        self.assertEqual([reply.status for reply in self.played.replies], [200])

    def test_junk_among_the_records_of_nodes_hides_no_node(self) -> None:
        record = NodeRecord(
            name=NodeName("storage-7"),
            role=NodeRole.STORAGE,
            replica=ReplicaId("storage-7~1"),
            address=Address("10.0.0.7", 7),
        )
        bad = encode_node(record)
        self.write_item(node_key(record.name), encode_node(record))
        self.write_item("yokeline/nodes/other", bad)
        unusable = (Address("", 7), Address("10.0.0.8", 0), Address("10.0.0.8", 10**9))
        for number, address in enumerate((*unusable, Address("a b", 7))):
            name = NodeName(f"storage-{number}")
            stranger = NodeRecord(
                name=name,
                role=NodeRole.STORAGE,
                replica=ReplicaId(f"{name}~1"),
                address=address,
            )
            self.write_item(node_key(name), encode_node(stranger))
        for number, value in enumerate(BAD_VALUES):
            self.write_item(f"yokeline/nodes/junk-{number}", value)
            self.write_item(f"yokeline/{number}", value)
        replicas = set(self.played.ledger._search._storage)
        self.assertEqual(replicas, {record.replica})
        self.assertEqual(len(self.lines("node_refused")), 5 + len(BAD_VALUES))
