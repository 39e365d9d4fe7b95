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

ERROR_MULTIPLE = 1.25
"""Standard deviations per mean deviation (of a normal distribution): the claims together exceed
what is expected by more than that in one case of six."""
TIME_STEPS = 8
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
    if used > size.most_requests:
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
        most_wait = (total + margin - supply.level) / supply.rate
        retry_after = _earliest(_Slack(supply, held, size), size, most_wait)
    return Admission(
        is_let_in=retry_after <= 0.0,
        retry_after=retry_after,
        programs=sum(item.count for item in held),
        claimed=claimed,
        margin=margin,
    )


def _margin(variance: float) -> float:
    """Return by how much claims may exceed what is expected; errors of many partly cancel out."""
    return ERROR_MULTIPLE * math.sqrt(variance)


class _Slack:
    """What a supply leaves to a new program at each time, beside the claims that are held.

    It is worked out where claims end. Between two ends it is taken as linear; the margin grows
    ever more slowly there, so it is a little less than that.
    """

    def __init__(self, supply: Supply, claims: list[Claims], new: ProgramSize) -> None:
        pace = sum(item.count * item.requests / item.seconds for item in claims)
        spread = sum(item.count * item.deviation**2 / item.seconds for item in claims)
        at, due, variance = 0.0, 0.0, new.deviation**2
        self._rate = supply.rate
        self.times = [at]
        self.requests = [supply.level - _margin(variance)]
        for item in sorted(claims, key=lambda item: item.seconds):
            passed = item.seconds - at
            at = item.seconds
            due += pace * passed
            variance += spread * passed
            pace -= item.count * item.requests / at
            spread -= item.count * item.deviation**2 / at
            self.times.append(at)
            self.requests.append(supply.level + supply.rate * at - due - _margin(variance))

    def at(self, time: float) -> float:
        """Return the slack at a time."""
        after = bisect_right(self.times, time)
        begin, slack = self.times[after - 1], self.requests[after - 1]
        if after == len(self.times):
            return slack + self._rate * (time - begin)
        share = (time - begin) / (self.times[after] - begin)
        return slack + share * (self.requests[after] - slack)

    def carries(self, new: ProgramSize, begin: float) -> bool:
        """Return whether a program that begins at a time has what it asks for at each moment."""
        if self.at(begin) < 0 or self.at(begin + new.seconds) < new.requests:
            return False
        first = bisect_right(self.times, begin)
        ends = zip(self.times[first:], self.requests[first:], strict=True)
        return all(
            new.requests <= slack or new.rate * (time - begin) <= slack for time, slack in ends
        )


def _earliest(slack: _Slack, new: ProgramSize, most: float) -> float:
    """Return the seconds after which a new program can begin; 0 if it can now.

    Args:
        slack: What is left to it.
        new: Its size.
        most: Seconds after which there is room in any case.
    """
    if slack.carries(new, 0.0):
        return 0.0
    too_early, early_enough = 0.0, most
    for _ in range(TIME_STEPS):
        middle = (too_early + early_enough) / 2
        if slack.carries(new, middle):
            early_enough = middle
        else:
            too_early = middle
    return early_enough
