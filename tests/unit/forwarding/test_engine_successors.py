"""An engine has ended once another one is listed at its address.

Four engines ended under one call that its caller left each time before its engine ended. No
connection showed the ends, and the entries of the engines lapsed too late, though their successors
had been listed for half a second.
"""

from __future__ import annotations

from tests.unit.forwarding.engine_entries_support import (
    FIRST_START_MS,
    SECOND_START_MS,
    NodeWithEntries,
)
from yokeline.effects import Effect, HttpRequest, PeerMessage
from yokeline.forwarding.model import make_incarnation_id
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import RegistryItem, RegistryNews
from yokeline.losses.attempt_stages import AttemptStage

ADDRESS = "10.5.0.0:80"
FIRST = make_incarnation_id("i-0", FIRST_START_MS)


def _asks_store(effect: Effect) -> bool:
    return isinstance(effect, HttpRequest) and not effect.header_items


class EngineSuccessors(NodeWithEntries):
    def hand(self, event: object) -> list[Effect]:
        """Keep the node's requests and answers where the played forwarder keeps them."""
        effects = super().hand(event)
        self.played.now = self.now
        self.played.take([effect for effect in effects if not _asks_store(effect)])
        return effects

    def app(self, number: int = 0, **fields: object) -> bytes:
        """Return the entry of an engine for calls."""
        return self.entry(number, service="apps", **fields)

    def leave_call(self, own_id: str) -> None:
        """Let a caller leave its call at an engine."""
        call = self.played.request("/look-twice/x", b"same", own_id=own_id, program_id="p")
        self.assertEqual(len(self.played.sent), 1)
        self.now += 0.5
        self.played.now = self.now
        self.played.leave(call)

    def lost_engines(self) -> list[str]:
        """Return the engines of the losses that the node tells."""
        rows = self.played.forwarder.losses.reported_rows()
        return [row.engine_id for row in rows if row.stage is AttemptStage.LOST]

    def test_a_successor_shows_the_end_of_an_engine_that_a_caller_left(self) -> None:
        self.write("i-0", self.app(born=FIRST_START_MS))
        self.leave_call("first")
        self.write("i-1", self.app(1, address=ADDRESS, born=SECOND_START_MS))
        self.assertEqual(self.lost_engines(), [FIRST])

    def test_a_successor_without_a_start_time_shows_it_too(self) -> None:
        self.write("i-0", self.app())
        self.leave_call("first")
        self.write("i-1", self.app(1, address=ADDRESS))
        self.assertEqual(self.lost_engines(), ["i-0"])

    def test_an_attempt_that_is_left_after_its_successor_was_listed_counts(self) -> None:
        """Guards against an end that was noticed before the attempt was left, and never told."""
        self.write("i-0", self.app(born=FIRST_START_MS))
        call = self.played.request("/look-twice/x", b"same", own_id="first", program_id="p")
        self.write("i-1", self.app(1, address=ADDRESS, born=SECOND_START_MS))
        self.assertEqual(self.lost_engines(), [])
        self.played.now = self.now = self.now + 0.05
        self.played.leave(call)
        self.assertEqual(self.lost_engines(), [FIRST])

    def test_a_call_at_an_ended_engine_goes_on_at_another_one(self) -> None:
        """Guards against calls that wait on silent connections for their deadlines."""
        self.write("i-0", self.app(born=FIRST_START_MS))
        self.played.request("/look-twice/x", b"same", own_id="first", program_id="p")
        self.write("i-1", self.app(1, address=ADDRESS, born=SECOND_START_MS))
        self.assertEqual(len(self.played.sent), 1)
        self.played.wait(0.3)
        self.assertEqual(len(self.played.sent), 2)
        self.assertEqual(self.played.replies, [])

    def test_a_call_that_may_run_once_is_answered_when_its_engine_has_ended(self) -> None:
        self.write("i-0", self.app(born=FIRST_START_MS))
        self.played.request("/fix/x", b"same", own_id="first", program_id="p")
        self.write("i-1", self.app(1, address=ADDRESS, born=SECOND_START_MS))
        self.played.wait(0.15)
        self.assertEqual(len(self.played.sent), 1)
        self.assertEqual([reply.status for reply in self.played.replies], [502])

    def test_an_answer_behind_the_end_of_its_engine_is_delivered(self) -> None:
        self.write("i-0", self.app(born=FIRST_START_MS))
        self.played.request("/fix/x", b"same", own_id="first", program_id="p")
        self.write("i-1", self.app(1, address=ADDRESS, born=SECOND_START_MS))
        self.played.wait(0.05)
        self.played.engine_answers()
        self.played.wait(0.15)
        self.assertEqual([reply.status for reply in self.played.replies], [200])

    def test_an_engine_at_another_address_shows_nothing(self) -> None:
        self.write("i-0", self.app(born=FIRST_START_MS))
        self.leave_call("first")
        self.write("i-1", self.app(1, born=SECOND_START_MS))
        self.assertEqual(self.lost_engines(), [])

    def test_the_late_entry_of_a_predecessor_shows_nothing_of_its_successor(self) -> None:
        self.write("i-1", self.app(1, address=ADDRESS, born=SECOND_START_MS))
        self.leave_call("first")
        self.write("i-0", self.app(born=FIRST_START_MS))
        self.assertEqual(self.lost_engines(), [])
        self.write("i-2", self.app(2, address=ADDRESS, born=SECOND_START_MS + 1))
        self.assertEqual(self.ends_of("i-1"), 1)

    def test_a_heartbeat_of_the_predecessor_takes_its_end_back(self) -> None:
        """An engine may move, and another one take its address before its entry says so."""
        self.write("i-0", self.app(born=FIRST_START_MS))
        self.write("i-1", self.app(1, address=ADDRESS, born=SECOND_START_MS))
        self.assertEqual(self.ends_of("i-0"), 1)
        self.write("i-0", self.app(born=FIRST_START_MS, address="10.5.0.9:80", sequence=8))
        self.assertEqual(self.ends_of("i-0"), 0)

    def test_of_entries_that_are_read_at_once_without_start_times_neither_has_ended(self) -> None:
        items = tuple(
            RegistryItem(f"servers/{name}", self.app(address=ADDRESS), 20)
            for name in ("i-0", "i-1")
        )
        since = self.revision if self.node._registry.complete else 0
        news = RegistryNews(revision=20, since=since, items=items)
        self.hand(PeerMessage(sender=ReplicaId("edge-0~7"), message=news))
        self.assertEqual(self.known(), {"i-0", "i-1"})
        self.assertEqual((self.ends_of("i-0"), self.ends_of("i-1")), (0, 0))

    def test_an_engine_that_has_moved_away_is_not_ended_at_its_former_address(self) -> None:
        self.write("i-0", self.app(born=FIRST_START_MS))
        self.write("i-0", self.app(9, born=FIRST_START_MS, sequence=8))
        self.write("i-1", self.app(1, address=ADDRESS, born=SECOND_START_MS))
        self.assertEqual(self.ends_of("i-0"), 0)

    def test_nothing_is_kept_of_addresses_without_an_engine(self) -> None:
        """Addresses of a site may be new for each start."""
        for number in range(5):
            self.write(f"i-{number}", self.app(number, born=FIRST_START_MS, state="draining"))
            self.write(f"i-{number}", None)
        self.write("i-9", self.app(9, born=FIRST_START_MS))
        self.write("i-9", self.app(9, born=SECOND_START_MS))
        self.write("i-9", self.app(8, born=SECOND_START_MS, sequence=8))
        self.assertEqual(len(self.node._discovery._listed_at), 1)

    def ends_of(self, instance: str) -> int:
        return len(self.played.forwarder.losses.ends._ends.get(instance, ()))
