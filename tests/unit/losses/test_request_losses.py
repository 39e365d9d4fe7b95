"""How attempts of a request that strangers may send are judged together."""

from __future__ import annotations

import unittest

from yokeline.losses.attempt_stages import AttemptStage
from yokeline.losses.engine_fates import Loss, LossFate, Verdict
from yokeline.losses.request_losses import judge_shared


def loss(prior: int, stage: AttemptStage = AttemptStage.LOST) -> Loss:
    name = f"e-{prior}"
    return Loss(
        loss_id=name,
        engine_id=name,
        instance=name,
        sent_at=prior,
        lost_at=prior + 0.1,
        stage=stage,
        prior=prior,
    )


class SharedRequests(unittest.TestCase):
    def judge(self, *fates: LossFate) -> Verdict:
        losses = [loss(prior) for prior in range(len(fates))]
        found = {item.loss_id: fate for item, fate in zip(losses, fates, strict=True)}
        return judge_shared(losses, found).verdict

    def test_an_engine_that_runs_on_after_a_loss_counts_while_it_may_end(self) -> None:
        """Guards against a fourth engine after one that was late and answered (soak 344818534)."""
        verdict = self.judge(LossFate.UNDER_WAY, LossFate.ENDED, LossFate.UNKNOWN)
        self.assertIs(verdict, Verdict.LOOK_UP)

    def test_late_engines_that_all_run_on_hold_nobody_up(self) -> None:
        """Guards against refusals of a call that engines answer, beside calls that are late."""
        self.assertIs(self.judge(*[LossFate.UNDER_WAY] * 3), Verdict.RUN)

    def test_engines_that_have_survived_do_not_count(self) -> None:
        self.assertIs(
            self.judge(LossFate.SURVIVED, LossFate.ENDED, LossFate.UNKNOWN), Verdict.ISOLATE
        )

    def test_attempts_of_strangers_under_way_hold_nobody_up_before_the_last_generation(
        self,
    ) -> None:
        claims = [loss(0), *(loss(number, AttemptStage.AT_ENGINE) for number in range(1, 6))]
        fates = {item.loss_id: LossFate.UNDER_WAY for item in claims}
        fates[claims[0].loss_id] = LossFate.ENDED
        self.assertIs(judge_shared(claims, fates).verdict, Verdict.RUN)


if __name__ == "__main__":
    unittest.main()
