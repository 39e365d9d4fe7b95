from __future__ import annotations

import unittest

from tests.unit.registry.test_watch import ScriptedStore
from yokeline.effects import (
    Address,
    Effect,
    HttpFailed,
    HttpRequest,
    HttpResponse,
    LogRecord,
    SendPeer,
)
from yokeline.forwarding.configuration_lease import (
    FALLBACK_AGE_SHARE,
    LAST_RESORT_AGE_SHARE,
    LEASE_BOUND_SHARE,
    MAX_RETRY_SECONDS,
    PEER_QUERY_AGE_SHARE,
    PENDING_SECONDS,
    ConfigurationLease,
    LeaseState,
)
from yokeline.identifiers import ReplicaId, RequestId
from yokeline.ledger.client import PeerNode
from yokeline.ledger.messages import ConfigurationAsk, ConfigurationProof, RegistryItem
from yokeline.registry.protocol import FoundItem, RegistryAnswer, StoredItem, StoreRefused

KEY = "configuration"
BOUND = 5.0
LEASE = LEASE_BOUND_SHARE * BOUND
PEERS = [PeerNode(ReplicaId(f"p{number}"), Address("10.0.0.2", number)) for number in range(2)]


class Proofs(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.store = ScriptedStore()
        self.node = self.new_node()

    def new_node(self) -> ConfigurationLease:
        node = ConfigurationLease(self.store, KEY, Address("10.0.0.1", 1), BOUND, self.now)
        node.set_configuration(StoredItem(KEY, b"v7", 7), has_keys=True)
        return node

    def read(self) -> RequestId:
        """Let the node ask the service."""
        (call,) = self.calls(watches=True)
        assert isinstance(call, HttpRequest)
        self.assertEqual(call.path, f"read {KEY}")
        return call.request

    def calls(self, *, watches: bool, peers: list[PeerNode] | None = None) -> list[Effect]:
        """Return what the node asks now; its log lines left out."""
        effects = self.node.tick(self.now, is_reader=watches, is_watcher=watches, peers=peers or [])
        return [item for item in effects if not isinstance(item, LogRecord)]

    def ask(self) -> ConfigurationAsk:
        """Let the node ask a peer."""
        effects = self.node.tick(self.now, is_reader=False, is_watcher=False, peers=PEERS)
        (question,) = [item.message for item in effects if isinstance(item, SendPeer)]
        assert isinstance(question, ConfigurationAsk)
        return question

    def answered(self, request: RequestId, answer: RegistryAnswer) -> StoredItem | None:
        self.store.next_answer = answer
        response = HttpResponse(request=request, status=200)
        self.assertTrue(self.node.owns(response))
        return self.node.handle_read(response)

    def prove(self, revision: int = 7) -> None:
        self.answered(self.read(), FoundItem(StoredItem(KEY, b"v", revision)))


class Leases(Proofs):
    def test_without_a_proof_a_node_waits_a_moment_and_then_counts_as_stale(self) -> None:
        self.assertIs(self.node.state(self.now), LeaseState.PENDING)
        self.assertIs(self.node.state(self.now + PENDING_SECONDS + 0.1), LeaseState.EXPIRED)

    def test_a_lease_counts_from_the_question_and_not_from_its_answer(self) -> None:
        """A planted fault that must show: an answer that was 3 s on its way proves 3 s less."""
        request = self.read()
        asked_at = self.now
        self.now += 3.0
        self.answered(request, FoundItem(StoredItem(KEY, b"v7", 7)))
        self.assertIs(self.node.state(asked_at + LEASE), LeaseState.VALID)
        self.assertIsNot(self.node.state(asked_at + LEASE + 0.01), LeaseState.VALID)

    def test_a_node_that_wakes_after_a_pause_is_not_current_and_may_be_soon(self) -> None:
        self.prove()
        self.now += LEASE + 60.0
        self.assertIs(self.node.state(self.now), LeaseState.PENDING)
        self.calls(watches=True)
        self.assertIs(self.node.state(self.now + PENDING_SECONDS + 0.1), LeaseState.EXPIRED)

    def test_a_later_configuration_is_no_proof_until_it_is_in_force(self) -> None:
        later = StoredItem(KEY, b"v9", 9)
        taken = self.answered(self.read(), FoundItem(later))
        self.assertEqual(taken, later)
        self.assertIsNot(self.node.state(self.now), LeaseState.VALID)
        self.node.set_configuration(later, has_keys=True)
        self.now += 0.3
        self.prove(9)
        self.assertIs(self.node.state(self.now), LeaseState.VALID)

    def test_a_refusal_or_a_loss_proves_nothing_and_is_tried_again(self) -> None:
        self.answered(self.read(), StoreRefused(503, ()))
        self.now += 0.3
        request = self.read()
        failed = HttpFailed(request=request, sent=True, reason="reset")
        self.assertTrue(self.node.owns(failed))
        self.assertIsNone(self.node.handle_read(failed))
        self.assertIsNot(self.node.state(self.now), LeaseState.VALID)
        self.now += MAX_RETRY_SECONDS
        self.read()

    def test_without_keys_or_a_bound_nothing_is_asked(self) -> None:
        self.node.set_configuration(StoredItem(KEY, b"v8", 8), has_keys=False)
        self.assertIsNone(self.node.next_deadline())
        self.assertEqual(self.node.tick(self.now, is_reader=True, is_watcher=True, peers=PEERS), [])
        unbound = ConfigurationLease(self.store, KEY, Address("10.0.0.1", 1), 0.0, self.now)
        unbound.set_configuration(StoredItem(KEY, b"v7", 7), has_keys=True)
        self.assertIs(unbound.state(self.now + 99.0), LeaseState.VALID)
        self.assertIsNone(unbound.next_deadline())

    def test_a_proof_is_renewed_twice_a_second_and_a_lost_lease_is_logged(self) -> None:
        self.prove()
        calls = 0
        for _ in range(100):
            self.now += 0.05
            effects = self.node.tick(self.now, is_reader=True, is_watcher=True, peers=[])
            for effect in effects:
                if isinstance(effect, HttpRequest):
                    calls += 1
                    self.answered(effect.request, FoundItem(StoredItem(KEY, b"v7", 7)))
        self.assertIn(calls, (7, 8, 9))
        self.now += LEASE + 0.1
        events = [
            getattr(item, "event", "")
            for item in self.node.tick(self.now, is_reader=True, is_watcher=True, peers=[])
        ]
        self.assertIn("configuration_unproved", events)


class ProofsOfPeers(Proofs):
    def proof(self, number: int, age: float, revision: int = 7) -> ConfigurationProof:
        return ConfigurationProof(number=number, revision=revision, age=age)

    def test_a_peers_proof_counts_from_the_question_less_its_age(self) -> None:
        question = self.ask()
        asked_at = self.now
        self.now += 1.0
        self.node.handle_proof(self.proof(question.number, age=2.0))
        self.assertAlmostEqual(self.node.age(self.now), 3.0)
        self.assertIsNot(self.node.state(asked_at + LEASE - 1.9), LeaseState.VALID)

    def test_a_proof_that_nobody_asked_for_or_that_comes_twice_counts_for_nothing(self) -> None:
        question = self.ask()
        self.node.handle_proof(self.proof(question.number + 1, age=0.0))
        self.assertIsNot(self.node.state(self.now), LeaseState.VALID)
        self.node.handle_proof(self.proof(question.number, age=4.0))
        self.now += 0.5
        self.node.handle_proof(self.proof(question.number, age=0.0))
        self.assertAlmostEqual(self.node.age(self.now), 4.5)

    def test_a_proof_of_the_future_counts_for_nothing(self) -> None:
        self.node.handle_proof(self.proof(self.ask().number, age=-10.0))
        self.assertIsNot(self.node.state(self.now), LeaseState.VALID)

    def test_the_next_peer_is_asked_when_one_is_silent(self) -> None:
        asked = set()
        for _ in range(3):
            effects = self.node.tick(self.now, is_reader=False, is_watcher=False, peers=PEERS)
            asked.update(item.to for item in effects if isinstance(item, SendPeer))
            self.now += 0.3
        self.assertEqual(asked, {peer.process for peer in PEERS})

    def test_a_node_that_the_service_refuses_asks_its_peers_too(self) -> None:
        self.prove()
        self.now += FALLBACK_AGE_SHARE * LEASE + 0.01
        kinds = {type(item) for item in self.calls(watches=True, peers=PEERS)}
        self.assertEqual(kinds, {HttpRequest, SendPeer})

    def test_nodes_that_watch_leave_reading_to_the_first_until_much_of_the_lease_is_gone(
        self,
    ) -> None:
        self.prove()
        asked_at = self.now
        for share, kinds in ((0.13, set()), (0.21, {SendPeer}), (0.7, {HttpRequest, SendPeer})):
            self.now = asked_at + share * LEASE
            effects = self.node.tick(self.now, is_reader=False, is_watcher=True, peers=PEERS)
            self.assertEqual({type(item) for item in effects} - {LogRecord}, kinds)

    def test_a_node_that_follows_others_reads_at_its_start_and_when_its_lease_lapses(self) -> None:
        """The service was away for 5 s. Left to the nodes that watch it, the others were told 1 to
        2 s after its return that it answers again, and refused their callers until then.
        """
        (call,) = self.calls(watches=False)
        assert isinstance(call, HttpRequest)
        self.answered(call.request, FoundItem(StoredItem(KEY, b"v7", 7)))
        proved_at = self.now
        while self.now < proved_at + LAST_RESORT_AGE_SHARE * LEASE - 0.1:
            self.assertEqual(self.calls(watches=False), [])
            self.now += 0.1
        self.now += MAX_RETRY_SECONDS
        (call,) = self.calls(watches=False)
        assert isinstance(call, HttpRequest)
        self.answered(call.request, FoundItem(StoredItem(KEY, b"v7", 7)))
        self.assertIs(self.node.state(self.now), LeaseState.VALID)

    def test_those_that_read_in_an_outage_do_so_ever_more_rarely(self) -> None:
        self.prove()
        reads = 0
        for _ in range(100):
            self.now += 0.05
            for call in self.calls(watches=True):
                assert isinstance(call, HttpRequest)
                reads += 1
                self.answered(call.request, StoreRefused(503, ()))
        self.assertLess(reads, 14)
        self.assertGreater(reads, 8)

    def test_it_does_not_ask_while_its_proof_is_young(self) -> None:
        self.node.handle_proof(self.proof(self.ask().number, age=0.0))
        self.now += PEER_QUERY_AGE_SHARE * LEASE - 0.1
        self.assertEqual(self.calls(watches=False, peers=PEERS), [])

    def test_a_peer_tells_how_old_its_proof_is_and_what_is_newer(self) -> None:
        self.prove()
        self.now += 2.0
        question = ConfigurationAsk(number=3, asker=Address("10.0.0.9", 9), known=5)
        (effect,) = self.node.answer_query(ReplicaId("p9"), question, self.now)
        assert isinstance(effect, SendPeer)
        proof = effect.message
        assert isinstance(proof, ConfigurationProof)
        self.assertEqual((proof.number, proof.revision, proof.age), (3, 7, 2.0))
        self.assertEqual(proof.item, RegistryItem(KEY, b"v7", 7))

    def test_a_peer_without_a_proof_says_nothing(self) -> None:
        question = ConfigurationAsk(number=3, asker=Address("10.0.0.9", 9), known=7)
        self.assertEqual(self.node.answer_query(ReplicaId("p9"), question, self.now), [])
        self.prove()
        late = self.now + LEASE + 0.1
        self.assertEqual(self.node.answer_query(ReplicaId("p9"), question, late), [])

    def test_a_later_configuration_of_a_peer_is_taken_over_first(self) -> None:
        item = RegistryItem(KEY, b"v9", 9)
        proof = ConfigurationProof(number=self.ask().number, revision=9, age=0.1, item=item)
        self.assertEqual(self.node.handle_proof(proof), StoredItem(KEY, b"v9", 9))
        self.assertIsNot(self.node.state(self.now), LeaseState.VALID)
