"""Model engines of the soak that break streams off, in every way that a caller can tell."""

from __future__ import annotations

from collections import Counter

from tests.processes.platform.deployment import Deployment
from tests.processes.platform.stand_ins import BROKE_OFF
from tests.processes.platform.streams import EVENTS
from tests.processes.platform.wire import AnswerEnd, draw_break_off
from tests.soak.operators import Operator


class StreamBreaker(Operator):
    """Lets one model engine after the other break off one of its next streams."""

    name = "breaks"
    longest_pause_seconds = 0.6

    def act(self) -> None:
        """Let an engine break a stream off, unless it is still to break off another one."""
        model = self.random.choice(self.deployment.models)
        break_off = draw_break_off(self.random)
        after = self.random.randrange(EVENTS)
        if model.break_after is None:
            model.break_off = break_off
            model.break_after = after


def breaks_by_end(deployment: Deployment) -> Counter[str]:
    """Return how many streams engines broke off, by framing and end."""
    return Counter(
        f"broke off {span.shape.framing.value} {span.break_off.end.value}"
        for model in deployment.models
        for span in model.spans
        if span.how == BROKE_OFF and span.break_off is not None
    )


def truncations(outcomes: dict[str, int]) -> int:
    """Return how many streams ended as if they were whole, of :func:`breaks_by_end`."""
    return sum(
        count
        for name, count in outcomes.items()
        if name.startswith("broke off") and name.endswith(AnswerEnd.ORDERLY.value)
    )
