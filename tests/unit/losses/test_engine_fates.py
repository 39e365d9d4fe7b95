"""Which losses of a request count as ends of engines."""

from __future__ import annotations

import itertools
import unittest

import msgspec

from yokeline.forwarding.model import start_of
from yokeline.losses.attempt_stages import AttemptStage
from yokeline.losses.engine_fates import (
    END_DETECTION_SECONDS,
    ISOLATION_DELAY_SECONDS,
    OWNER_TELLS_SECONDS,
    EngineEnds,
    EngineView,
    Loss,
    LossFate,
    Verdict,
    isolation_delay,
    verdict_of,
)

LISTED = EngineView(current_id="e@1", is_registered=True, is_current=True)
GONE = EngineView(current_id="", is_registered=False, is_current=True)
STALE = EngineView(current_id="e@1", is_registered=True, is_current=False)
ENDED, SURVIVED, UNKNOWN = LossFate.ENDED, LossFate.SURVIVED, LossFate.UNKNOWN
UNDER_WAY = LossFate.UNDER_WAY


class Fates(unittest.TestCase):
    def setUp(self) -> None:
        self.ends = EngineEnds()
        self.numbers = itertools.count(1)

    def loss(self, at: float, *, engine_id: str = "e@1", held: float = 0.1) -> Loss:
        return Loss(
            loss_id=str(next(self.numbers)),
            engine_id=engine_id,
            instance="e",
            sent_at=at - held,
            lost_at=at,
        )

    def fates(self, losses: list[Loss], view: EngineView, now: float) -> list[LossFate]:
        found = self.ends.fates(losses, {"e": view}, now)
        return [found[loss.loss_id] for loss in losses]

    def test_a_failed_connection_shows_nothing_of_a_listed_engine(self) -> None:
        losses = [self.loss(10.0)]
        self.assertEqual(self.fates(losses, LISTED, 10.1), [UNKNOWN])

    def test_an_engine_that_is_still_listed_later_has_survived(self) -> None:
        losses = [self.loss(10.0)]
        late = 10.0 + END_DETECTION_SECONDS + 0.1
        self.assertEqual(self.fates(losses, LISTED, late), [SURVIVED])

    def test_a_view_that_is_not_confirmed_shows_nothing(self) -> None:
        losses = [self.loss(10.0)]
        self.assertEqual(self.fates(losses, STALE, 60.0), [UNKNOWN])
        lapsed = EngineView(current_id="e@1", is_registered=False, is_current=True)
        self.assertEqual(self.fates(losses, lapsed, 60.0), [UNKNOWN])

    def test_an_end_that_is_noticed_in_time_counts(self) -> None:
        losses = [self.loss(10.0)]
        self.ends.record_end("e@1", "e", 13.0)
        self.assertEqual(self.fates(losses, GONE, 13.0), [ENDED])

    def test_an_end_before_the_send_or_long_after_the_loss_does_not_count(self) -> None:
        losses = [self.loss(10.0)]
        self.ends.record_end("e@0", "e", 9.0)
        self.ends.record_end("e@1", "e", 10.0 + END_DETECTION_SECONDS + 0.1)
        self.assertEqual(self.fates(losses, GONE, 30.0), [SURVIVED])

    def test_an_end_in_a_view_that_stood_still_neither_frees_nor_condemns(self) -> None:
        """Guards against engines that count as survivors since a frozen node was late."""
        losses = [self.loss(10.0)]
        self.ends.record_end("e@1", "e", 30.0, unseen_since=9.0)
        self.assertEqual(self.fates(losses, GONE, 30.0), [UNKNOWN])
        self.assertEqual(self.fates(losses, GONE, 50.0), [UNKNOWN])

    def test_an_end_after_a_loss_was_settled_does_not_count(self) -> None:
        losses = [self.loss(10.0)]
        settled_at = 10.0 + END_DETECTION_SECONDS + 0.1
        self.ends.record_end("e@1", "e", 30.0, unseen_since=settled_at)
        self.assertEqual(self.fates(losses, GONE, 30.0), [SURVIVED])

    def test_the_end_of_an_earlier_start_explains_no_loss_at_a_later_one(self) -> None:
        """Guards against a condemnation for an engine that runs on (soak 599869136)."""
        self.ends = EngineEnds(start_of)
        losses = [self.loss(10.0, engine_id="e@2000")]
        self.ends.record_end("e@1000", "e", 10.1, unseen_since=2.0)
        view = msgspec.structs.replace(LISTED, current_id="e@2000")
        self.assertEqual(self.fates(losses, view, 10.3), [UNKNOWN])
        late = 10.0 + END_DETECTION_SECONDS + 0.1
        self.assertEqual(self.fates(losses, view, late), [SURVIVED])

    def test_a_start_that_is_not_in_view_yet_has_not_ended(self) -> None:
        self.ends = EngineEnds(start_of)
        losses = [self.loss(10.0, engine_id="e@2000")]
        view = msgspec.structs.replace(LISTED, current_id="e@1000")
        self.assertEqual(self.fates(losses, view, 10.3), [UNKNOWN])
        later = msgspec.structs.replace(LISTED, current_id="e@3000")
        self.assertEqual(self.fates(losses, later, 10.3), [ENDED])

    def test_one_end_explains_one_of_several_failed_connections(self) -> None:
        losses = [self.loss(10.0), self.loss(10.1, held=0.05)]
        self.ends.record_end("e@1", "e", 11.0)
        self.ends.record_end("e@1", "e", 11.5)
        self.assertEqual(self.fates(losses, GONE, 12.0), [ENDED, UNKNOWN])
        self.assertEqual(self.fates(losses, GONE, 20.0), [ENDED, SURVIVED])

    def test_three_ends_under_one_id_count_three_times(self) -> None:
        """Guards against a node that does not know yet that the engine has started again."""
        losses = [self.loss(10.0), self.loss(11.0), self.loss(12.0)]
        for number, at in enumerate((10.5, 11.5, 12.5), 1):
            self.ends.record_end(f"e@{number}", "e", at)
        view = EngineView(current_id="e@4", is_registered=True, is_current=True)
        self.assertEqual(self.fates(losses, view, 12.5), [ENDED] * 3)

    def test_an_engine_that_ended_before_this_node_started_counts(self) -> None:
        losses = [self.loss(10.0, engine_id="e@1")]
        self.assertEqual(self.fates(losses, GONE, 12.0), [ENDED])
        other = EngineView(current_id="e@2", is_registered=True, is_current=True)
        self.assertEqual(self.fates(losses, other, 12.0), [ENDED])

    def test_an_end_whose_time_is_assumed_explains_a_later_attempt_there(self) -> None:
        """Guards against a survivor by the loss of another request (soak of stopping nodes).

        A node that started since asked an engine for its state, and took the time of an earlier
        loss for that of the end.
        """
        self.ends.record_end("e@1", "e", 100.0, unseen_since=100.0)
        late = self.loss(103.0)
        view = EngineView(current_id="", is_registered=False, is_current=True)
        self.assertEqual(self.fates([late], view, 120.0), [LossFate.SURVIVED])
        self.ends.record_latest("e@1", "e", 120.0)
        self.assertEqual(self.fates([late], view, 120.0), [LossFate.ENDED])

    def test_an_engine_that_answers_as_itself_has_survived(self) -> None:
        losses = [self.loss(10.0), self.loss(10.2)]
        self.ends.record_alive("e@1", 10.1)
        self.assertEqual(self.fates(losses, LISTED, 10.3), [SURVIVED, UNKNOWN])

    def test_an_engine_that_is_listed_again_has_not_ended(self) -> None:
        losses = [self.loss(10.0)]
        self.ends.record_end("e@1", "e", 12.0)
        self.ends.retract_end("e@1", "e")
        self.assertEqual(self.fates(losses, LISTED, 12.5), [UNKNOWN])

    def test_an_entry_that_cannot_be_read_is_no_end(self) -> None:
        losses = [self.loss(10.0)]
        self.ends.record_unlisted("e@1", "e")
        self.assertEqual(self.fates(losses, GONE, 11.0), [UNKNOWN])
        self.ends.record_end("e@1", "e", 12.0)
        self.assertEqual(self.fates(losses, GONE, 12.0), [ENDED])


class AttemptsUnderWay(unittest.TestCase):
    """Attempts that engines may be at work on, whether their connections are there or not."""

    def setUp(self) -> None:
        self.ends = EngineEnds()

    def fate(self, attempt: Loss, now: float, view: EngineView = LISTED) -> LossFate:
        return self.ends.fates([attempt], {"e": view}, now)[attempt.loss_id]

    def attempt(self, stage: AttemptStage, *, address: str = "") -> Loss:
        return Loss(
            loss_id="a",
            engine_id="e@1",
            instance="e",
            sent_at=10.0,
            lost_at=10.5,
            stage=stage,
            work_until=13.0,
            address=address,
        )

    def test_an_engine_that_answers_may_still_end_until_its_time_is_over(self) -> None:
        """Guards against an engine that ends after its caller has left."""
        lost = self.attempt(AttemptStage.LOST)
        self.ends.record_alive("e@1", 11.0)
        self.assertEqual(self.fate(lost, 11.0), UNDER_WAY)
        self.assertEqual(self.fate(lost, 13.5), UNKNOWN)
        self.ends.record_alive("e@1", 13.5)
        self.assertEqual(self.fate(lost, 13.5), SURVIVED)

    def test_an_end_counts_until_it_is_noticed_after_the_work(self) -> None:
        lost = self.attempt(AttemptStage.LOST)
        self.ends.record_end("e@1", "e", 13.0 + END_DETECTION_SECONDS)
        self.assertEqual(self.fate(lost, 20.0, GONE), ENDED)

    def test_an_attempt_at_an_engine_counts_as_lost_once_its_node_has_had_time(self) -> None:
        """Guards against a send that the engine refused since it had ended already."""
        sent = self.attempt(AttemptStage.AT_ENGINE)
        self.ends.record_end("e@1", "e", 11.0)
        self.assertEqual(self.fate(sent, 11.1, GONE), UNKNOWN)
        self.assertEqual(self.fate(sent, 11.0 + OWNER_TELLS_SECONDS, GONE), ENDED)

    def test_a_claim_counts_until_its_time_is_over(self) -> None:
        claim = msgspec.structs.replace(
            self.attempt(AttemptStage.CLAIMED), engine_id="", instance=""
        )
        view = {"": EngineView(current_id="", is_registered=False, is_current=True)}
        self.assertEqual(self.ends.fates([claim], view, 12.0), {"a": UNDER_WAY})
        self.assertEqual(self.ends.fates([claim], view, 13.1), {"a": SURVIVED})

    def test_an_entry_that_has_gone_is_no_end_until_the_engine_was_asked(self) -> None:
        """Guards against an engine that serves on without an entry (soak seed 236538091)."""
        lost = self.attempt(AttemptStage.LOST, address="127.0.0.1:80")
        self.ends.record_lapse("e@1", "e", 12.0)
        self.assertEqual(self.fate(lost, 30.0, GONE), UNKNOWN)
        self.ends.record_end("e@1", "e", 30.0)
        self.assertEqual(self.fate(lost, 30.0, GONE), ENDED)


class Verdicts(unittest.TestCase):
    def test_three_ends_are_the_bound(self) -> None:
        for fates, verdict in (
            ([ENDED], Verdict.RUN),
            ([SURVIVED] * 5, Verdict.RUN),
            ([ENDED, UNKNOWN, SURVIVED], Verdict.ISOLATE),
            ([ENDED, ENDED, UNKNOWN], Verdict.LOOK_UP),
            ([UNKNOWN] * 4, Verdict.LOOK_UP),
            ([ENDED, ENDED, ENDED, UNKNOWN], Verdict.QUARANTINE),
            ([UNDER_WAY] * 5, Verdict.RUN),
            ([ENDED, UNDER_WAY], Verdict.ISOLATE),
            ([ENDED, UNDER_WAY, UNDER_WAY], Verdict.LOOK_UP),
            ([ENDED, ENDED, UNDER_WAY], Verdict.LOOK_UP),
            ([ENDED, SURVIVED, SURVIVED], Verdict.RUN),
        ):
            with self.subTest(fates=fates):
                self.assertIs(verdict_of(fates), verdict)

    def test_engines_that_end_together_delay_the_third_send(self) -> None:
        losses = [
            Loss(loss_id=name, engine_id=name, instance=name, sent_at=9.0, lost_at=10.0)
            for name in ("a", "b")
        ]
        self.assertAlmostEqual(isolation_delay(losses, 0.0, 10.1), ISOLATION_DELAY_SECONDS - 0.1)
        self.assertGreater(isolation_delay(losses, 0.5, 10.1), isolation_delay(losses, 0.0, 10.1))
        self.assertEqual(isolation_delay(losses, 1.0, 11.0), 0.0)

    def test_connections_to_one_engine_that_fail_together_delay_nothing(self) -> None:
        losses = [
            Loss(loss_id=name, engine_id="e", instance="e", sent_at=9.0, lost_at=10.0)
            for name in ("a", "b")
        ]
        self.assertEqual(isolation_delay(losses, 1.0, 10.0), 0.0)


if __name__ == "__main__":
    unittest.main()
