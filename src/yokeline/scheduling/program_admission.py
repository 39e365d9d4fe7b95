"""Admission of programs to a tenant's rate limit.

Without admission, a tenant beyond its limit would have many programs in progress and complete few.
So a program that begins holds a claim on the limit for all requests it is expected to send, and a
new program begins only if the limit covers its requests beside the existing claims.

Claims fall due evenly over the expected duration. At every future time, the requests due by then
must not exceed the level of the token bucket plus its refill.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable

import msgspec

from yokeline.scheduling.program_sizes import ProgramSize

STD_DEVIATIONS_PER_MEAN_DEVIATION = 1.25
"""Standard deviations per mean deviation of a normal distribution. The margin is one standard
deviation of the sum of the claims."""
BISECTION_STEPS = 8
"""Halvings in the search for the earliest start. The result is exact to 1 part in 256 of the
longest delay."""


class BucketState(msgspec.Struct, frozen=True, kw_only=True):
    """State of a tenant's token bucket.

    Attributes:
        level: Requests available now.
        rate: Refill in requests per second.
    """

    level: float
    rate: float


class Claims(msgspec.Struct, frozen=True, kw_only=True):
    """Claims of programs of one kind that have sent the same number of requests.

    Attributes:
        count: Number of the programs.
        requests: Requests that each of them is still expected to send.
        seconds: Time within which each is expected to send them.
        deviation: Mean deviation of ``requests``.
    """

    count: int
    requests: float
    seconds: float
    deviation: float


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """The decision on a new program, and its inputs.

    Attributes:
        is_admitted: Whether it may begin.
        retry_after: Seconds until it could begin if no other program did before; 0 if it may now.
        programs: Programs that hold claims.
        claimed: Requests that they are expected to send.
        margin: Requests by which the claims may exceed the expected number.
        cannot_end_in_time: Whether it was refused because too little of its time limit is left.
    """

    is_admitted: bool
    retry_after: float
    programs: int
    claimed: float
    margin: float
    cannot_end_in_time: bool = False


def claims_of(size: ProgramSize, used: int, count: int) -> Claims | None:
    """Return the claims of programs that have sent ``used`` requests; None if they have none.

    A program that sends more than expected claims the mean deviation, until it exceeds
    ``max_requests`` of its kind.
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


def decide(bucket: BucketState, claims: Iterable[Claims], size: ProgramSize) -> Admission:
    """Decide whether a new program may begin.

    A tenant's only program may begin regardless of its size, since waiting would not help it.
    """
    held = list(claims)
    claimed = sum(item.count * item.requests for item in held)
    total = claimed + size.requests
    margin = _margin(sum(item.count * item.deviation**2 for item in held) + size.deviation**2)
    retry_after = 0.0
    if held and total + margin > bucket.level:
        upper_bound = (total + margin - bucket.level) / bucket.rate
        retry_after = _earliest_start(_Slack(bucket, held, size), size, upper_bound)
    return Admission(
        is_admitted=retry_after <= 0.0,
        retry_after=retry_after,
        programs=sum(item.count for item in held),
        claimed=claimed,
        margin=margin,
    )


def _margin(variance: float) -> float:
    """Return the safety margin of the claims; independent deviations partly cancel out."""
    return STD_DEVIATIONS_PER_MEAN_DEVIATION * math.sqrt(variance)


class _Slack:
    """Requests that the bucket leaves to a new program over time, after the existing claims.

    The slack is computed where claims end and interpolated linearly between. That overestimates it
    slightly, since the margin is a concave function of time.
    """

    def __init__(self, bucket: BucketState, claims: list[Claims], new: ProgramSize) -> None:
        due_rate = sum(item.count * item.requests / item.seconds for item in claims)
        variance_rate = sum(item.count * item.deviation**2 / item.seconds for item in claims)
        time, due, variance = 0.0, 0.0, new.deviation**2
        self._rate = bucket.rate
        self.times = [time]
        self.requests = [bucket.level - _margin(variance)]
        for item in sorted(claims, key=lambda item: item.seconds):
            elapsed = item.seconds - time
            time = item.seconds
            due += due_rate * elapsed
            variance += variance_rate * elapsed
            due_rate -= item.count * item.requests / time
            variance_rate -= item.count * item.deviation**2 / time
            self.times.append(time)
            self.requests.append(bucket.level + bucket.rate * time - due - _margin(variance))

    def value_at(self, time: float) -> float:
        """Return the slack at a time."""
        next_index = bisect_right(self.times, time)
        start, slack = self.times[next_index - 1], self.requests[next_index - 1]
        if next_index == len(self.times):
            return slack + self._rate * (time - start)
        fraction = (time - start) / (self.times[next_index] - start)
        return slack + fraction * (self.requests[next_index] - slack)

    def can_start_at(self, new: ProgramSize, start: float) -> bool:
        """Return whether the slack covers a program that begins at ``start`` throughout its run."""
        if self.value_at(start) < 0 or self.value_at(start + new.seconds) < new.requests:
            return False
        first = bisect_right(self.times, start)
        ends = zip(self.times[first:], self.requests[first:], strict=True)
        return all(
            new.requests <= slack or new.rate * (time - start) <= slack for time, slack in ends
        )


def _earliest_start(slack: _Slack, new: ProgramSize, upper_bound: float) -> float:
    """Return the seconds after which a new program can begin; 0 if it can begin now.

    Args:
        slack: The slack left to it.
        new: Its size.
        upper_bound: Seconds after which it can begin in any case.
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
