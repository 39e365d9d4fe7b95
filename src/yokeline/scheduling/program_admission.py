"""Whether a tenant's limit carries one more program to its end.

The load it answers: a tenant that asks for more than its limit. Let in one by one, its requests are
spread over many programs, of which few end. So a program that begins holds a claim on the limit for
all that it is expected to ask for, and a new one begins only if the limit carries it beside them.

A claim falls due evenly, at the pace of its kind. For every time from now on, what has fallen due
until then may be no more than what the bucket holds and what will have come into it.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable

import msgspec

from yokeline.scheduling.program_sizes import ProgramSize

STD_DEVIATIONS_PER_MEAN_DEVIATION = 1.25
"""Standard deviations per mean deviation (of a normal distribution): the claims together exceed
what is expected by more than that in one case of six."""
BISECTION_STEPS = 8
"""Halvings in the search for the time of return: to 1 part in 256 of the longest one."""


class Supply(msgspec.Struct, frozen=True, kw_only=True):
    """What a tenant may ask for.

    Attributes:
        level: Requests that its bucket holds now.
        rate: Requests a second that come into it.
    """

    level: float
    rate: float


class Claims(msgspec.Struct, frozen=True, kw_only=True):
    """Claims of equal programs: of one kind, and equally far.

    Attributes:
        count: Number of the programs.
        requests: Requests that each of them is expected still to send.
        seconds: Time within which each is expected to send them.
        deviation: Mean deviation of ``requests``.
    """

    count: int
    requests: float
    seconds: float
    deviation: float


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """What was decided on a new program, and from what.

    Attributes:
        is_let_in: It may begin.
        retry_after: Otherwise, seconds until it could if nothing else comes; 0 if it may.
        programs: Programs that hold claims.
        claimed: Requests that they are expected to ask for.
        margin: Requests by which the claims may exceed what is expected.
        cannot_end_in_time: Too little of its time is left, and it leaves what there is to those
            that can.
    """

    is_let_in: bool
    retry_after: float
    programs: int
    claimed: float
    margin: float
    cannot_end_in_time: bool = False


def claims_of(size: ProgramSize, used: int, count: int) -> Claims | None:
    """Return the claims of programs that have sent ``used`` requests; None if they have none.

    One that asks for more than expected goes on to claim what programs deviate by, until it has
    asked for so much that it loops.
    """
    if used > size.max_requests:
        return None
    requests = max(size.requests - used, size.deviation)
    if requests <= 0:
        return None
    return Claims(
        count=count,
        requests=requests,
        seconds=requests / size.rate,
        deviation=size.deviation,
    )


def decide(supply: Supply, claims: Iterable[Claims], size: ProgramSize) -> Admission:
    """Decide whether a new program may begin.

    One whose tenant has no other program under way may, however large it is: it could not later.
    """
    held = list(claims)
    claimed = sum(item.count * item.requests for item in held)
    total = claimed + size.requests
    margin = _margin(sum(item.count * item.deviation**2 for item in held) + size.deviation**2)
    retry_after = 0.0
    if held and total + margin > supply.level:
        upper_bound = (total + margin - supply.level) / supply.rate
        retry_after = _earliest_start(_Slack(supply, held, size), size, upper_bound)
    return Admission(
        is_let_in=retry_after <= 0.0,
        retry_after=retry_after,
        programs=sum(item.count for item in held),
        claimed=claimed,
        margin=margin,
    )


def _margin(variance: float) -> float:
    """Return by how much claims may exceed what is expected; errors of many partly cancel out."""
    return STD_DEVIATIONS_PER_MEAN_DEVIATION * math.sqrt(variance)


class _Slack:
    """What a supply leaves to a new program at each time, beside the claims that are held.

    It is worked out where claims end. Between two ends it is taken as linear; the margin grows
    ever more slowly there, so it is a little less than that.
    """

    def __init__(self, supply: Supply, claims: list[Claims], new: ProgramSize) -> None:
        due_rate = sum(item.count * item.requests / item.seconds for item in claims)
        variance_rate = sum(item.count * item.deviation**2 / item.seconds for item in claims)
        time, due, variance = 0.0, 0.0, new.deviation**2
        self._rate = supply.rate
        self.times = [time]
        self.requests = [supply.level - _margin(variance)]
        for item in sorted(claims, key=lambda item: item.seconds):
            elapsed = item.seconds - time
            time = item.seconds
            due += due_rate * elapsed
            variance += variance_rate * elapsed
            due_rate -= item.count * item.requests / time
            variance_rate -= item.count * item.deviation**2 / time
            self.times.append(time)
            self.requests.append(supply.level + supply.rate * time - due - _margin(variance))

    def value_at(self, time: float) -> float:
        """Return the slack at a time."""
        next_index = bisect_right(self.times, time)
        start, slack = self.times[next_index - 1], self.requests[next_index - 1]
        if next_index == len(self.times):
            return slack + self._rate * (time - start)
        fraction = (time - start) / (self.times[next_index] - start)
        return slack + fraction * (self.requests[next_index] - slack)

    def can_start_at(self, new: ProgramSize, start: float) -> bool:
        """Return whether a program that begins at a time has what it asks for at each moment."""
        if self.value_at(start) < 0 or self.value_at(start + new.seconds) < new.requests:
            return False
        first = bisect_right(self.times, start)
        ends = zip(self.times[first:], self.requests[first:], strict=True)
        return all(
            new.requests <= slack or new.rate * (time - start) <= slack for time, slack in ends
        )


def _earliest_start(slack: _Slack, new: ProgramSize, upper_bound: float) -> float:
    """Return the seconds after which a new program can begin; 0 if it can now.

    Args:
        slack: What is left to it.
        new: Its size.
        upper_bound: Seconds after which there is room in any case.
    """
    if slack.can_start_at(new, 0.0):
        return 0.0
    low, high = 0.0, upper_bound
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if slack.can_start_at(new, middle):
            high = middle
        else:
            low = middle
    return high
