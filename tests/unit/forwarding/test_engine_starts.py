"""An engine that starts again under its id is another engine, of which nothing is believed yet."""

from __future__ import annotations

import msgspec

from tests.unit.forwarding.engine_entries_support import (
    FIRST_START_MS,
    SECOND_START_MS,
    NodeWithEntries,
)
from yokeline.effects import Address, CloseIdleConnections, DatagramArrived, Effect, HttpRequest
from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.forwarder import RESTART_DETECTION_SECONDS
from yokeline.forwarding.incarnations import LEGACY_REPORTING_SECONDS
from yokeline.forwarding.model import Engine, PromptPart, make_incarnation_id
from yokeline.identifiers import NodeName
from yokeline.ledger.messages import EngineLoad, EngineTurns, LoadReport
from yokeline.ledger.operations import CachedContext, Granted

INSTANCE = "i-0"
FIRST = make_incarnation_id(INSTANCE, FIRST_START_MS)
SECOND = make_incarnation_id(INSTANCE, SECOND_START_MS)
PART = PromptPart("a", 900)


def _asks_store(effect: Effect) -> bool:
    return isinstance(effect, HttpRequest) and not effect.header_items


class EngineStarts(NodeWithEntries):
    def setUp(self) -> None:
        super().setUp()
        self.start_first()

    def start_first(self, **fields: object) -> None:
        self.write(INSTANCE, self.entry(born=FIRST_START_MS, **fields))

    def start_again(self, **fields: object) -> None:
        self.write(INSTANCE, self.entry(born=SECOND_START_MS, **{"sequence": 1, **fields}))

    def hand(self, event: object) -> list[Effect]:
        """Keep the node's requests and answers where the played forwarder keeps them."""
        effects = super().hand(event)
        self.played.now = self.now
        self.played.take([effect for effect in effects if not _asks_store(effect)])
        return effects

    def call(self, path: str) -> str:
        """Let a call of the engines' pool arrive, and return its id."""
        return self.played.request(path)

    def replied(self) -> list[int]:
        return [reply.status for reply in self.played.replies]

    # ------------------------------------------------------------ beliefs

    def test_a_start_is_named_by_id_and_time_and_addressed_by_its_id(self) -> None:
        self.assertEqual(self.known(), {FIRST})
        self.played.turn()
        self.played.ledger_answers(Granted())
        self.assertEqual(self.played.engine_of(), INSTANCE)

    def test_nothing_that_was_believed_of_the_earlier_start_counts_for_the_new_one(self) -> None:
        earlier = self.played.engines.get(FIRST)
        assert earlier is not None
        earlier.record_failure(self.now)
        earlier.record_call_seconds(9.0)
        earlier.full_until = self.now + 100
        earlier.reported_failure_rate, earlier.reported_slowness, earlier.running_elsewhere = (
            1.0,
            5.0,
            3,
        )
        beliefs = self.played.forwarder._state.placement.prefix_cache
        beliefs.record_prompt(FIRST, (PART,), 10_000)
        self.start_again()
        self.assertEqual(self.known(), {SECOND})
        state = self.played.engines.get(SECOND)
        assert state is not None
        self.assertEqual(
            (state.failures, state.call_seconds, state.full_until, state.load), (0, 0.0, 0.0, 0)
        )
        self.assertEqual((state.failure_rate(self.now), state.reported_slowness), (0.0, 1.0))
        self.assertEqual(beliefs.cached_tokens(FIRST, (PART,)), 0)
        self.assertEqual(beliefs.cached_tokens(SECOND, (PART,)), 0)

    def test_kept_connections_to_the_earlier_start_are_closed(self) -> None:
        self.start_again(address="10.5.0.9:80")
        closed = [item for _, item in self.effects if isinstance(item, CloseIdleConnections)]
        self.assertEqual([str(item.address) for item in closed], ["10.5.0.0:80"])

    def test_the_context_of_an_earlier_start_gains_nothing(self) -> None:
        self.write("i-1", self.entry(1, born=FIRST_START_MS))
        self.start_again()
        other = self.played.engines.current_incarnation("i-1")
        again = self.played.engines.current_incarnation(INSTANCE)
        assert other is not None
        assert again is not None
        again.rank, other.rank = 1.0, 0.0
        self.played.turn(token_usage="20000,50", session_id="s")
        context = CachedContext(engine_id=FIRST, tokens=19_000)
        self.played.ledger_answers(Granted(spent=40, context=context))
        self.assertEqual(self.played.engine_of(), "i-1")

    def test_a_start_whose_counts_begin_anew_is_news(self) -> None:
        self.start_again(sequence=1, state="draining")
        self.assertEqual(self.usable(), [])
        self.start_again(sequence=2)
        self.assertEqual(self.usable(), [INSTANCE])

    def test_a_new_start_of_a_draining_engine_is_used_at_once(self) -> None:
        self.start_first(state="draining")
        self.assertEqual(self.usable(), [])
        self.start_again()
        self.assertEqual(self.usable(), [INSTANCE])

    def test_a_new_start_of_a_lapsed_engine_is_used_at_once(self) -> None:
        self.write(INSTANCE, None)
        self.start_again()
        state = self.played.engines.get(SECOND)
        assert state is not None
        self.assertEqual(state.expires_at, 0.0)
        self.wait(10.0)
        self.assertEqual(self.known(), {SECOND})

    def test_a_node_goes_on_preferring_the_engine_that_started_again(self) -> None:
        """Its connections and its share of the work do not move with each start."""
        book = EngineTable("edge-1")
        known = self.played.engines.get(FIRST)
        assert known is not None
        book.put(known.engine)
        before = [state.rank for state in book.all()]
        book.put(
            msgspec.structs.replace(known.engine, engine_id=SECOND, started_ms=SECOND_START_MS)
        )
        self.assertEqual([state.rank for state in book.all()], before)
        self.assertEqual([state.engine.engine_id for state in book.all()], [SECOND])

    # ------------------------------------------------------------ requests under way

    def test_a_call_without_an_answer_of_the_earlier_start_may_have_run(self) -> None:
        self.write("i-1", self.entry(1, service="apps", born=FIRST_START_MS))
        self.start_first(service="apps", slots=64)
        other = self.played.engines.current_incarnation("i-1")
        assert other is not None
        other.full_until = self.now + 100
        self.call("/fix/x")
        self.assertEqual(self.played.engine_of(), INSTANCE)
        self.wait(RESTART_DETECTION_SECONDS)
        sent = len(self.played.sent)
        self.start_again(service="apps")
        self.assertEqual(self.replied(), [502])
        self.assertEqual(len(self.played.cancelled), 1)
        self.wait(1.0)
        self.assertEqual(len(self.played.sent), sent)

    def test_a_call_of_the_last_moment_may_be_at_the_new_start_and_is_waited_for(self) -> None:
        self.start_first(service="apps")
        self.call("/fix/x")
        self.start_again(service="apps")
        self.assertEqual(self.replied(), [])
        self.played.engine_answers()
        self.assertEqual(self.replied(), [200])
        state = self.played.engines.get(SECOND)
        assert state is not None
        self.assertEqual((state.call_seconds, state.running), (0.0, 0))

    def test_a_late_failure_of_the_earlier_start_is_not_the_new_ones(self) -> None:
        self.start_first(service="apps")
        self.call("/fix/x")
        self.start_again(service="apps")
        self.played.engine_breaks()
        self.assertEqual(self.replied(), [502])
        state = self.played.engines.get(SECOND)
        assert state is not None
        self.assertEqual((state.failures, state.failure_rate(self.now)), (0, 0.0))

    def test_both_starts_count_against_the_attempts_of_a_route(self) -> None:
        self.start_first(service="apps")
        self.call("/look-twice/x")
        self.start_again(service="apps")
        self.played.engine_breaks()
        self.assertEqual(len(self.played.sent), 2)
        self.write("i-1", self.entry(1, service="apps", born=FIRST_START_MS))
        self.played.engine_breaks()
        self.wait(1.0)
        names = {self.played.engine_of(index) for index in range(len(self.played.sent))}
        self.assertEqual(names, {INSTANCE})

    def test_a_request_that_may_run_once_never_reaches_the_second_start(self) -> None:
        for path in ("/fix/x", "/look/x"):
            with self.subTest(path):
                self.setUp()
                self.start_first(service="apps")
                self.call(path)
                self.wait(RESTART_DETECTION_SECONDS - 0.2)
                before = len(self.played.sent)
                self.start_again(service="apps")
                self.played.engine_breaks()
                self.wait(1.0)
                self.assertEqual(len(self.played.sent), before)
                self.assertEqual(self.replied(), [502])

    def test_a_request_that_went_back_to_the_earlier_start_is_taken_back_at_once(self) -> None:
        self.start_first(service="apps")
        self.call("/look/x")
        self.played.engine_breaks()
        self.wait(0.02)
        self.assertEqual(len(self.played.sent), 2)
        self.start_again(service="apps")
        self.assertEqual(len(self.played.cancelled), 1)
        self.wait(1.0)
        self.assertEqual((len(self.played.sent), self.replied()), (2, [502]))

    # ------------------------------------------------------------ entries without a start

    def test_an_entry_without_a_start_is_one_start_as_long_as_it_stands(self) -> None:
        self.write("i-1", self.entry(1, sequence=9))
        self.write("i-1", self.entry(1, sequence=1))
        self.assertEqual(self.known(), {FIRST, "i-1"})
        self.assertEqual(self.lines("engine_restarted"), [])

    def test_a_start_that_comes_and_goes_in_an_entry_changes_nothing(self) -> None:
        state = self.played.engines.get(FIRST)
        for _ in range(5):
            self.write(INSTANCE, self.entry())
            self.start_first()
        self.assertIs(self.played.engines.get(FIRST), state)
        self.assertEqual(len(self.lines("engine_changed")), 1)
        self.assertEqual(self.lines("engine_restarted"), [])

    def test_an_entry_without_a_start_still_says_that_the_engine_drains(self) -> None:
        self.write(INSTANCE, self.entry(state="draining"))
        self.assertEqual((self.known(), self.usable()), ({FIRST}, []))

    # ------------------------------------------------------------ earlier releases beside

    def test_a_load_under_the_bare_id_is_of_the_present_start(self) -> None:
        """An earlier release names engines by id, and its load still counts."""
        self.report("edge-2", EngineLoad(INSTANCE, 2))
        self.report("edge-3", EngineLoad(FIRST, 1), EngineLoad(INSTANCE, 1))
        self.assertEqual(self.others(FIRST), 3)

    def test_a_load_of_an_earlier_start_is_none_of_the_new_one(self) -> None:
        self.report("edge-3", EngineLoad(FIRST, 1))
        self.start_again()
        self.assertEqual(self.others(SECOND), 0)

    def test_turns_told_under_the_bare_id_count_and_its_failures_do_not(self) -> None:
        """Both starts share the bare id, so what failed there may have been the earlier one's."""
        engines = self.played.engines
        told = (EngineTurns(INSTANCE, 3, 100, 300), EngineTurns(FIRST, 1, 10, 100))
        engines.apply_leader_report(told, self.now)
        state = engines.get(FIRST)
        assert state is not None
        self.assertEqual(
            (state.running_elsewhere, state.reported_failure_rate, state.reported_slowness),
            (3, 0.1, 1.0),
        )
        engines.apply_leader_report((EngineTurns(INSTANCE, 2, 100, 300),), self.now)
        self.assertEqual((state.running_elsewhere, state.reported_failure_rate), (2, 0.0))

    def test_an_earlier_release_that_is_heard_is_told_loads_under_its_name(self) -> None:
        self.played.turn()
        self.played.ledger_answers(Granted())
        only_start = (EngineLoad(FIRST, 1),)
        both = (EngineLoad(FIRST, 1), EngineLoad(INSTANCE, 1))
        self.assertEqual(self.own_loads(), (only_start, only_start))
        self.report("edge-2", EngineLoad(INSTANCE, 2))
        self.assertEqual(self.others(FIRST), 2)
        self.assertEqual(self.own_loads(), (both, both))
        later = self.now + LEGACY_REPORTING_SECONDS + 0.1
        self.assertEqual(self.own_loads(later), (only_start, only_start))

    def test_loads_under_both_names_are_no_sign_of_an_earlier_release(self) -> None:
        """Otherwise nodes would tell each other both names for ever."""
        self.played.turn()
        self.played.ledger_answers(Granted())
        self.report("edge-2", EngineLoad(FIRST, 2), EngineLoad(INSTANCE, 2))
        self.assertEqual(self.others(FIRST), 2)
        told = (EngineTurns(INSTANCE, 3, 0, 100), EngineTurns(FIRST, 3, 0, 100))
        self.played.engines.apply_leader_report(told, self.now)
        only_start = (EngineLoad(FIRST, 1),)
        self.assertEqual(self.own_loads(), (only_start, only_start))

    def own_loads(
        self, at: float | None = None
    ) -> tuple[tuple[EngineLoad, ...], tuple[EngineLoad, ...]]:
        """Return what the other nodes and the ledger's leader are told."""
        turns = self.played.ledger.turns
        turns.leader_changed()
        now = self.now if at is None else at
        report = turns.take_report(now)
        assert report is not None
        return self.played.engines.local_loads(now), report.loads

    def report(self, node: str, *loads: EngineLoad) -> None:
        message = LoadReport(node=NodeName(node), sequence=1, loads=loads)
        self.hand(DatagramArrived(source=Address("10.0.0.2", 1), message=message))

    def others(self, start: str) -> int:
        self.played.engines.in_pool("models", self.now)
        state = self.played.engines.get(start)
        assert state is not None
        return state.running_elsewhere


class StartNames(NodeWithEntries):
    def test_no_two_starts_share_a_name(self) -> None:
        told = [("x", 5), ("x@5", None), ("x@", 5), ("x", None), ("x@@5", None)]
        self.assertEqual(len({make_incarnation_id(*item) for item in told}), len(told))

    def test_an_engine_with_one_name_is_addressed_by_it(self) -> None:
        self.write("i-4", self.entry(4))
        state = self.played.engines.get("i-4")
        assert state is not None
        self.assertEqual(state.engine.instance, "i-4")
        self.assertIsInstance(state.engine, Engine)
