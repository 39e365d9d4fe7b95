"""Streams of one node while engines of two versions serve, with a ledger played by the test."""

from __future__ import annotations

import unittest

import msgspec
from msgspec import UNSET

from tests.unit.forwarding.engine_entries_support import NodeWithEntries
from tests.unit.forwarding.support import STORAGE, Played
from tests.unit.forwarding.test_histories import FOLLOWER
from yokeline.effects import Address, HttpRequest
from yokeline.forwarding.engine_choice import ChoiceInputs, choose_engine, ineligibility
from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.forwarder import RESTART_DETECTION_SECONDS
from yokeline.forwarding.model import Call, Engine
from yokeline.forwarding.prefix_cache import PrefixCacheIndex
from yokeline.forwarding.stream_versions import (
    MAX_LOOKUPS,
    NO_ENGINE_OF_VERSION,
    STREAM_VERSION_UNKNOWN,
)
from yokeline.ledger.history_fetches import NearReplica
from yokeline.ledger.messages import HistoryAsk, HistoryReply
from yokeline.ledger.operations import Granted, KeptTurn, RecordedStream, Reserve, StreamVersion
from yokeline.scheduling.eligibility import Ineligibility
from yokeline.scheduling.engine_versions import MIN_VERSION_MEMORY_SECONDS

ENGINES = 4


def set_version(played: Played, engine_id: str, version: str) -> None:
    """Let an engine be known under its id with a version."""
    state = played.engines.get(engine_id)
    assert state is not None
    played.engines.remove(engine_id)
    played.engines.put(msgspec.structs.replace(state.engine, version=version))


def versions(played: Played, *engine_versions: str) -> None:
    """Give the model engines their versions."""
    for number, version in enumerate(engine_versions):
        set_version(played, f"models-{number}", version)
    played.take(played.forwarder.tick(played.now))


def version_at(played: Played, index: int = -1) -> str:
    """Return the version of the engine that a request was sent to."""
    state = played.engines.get(played.engine_of(index))
    assert state is not None
    return state.engine.version


def records(played: Played) -> list[StreamVersion]:
    """Return the records that were sent to the ledger."""
    return [
        row
        for operation in played.operations()
        if isinstance(operation, Reserve) and not isinstance(operation.streams, msgspec.UnsetType)
        for row in operation.streams
    ]


def resume(played: Played, origin: str, path: str = "/turn/x", *, budget: bool = True) -> str:
    """Let a caller resume a stream after its first event; return the new request's id."""
    fields = {"last-event-id": "1", "resumes": origin}
    return played.resume_turn(path, fields, budget=budget)


class EnginesOfAStream(unittest.TestCase):
    def test_a_begun_stream_uses_engines_of_its_version_only(self) -> None:
        engine = Engine(
            engine_id="e", pool="models", address=Address("h", 1), zone="a", slots=1, version="v1"
        )
        call = Call(request_id="r", deadline=1.0)
        for allowed, expected in (
            (None, None),
            (frozenset({"v1"}), None),
            (frozenset({"v2"}), Ineligibility.OTHER_VERSION),
            (frozenset[str](), Ineligibility.OTHER_VERSION),
        ):
            inputs = ChoiceInputs(call=call, traits=None, zone="a", allowed_versions=allowed)
            state = EngineState(engine=engine)
            self.assertIs(ineligibility(state, PrefixCacheIndex(), inputs, 0.0), expected)
            choice = choose_engine([state], PrefixCacheIndex(), inputs, 0.0)
            self.assertEqual(choice is None, expected is not None)
        self.assertFalse(Ineligibility.OTHER_VERSION.is_temporary)


class OneVersion(unittest.TestCase):
    def setUp(self) -> None:
        self.played = Played(engines_per_pool=ENGINES)
        versions(self.played, *["v1"] * ENGINES)

    def test_nothing_is_recorded_or_asked(self) -> None:
        self.played.turn()
        self.played.ledger_answers(Granted())
        self.played.engine_begins()
        self.played.engine_sends(1)
        self.assertEqual(len(self.played.asked), 1)
        reserve = self.played.operations()[0]
        assert isinstance(reserve, Reserve)
        self.assertEqual((reserve.streams, reserve.resumes), (UNSET, UNSET))
        self.assertFalse(self.played.forwarder._state.eligibility.is_active)

    def test_a_stream_without_a_record_goes_on(self) -> None:
        resume(self.played, "elsewhere")
        self.played.ledger_answers(Granted())
        self.assertEqual(len(self.played.sent), 1)

    def test_a_node_that_has_just_started_believes_the_ledger_that_versions_were_mixed(
        self,
    ) -> None:
        """Guards against a stream of a version that left while the node was down."""
        resume(self.played, "elsewhere")
        for _ in range(MAX_LOOKUPS):
            self.played.ledger_answers(Granted(versions=("v0", "v1")))
            self.played.wait(0.06)
        self.assertEqual(self.played.sent, [])
        self.assertEqual(self.played.refusal()["error"], STREAM_VERSION_UNKNOWN)
        resume(self.played, "elsewhere")
        self.played.ledger_answers(Granted(versions=("v1",)))
        self.assertEqual(len(self.played.sent), 1)

    def test_the_only_version_in_view_is_not_taken_for_the_one_that_is_recorded(self) -> None:
        resume(self.played, "elsewhere")
        self.played.ledger_answers(Granted(versions=("v0",)))
        self.assertEqual(self.played.sent, [])
        self.assertEqual(self.played.refusal()["error"], NO_ENGINE_OF_VERSION)

    def test_an_earlier_leader_lets_the_view_decide(self) -> None:
        resume(self.played, "elsewhere")
        for _ in range(MAX_LOOKUPS):
            self.played.ledger_answers(Granted(has_mixed_versions=True))
            self.played.wait(0.06)
        self.assertEqual(self.played.sent, [])
        self.played.wait(MIN_VERSION_MEMORY_SECONDS)
        resume(self.played, "elsewhere")
        self.played.ledger_answers(Granted(has_mixed_versions=True))
        self.assertEqual(len(self.played.sent), 1)

    def test_a_stream_that_began_elsewhere_is_always_asked_for(self) -> None:
        """Guards against a view that lags behind the node that began the stream."""
        for _ in range(2):
            before = len(self.played.asked)
            resume(self.played, "elsewhere", budget=False)
            self.assertEqual(len(self.played.asked), before + 1)
            self.played.wait(MIN_VERSION_MEMORY_SECONDS)

    def test_no_stream_is_sent_to_a_version_before_it_is_recorded(self) -> None:
        self.played.is_ledger_silent = True
        set_version(self.played, "models-0", "v2")
        self.played.take(self.played.forwarder.tick(self.played.now))
        for _ in range(6):
            self.played.request("/turn/x", token_usage="100,50")
            self.assertNotEqual(version_at(self.played), "v2")
        self.assertEqual(self.played.ledger_state.versions.of_pool("models"), ("v1",))

    def test_a_version_is_deleted_once_it_has_been_absent_for_its_memory(self) -> None:
        versions(self.played, "v2", "v2", "v2", "v2")
        self.assertEqual(self.played.ledger_state.versions.of_pool("models"), ("v1", "v2"))
        self.played.wait(MIN_VERSION_MEMORY_SECONDS + 0.1)
        self.played.request("/turn/x", token_usage="100,50")
        self.assertEqual(self.played.ledger_state.versions.of_pool("models"), ("v2",))

    def test_streams_are_recorded_together_when_a_second_version_comes(self) -> None:
        begun = []
        for _ in range(3):
            begun.append(self.played.request("/turn/x"))
            self.played.engine_begins()
            self.played.engine_sends(1)
        versions(self.played, "v1", "v1", "v1", "v2")
        self.assertEqual([row.stream for row in records(self.played)], begun)
        self.assertEqual({row.version for row in records(self.played)}, {"v1"})
        self.assertEqual(len(self.played.asked), 1)


class TwoVersions(unittest.TestCase):
    def setUp(self) -> None:
        self.played = Played(engines_per_pool=ENGINES)
        versions(self.played, "v1", "v1", "v2", "v2")

    def begin(self) -> str:
        request_id = self.played.turn()
        self.played.ledger_answers(Granted())
        self.played.engine_begins()
        self.played.engine_sends(1)
        return request_id

    def test_a_reservation_says_that_several_versions_serve(self) -> None:
        self.begin()
        reserve = self.played.operations()[0]
        assert isinstance(reserve, Reserve)
        self.assertEqual(reserve.streams, ())

    def test_a_stream_is_recorded_once_at_its_first_event(self) -> None:
        request_id = self.begin()
        self.played.engine_sends(2)
        (row,) = records(self.played)
        self.assertEqual((row.stream, row.version), (request_id, version_at(self.played)))
        self.assertEqual(self.played.passed_on().count(b"id: "), 2)

    def test_an_answer_goes_on_at_an_engine_of_its_version(self) -> None:
        """Guards against the retry within one answer, which used to take any engine."""
        for _ in range(ENGINES):
            self.begin()
            began_at = version_at(self.played)
            self.played.engine_breaks(fresh=True)
            self.assertEqual(version_at(self.played), began_at)

    def test_an_attempt_without_an_event_binds_to_no_version(self) -> None:
        self.played.turn()
        self.played.ledger_answers(Granted())
        for state in self.played.engines.in_pool("models", self.played.now):
            if state.engine.version == version_at(self.played):
                state.full_until = self.played.now + 9
        began_at = version_at(self.played)
        self.played.engine_breaks(fresh=True)
        self.assertNotEqual(version_at(self.played), began_at)

    def test_the_node_that_began_a_stream_continues_it_whoever_leads_the_ledger(self) -> None:
        request_id = self.begin()
        began_at = version_at(self.played)
        self.played.leave(request_id)
        for _ in range(3):
            resume(self.played, request_id)
            self.played.ledger_answers(Granted())
            self.assertEqual(version_at(self.played), began_at)
            self.played.engine_begins()
            self.played.engine_sends(2)

    def test_the_record_decides_at_another_node(self) -> None:
        for version in ("v1", "v2"):
            resume(self.played, "elsewhere")
            self.played.ledger_answers(Granted(stream=RecordedStream(version, 0.02)))
            self.assertEqual(version_at(self.played), version)
            line = [item for item in self.played.logs if item.event == "stream_resumed"][-1]
            self.assertEqual(line.fields["version_source"], "ledger")

    def test_a_stream_without_a_budget_is_looked_up(self) -> None:
        resume(self.played, "elsewhere", budget=False)
        self.assertEqual(self.played.sent, [])
        self.played.ledger_answers(Granted(stream=RecordedStream("v2", 0.02)))
        self.assertEqual(version_at(self.played), "v2")

    def test_a_record_that_arrives_after_the_caller_is_found(self) -> None:
        resume(self.played, "elsewhere")
        self.played.ledger_answers(Granted())
        self.assertEqual((self.played.sent, self.played.replies), ([], []))
        self.played.wait(0.06)
        self.played.ledger_answers(Granted(stream=RecordedStream("v2", 0.01)))
        self.assertEqual(version_at(self.played), "v2")

    def test_a_history_that_arrives_first_does_not_send_a_stream_of_unknown_version(self) -> None:
        """Guards against a turn that went to any engine while its stream was being looked up."""
        leader = NearReplica(STORAGE.replica, STORAGE.address, is_near=True)
        self.played.histories.set_replicas([leader, FOLLOWER])
        self.begin()
        turn = KeptTurn(turn_id="t", previous="", text=b"text", retention=60.0)
        fields = {"last-event-id": "1", "resumes": "elsewhere", "x-yokeline-previous-turn": "t"}
        self.played.hold_stream("/line/", "p", "elsewhere", "word1")
        self.played.resume_turn("/line/x", fields)
        self.played.ledger_answers(Granted())
        sent = len(self.played.sent)
        question = self.played.peers[-1].message
        assert isinstance(question, HistoryAsk)
        reply = HistoryReply(number=question.number, turns=(turn,))
        self.played.take(self.played.histories.take_reply(reply, self.played.now))
        self.assertEqual(len(self.played.sent), sent)
        self.played.wait(0.06)
        self.played.ledger_answers(Granted(stream=RecordedStream("v2", 0.01)))
        self.assertEqual(len(self.played.sent), sent + 1)
        self.assertEqual(version_at(self.played), "v2")

    def test_an_unknown_stream_is_refused_soon_as_not_run(self) -> None:
        resume(self.played, "elsewhere")
        for _ in range(MAX_LOOKUPS):
            self.played.ledger_answers(Granted())
            self.played.wait(0.06)
        self.assertEqual(self.played.sent, [])
        self.assertEqual(self.played.replies[-1].status, 503)
        self.assertLess(float(self.played.replies[-1].headers["retry-after"]), 0.5)
        self.assertEqual(self.played.refusal()["error"], STREAM_VERSION_UNKNOWN)

    def test_a_stream_that_names_no_attempt_is_refused_after_one_question(self) -> None:
        self.played.resume_turn("/turn/x", {"last-event-id": "1"})
        self.played.ledger_answers(Granted())
        self.assertEqual(self.played.refusal()["error"], STREAM_VERSION_UNKNOWN)

    def test_conflicting_records_continue_nowhere(self) -> None:
        resume(self.played, "elsewhere")
        self.played.ledger_answers(Granted(stream=RecordedStream(None, 0.5)))
        self.assertEqual(self.played.sent, [])
        self.assertEqual(self.played.refusal()["error"], STREAM_VERSION_UNKNOWN)

    def test_a_silent_ledger_refuses_a_stream_without_a_budget_within_half_a_second(self) -> None:
        resume(self.played, "elsewhere", budget=False)
        self.played.wait(0.5)
        self.assertEqual(self.played.sent, [])
        self.assertEqual(self.played.refusal()["error"], STREAM_VERSION_UNKNOWN)

    def test_without_an_engine_of_the_version_a_stream_is_refused_at_once(self) -> None:
        for version in ("v1", "v0"):
            for number in (0, 1):
                state = self.played.engines.get(f"models-{number}")
                assert state is not None
                state.engine = msgspec.structs.replace(state.engine, draining=True)
            self.played.engines._rebuild_pools()
            resume(self.played, "elsewhere")
            self.played.ledger_answers(Granted(stream=RecordedStream(version, 0.02)))
            self.assertEqual(self.played.sent, [])
            self.assertEqual(self.played.refusal()["error"], NO_ENGINE_OF_VERSION)
            self.assertLess(float(self.played.replies[-1].headers["retry-after"]), 0.5)

    def test_a_stream_waits_for_full_engines_of_its_version_while_others_pass(self) -> None:
        for number in (0, 1):
            state = self.played.engines.get(f"models-{number}")
            assert state is not None
            state.full_until = self.played.now + 0.1
        resume(self.played, "elsewhere")
        self.played.ledger_answers(Granted(stream=RecordedStream("v1", 0.02)))
        self.assertEqual(self.played.sent, [])
        self.begin()
        self.assertEqual(version_at(self.played), "v2")
        self.played.wait(0.2)
        self.assertEqual(version_at(self.played), "v1")

    def test_streams_are_still_bound_when_one_version_has_just_left(self) -> None:
        for number in (2, 3):
            self.played.engines.remove(f"models-{number}")
        self.played.take(self.played.forwarder.tick(self.played.now))
        resume(self.played, "elsewhere")
        for _ in range(MAX_LOOKUPS):
            self.played.ledger_answers(Granted())
            self.played.wait(0.06)
        self.assertEqual(self.played.refusal()["error"], STREAM_VERSION_UNKNOWN)

    def test_only_a_stream_that_is_known_is_exempt_from_the_rules_of_first_turns(self) -> None:
        """Guards against callers that skip their tenant's share by naming a stream."""
        resume(self.played, "elsewhere")
        self.played.ledger_answers(Granted(stream=RecordedStream("v1", 0.02)))
        (known,) = self.played.forwarder._state.exchanges.values()
        self.assertFalse(known.is_first_turn)
        one_version = Played(engines_per_pool=ENGINES)
        resume(one_version, "invented")
        one_version.ledger_answers(Granted())
        (invented,) = one_version.forwarder._state.exchanges.values()
        self.assertTrue(invented.is_first_turn)

    def test_a_route_without_resumption_is_bound_to_no_version(self) -> None:
        self.played.turn("/once/x")
        self.played.ledger_answers(Granted())
        self.played.engine_begins()
        self.played.engine_sends(1)
        self.assertEqual(records(self.played), [])


class VersionOfAStart(NodeWithEntries):
    """A version belongs to one start of an engine."""

    def hand(self, event: object) -> list[object]:
        effects = super().hand(event)  # type: ignore[arg-type]
        self.played.now = self.now
        self.played.take(
            [item for item in effects if not isinstance(item, HttpRequest) or item.header_items]
        )
        return list(effects)

    def test_an_entry_with_another_version_is_another_start(self) -> None:
        for fields in ({}, {"born": 1_790_000_000_000}):
            with self.subTest(fields):
                self.write("i-0", self.entry(**fields, version="v1"))
                (first,) = self.known()
                self.write("i-0", self.entry(**fields, version="v2", sequence=8))
                (second,) = self.known()
                self.assertNotEqual(first, second)
                self.write("i-0", self.entry(**fields, version="v2", sequence=9))
                self.assertEqual(self.known(), {second})
                self.assertEqual(self.usable(), ["i-0"])
                self.write("i-0", None)
                for state in list(self.played.engines.all()):
                    self.played.engines.remove(state.engine.engine_id)

    def test_a_stream_that_either_start_may_have_begun_is_not_continued(self) -> None:
        self.write("i-0", self.entry(version="v1"))
        self.write("i-1", self.entry(1, version="v1"))
        self.played.request("/turn/x")
        self.played.engine_begins()
        self.played.engine_sends(1)
        instance = self.played.engine_of()
        address = int(instance.removeprefix("i-"))
        self.write(instance, self.entry(address, version="v2"))
        rows = records(self.played)
        self.assertEqual([row.version for row in rows][-1:], [None])
        self.played.engine_breaks(fresh=True)
        self.assertEqual(len(self.played.sent), 1)

    def test_an_event_after_the_news_may_be_of_either_start(self) -> None:
        """Guards against recording the version of the start that the request was meant for."""
        self.write("i-0", self.entry(version="v1"))
        self.played.request("/turn/x")
        self.write("i-0", self.entry(version="v2"))
        self.played.engine_begins()
        self.played.engine_sends(1)
        self.assertEqual([row.version for row in records(self.played)], [None])

    def test_an_older_stream_stays_bound_to_the_earlier_start(self) -> None:
        self.write("i-0", self.entry(version="v1"))
        self.write("i-1", self.entry(1, version="v1"))
        request_id = self.played.request("/turn/x")
        self.played.engine_begins()
        self.played.engine_sends(1)
        self.played.leave(request_id)
        self.played.wait(RESTART_DETECTION_SECONDS + 0.1)
        self.now = self.played.now
        instance = self.played.engine_of()
        self.write(instance, self.entry(int(instance.removeprefix("i-")), version="v2"))
        resume(self.played, request_id, budget=False)
        self.assertEqual(version_at(self.played), "v1")
        self.assertNotEqual(self.played.engine_of(), instance)
