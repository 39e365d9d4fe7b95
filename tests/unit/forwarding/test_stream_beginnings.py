"""Resumed streams of kept turns over several nodes whose messages the test delivers."""

from __future__ import annotations

import unittest

import msgspec

from tests.unit.forwarding.support import TABLE, Played
from tests.unit.forwarding.test_regional_turns import RegionalCase
from tests.unit.forwarding.test_residency import restricted
from yokeline.bearer_tokens import token_digest
from yokeline.effects import Address, HttpStreamItem
from yokeline.forwarding.stream_beginnings import (
    REPLY_TIMEOUT_SECONDS,
    STREAM_BEGINNING_AMBIGUOUS,
    STREAM_BEGINNING_UNKNOWN,
    StreamPeer,
)
from yokeline.forwarding.tenants import Credential, KeyHolder, Tenant, TenantDirectory
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import StreamAsk, StreamCopy, StreamCopyEvents
from yokeline.ledger.operations import Granted, RecordedStream, Reserve, Settle


class Nodes:
    """Forwarders that reach each other; messages to silent ones are lost."""

    def __init__(self, count: int) -> None:
        self.played = [Played() for _ in range(count)]
        self.silent: set[int] = set()
        for number, node in enumerate(self.played):
            beginnings = node.forwarder.stream_beginnings
            beginnings.own_address = Address("10.9.0.1", number)
            others = [self.peer(other) for other in range(count) if other != number]
            beginnings.peers = lambda _now, others=others: others  # type: ignore[misc]

    def __getitem__(self, number: int) -> Played:
        return self.played[number]

    def peer(self, number: int) -> StreamPeer:
        return StreamPeer(
            name=f"edge-{number}",
            process=ReplicaId(f"edge-{number}~1"),
            address=Address("10.9.0.1", number),
        )

    def deliver(self) -> None:
        """Deliver all messages, also those that follow from them."""
        while any(node.stream_messages for node in self.played):
            for number, node in enumerate(self.played):
                messages, node.stream_messages = node.stream_messages, []
                for effect in messages:
                    self.hand_over(number, effect.address.port, effect.message)  # type: ignore[arg-type]

    def hand_over(
        self, sender: int, recipient: int, message: StreamCopy | StreamCopyEvents | StreamAsk
    ) -> None:
        if {sender, recipient} & self.silent:
            return
        node = self.played[recipient]
        process = ReplicaId(f"edge-{sender}~1")
        node.take(node.forwarder.stream_beginnings.handle(process, message, node.now))
        node.take(node.forwarder.tick(node.now))

    def wait(self, seconds: float) -> None:
        for node in self.played:
            node.wait(seconds)

    def begin(self, edge: int, *numbers: int, path: str = "/line/x", **headers: str) -> str:
        """Let a caller begin a stream and leave it after some events."""
        node = self.played[edge]
        turn = node.turn(path, b"input ", own_id=f"first{edge}", **headers)
        node.ledger_answers(Granted())
        self.go_on(edge, *numbers)
        node.leave(turn)
        return turn

    def go_on(self, edge: int, *numbers: int) -> None:
        node = self.played[edge]
        node.engine_begins()
        node.engine_sends(*numbers)
        self.deliver()

    def resume(
        self, edge: int, origin: str, event: int, path: str = "/line/x", own_id: str = ""
    ) -> str:
        """Let a caller resume a stream; return the new request's id."""
        fields = {"last-event-id": str(event), "resumes": origin}
        turn = self.played[edge].resume_turn(path, fields, own_id=own_id)
        self.deliver()
        return turn


def kept_text(node: Played) -> list[bytes]:
    settled = [item for item in node.operations() if isinstance(item, Settle)]
    return [item.turn.text for item in settled if item.turn]


def engine_began_after(node: Played) -> str:
    return dict(node.sent[-1].header_items).get("last-event-id", "")


class StreamsOfOtherNodes(unittest.TestCase):
    def assert_refused(self, node: Played, reason: str, sends: int = 0) -> None:
        self.assertEqual(len(node.sent), sends)
        self.assertEqual(node.replies[-1].status, 503)
        self.assertEqual(node.refusal()["error"], reason)
        self.assertLess(float(node.replies[-1].headers["retry-after"]), 0.5)

    def answer(self, node: Played) -> None:
        """Let the ledger know which version began the stream."""
        node.ledger_answers(Granted(stream=RecordedStream("", 0.1)))

    def test_the_events_reach_other_nodes_before_the_caller(self) -> None:
        """Guards against events that a caller names and nobody knows."""
        nodes = Nodes(3)
        node = nodes[0]
        node.turn("/line/x")
        node.ledger_answers(Granted())
        node.engine_begins()
        node.engine_sends(1)
        effects = [*node.stream_messages]
        self.assertEqual([type(effect.message) for effect in effects], [StreamCopy] * 2)
        self.assertEqual(len(node.stream), 2)
        node.stream_messages.clear()
        node.engine_sends(2)
        kinds = [type(effect.message) for effect in node.stream_messages]
        self.assertEqual(kinds, [StreamCopyEvents] * 2)

    def test_a_stream_goes_on_where_it_is_kept_as_given(self) -> None:
        for silent in (set(), {0}, {0, 2}):
            with self.subTest(silent=silent):
                nodes = Nodes(3)
                first = nodes.begin(0, 1, 2, 3)
                nodes.silent = silent
                nodes.resume(1, first, 2)
                nodes.wait(REPLY_TIMEOUT_SECONDS + 0.05)
                self.answer(nodes[1])
                self.assertEqual(engine_began_after(nodes[1]), "2")
                nodes.go_on(1, 3, 4)
                nodes[1].engine_ends()
                self.assertEqual(kept_text(nodes[1]), [b"word1\nword2\nword3\nword4\n"])

    def test_the_tokens_of_earlier_attempts_are_not_reserved_again(self) -> None:
        nodes = Nodes(2)
        first = nodes.begin(0, 1, 2, 3)
        nodes.resume(1, first, 3)
        asked = [item for item in nodes[1].operations() if isinstance(item, Reserve)]
        self.assertEqual(asked[-1].tokens, 50 - 30)
        self.answer(nodes[1])
        nodes.go_on(1, 4, 5)
        nodes[1].engine_ends()
        settled = [item for item in nodes[1].operations() if isinstance(item, Settle)]
        self.assertEqual(settled[-1].tokens, 20)

    def test_what_nobody_knows_is_refused_soon(self) -> None:
        for silent in (set(), {0, 2}):
            with self.subTest(silent=silent):
                nodes = Nodes(3)
                nodes.silent = silent
                nodes.resume(1, "nobody", 2)
                nodes.wait(2 * REPLY_TIMEOUT_SECONDS + 0.05)
                self.assert_refused(nodes[1], STREAM_BEGINNING_UNKNOWN)

    def test_a_caller_that_names_no_attempt_is_refused_at_once(self) -> None:
        nodes = Nodes(2)
        nodes.begin(0, 1, 2)
        nodes[1].resume_turn("/line/x", {"last-event-id": "2"})
        self.assert_refused(nodes[1], STREAM_BEGINNING_UNKNOWN)

    def test_another_program_cannot_go_on(self) -> None:
        nodes = Nodes(2)
        first = nodes.begin(0, 1, 2, program_id="other")
        nodes.resume(1, first, 2)
        nodes.wait(0.5)
        self.assert_refused(nodes[1], STREAM_BEGINNING_UNKNOWN)

    def test_an_event_that_was_not_relayed_is_refused(self) -> None:
        nodes = Nodes(2)
        first = nodes.begin(0, 1, 2)
        nodes.resume(1, first, 7)
        nodes.wait(0.5)
        self.assert_refused(nodes[1], STREAM_BEGINNING_UNKNOWN)

    def test_memory_that_is_needed_otherwise_makes_a_stream_unknown(self) -> None:
        nodes = Nodes(2)
        first = nodes.begin(0, 1, 2)
        for node in nodes.played:
            self.assertGreater(node.forwarder.cached_bytes(), 0)
            node.forwarder.drop_caches()
            self.assertEqual(node.forwarder.cached_bytes(), 0)
        nodes.resume(1, first, 2)
        nodes.wait(0.5)
        self.assert_refused(nodes[1], STREAM_BEGINNING_UNKNOWN)

    def test_two_attempts_at_once_leave_a_third_one_in_doubt(self) -> None:
        nodes = Nodes(3)
        first = nodes.begin(0, 1, 2)
        for edge in (1, 2):
            nodes.resume(edge, first, 2, own_id=f"second{edge}")
            self.answer(nodes[edge])
            nodes[edge].engine_begins()
        for edge in (1, 2):
            # Both relay an event of the same number, of runs of their own.
            nodes[edge].take(
                nodes[edge].forwarder.handle_engine_event(
                    _item(nodes[edge], 3, f"of{edge}"), nodes[edge].now
                )
            )
            nodes.deliver()
        nodes.resume(0, first, 3)
        nodes.wait(0.5)
        self.assert_refused(nodes[0], STREAM_BEGINNING_AMBIGUOUS, sends=1)

    def test_streams_that_are_not_resumable_are_not_copied(self) -> None:
        nodes = Nodes(2)
        for path in ("/kept/x", "/turn/x"):
            node = nodes[0]
            node.turn(path)
            node.ledger_answers(Granted())
            node.engine_begins()
            node.engine_sends(1, 2)
            self.assertEqual(node.stream_messages, [], path)
            self.assertEqual(node.forwarder.cached_bytes(), 0)


class BoundStreams(RegionalCase):
    """Events of a route that is bound to regions stay with nodes of these."""

    def begin_in(self, own_region: str, regions: tuple[str, ...]) -> Played:
        """Let a node of a region relay an event of a route that is bound to some regions."""
        self.region, self.regions = own_region, regions
        self.setUp()
        self.use(restricted(TABLE, regions, prefix="/line/"))
        peers = [
            StreamPeer(f"edge-{region}", ReplicaId(region), Address("10.9.0.1", number), region)
            for number, region in enumerate(("", "east", "west", "north"))
        ]
        self.played.forwarder.stream_beginnings.peers = lambda _now: peers
        self.reserve("/line/x")
        self.played.engine_begins()
        self.played.engine_sends(1)
        return self.played

    def test_copies_go_to_nodes_of_the_allowed_regions_only(self) -> None:
        for regions, receivers in ((("west",), {"west"}), (("west", "east"), {"west", "east"})):
            played = self.begin_in("west", regions)
            self.assertEqual({effect.to for effect in played.stream_messages}, receivers)

    def test_a_node_of_another_region_holds_nothing_itself(self) -> None:
        for own_region, holds in (("west", True), ("east", False), ("", False)):
            played = self.begin_in(own_region, ("west",))
            self.assertEqual(played.forwarder.cached_bytes() > 0, holds, own_region)


class StreamsOfTenants(unittest.TestCase):
    def test_a_tenant_cannot_go_on_with_the_stream_of_another_one(self) -> None:
        nodes = Nodes(2)
        keys = ("key-a", "key-b")
        for node in nodes.played:
            holders = tuple(
                KeyHolder(Credential(token_digest(key)), Tenant(name=f"tenant-{key}"))
                for key in keys
            )
            node.forwarder.table = msgspec.structs.replace(
                TABLE, version=TABLE.version + 1, tenants=TenantDirectory(holders)
            )
        first = nodes.begin(0, 1, 2, authorization="Bearer key-a")
        node = nodes[1]
        for key, is_found in (("key-b", False), ("key-a", True)):
            fields = {"last-event-id": "2", "resumes": first, "authorization": f"Bearer {key}"}
            node.resume_turn("/line/x", fields, own_id=f"by-{key}")
            nodes.deliver()
            nodes.wait(0.5)
            refused = [item for item in node.replies if item.status == 503]
            self.assertEqual(len(refused), 1, key)
            self.assertEqual(len(node.operations()) > 0, is_found)


def _item(node: Played, number: int, word: str) -> HttpStreamItem:
    """Return an event that the latest engine of a node sends."""
    data = f"id: {number}\ndata: {word}\n\n".encode()
    return HttpStreamItem(request=node.sent[-1].request, data=data, event_id=str(number))


if __name__ == "__main__":
    unittest.main()
