"""Whether a request waits for a free slot, and for how long, or is refused immediately.

A request that waits in vain has lost that time, and one refused too early loses a slot that was
about to become free. So a request waits only if a slot is expected to be free within its longest
acceptable wait, or for a first turn within a share of it. Room means free request slots.
"""

from __future__ import annotations

import enum

import msgspec

STANDALONE_WAIT_SHARE = 0.25
"""Longest wait of a request without a program, as a share of its target latency. The rest is for
its answer, which has its full value within the target only."""
STANDALONE_BEGUN_WAIT_SHARE = 1.0
"""Longest wait, as a share of the target latency, of a request that continues an earlier turn but
has no program."""
MAX_SLACK_SHARE = 0.5
"""Share of a program's slack that its first turn may wait; its later turns need the rest."""
EXPECTED_WAIT_SHARE = 0.6
"""A first turn waits if the expected wait is within this share of its longest wait, since the
expectation may be too low."""
HOPELESS_FACTOR = 2.0
"""A wait is aborted if the expected wait exceeds this multiple of the remaining longest wait. The
estimate varies by about as much while turns of different lengths end, and the time waited would be
lost."""


class RoomRefusal(enum.Enum):
    """Why a request was refused for lack of capacity."""

    EXPECTED_WAIT = "expected_wait"
    """The expected wait exceeds the limit: the longest wait, or for a first turn
    :data:`EXPECTED_WAIT_SHARE` of it. Also if the request may not wait at all."""
    WAITED = "waited"
    """Its longest wait has passed."""
    HOPELESS = "hopeless"
    """The expected wait grew far beyond its remaining wait."""
    QUEUE_FULL = "queue_full"
    """The queue is full of more urgent requests."""
    NO_TIME = "no_time"
    """Too little time is left to serve it."""
    NO_ENGINE_LEFT = "no_engine_left"
    """No engine may serve it, or all those that were tried refused it."""
    NO_ELIGIBLE_ENGINE = "no_eligible_engine"
    """Evacuated zones or allowed regions leave no engine that it may be sent to."""


class RoomNeed(msgspec.Struct, frozen=True, kw_only=True):
    """What a request needs, and the limits of its wait.

    Attributes:
        time_left: Seconds until it must have its final answer.
        own_seconds: Seconds that it is expected to take at an engine.
        target_latency: Seconds within which its answer has its full value.
        has_program: It belongs to a program.
        program_left: Seconds until the deadline of its program; None without one.
        program_share: Share of their time limit that programs of its kind take.
        has_begun: Its program has had a turn before, or it is a call from within a program.
        is_interrupted: Its caller has already received part of a stream that broke off.
    """

    time_left: float
    own_seconds: float
    target_latency: float
    has_program: bool
    program_left: float | None
    program_share: float
    has_begun: bool
    is_interrupted: bool = False


class PoolRoom(msgspec.Struct, frozen=True, kw_only=True):
    """State of a pool without a free slot.

    Attributes:
        places: Requests that the pool's engines serve concurrently.
        ahead: Requests before this one in the queues of all nodes.
        excess: Requests that must leave the engines before a queued request gets a slot.
        place_seconds: Mean time that a request occupies a slot; None if unknown.
        share: Share of the freed slots that the queue gets: 1 for later turns of programs, and for
            first turns the share that later turns leave over.
        error_ratio: Recent ratio of actual to expected waits.
    """

    places: int
    ahead: float
    place_seconds: float | None
    share: float = 1.0
    excess: int = 0
    error_ratio: float = 1.0


class RoomWait(msgspec.Struct, kw_only=True):
    """The wait of a request.

    Attributes:
        until: When the request is refused at the latest (monotonic seconds).
        expected: Seconds until a slot is expected to be free, by the latest estimate.
        first_expected: The first estimate, without the correction by ``error_ratio``.
        max_wait: Longest time in seconds that the request may wait.
    """

    until: float
    expected: float
    first_expected: float
    max_wait: float


class RoomDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a request without a slot waits.

    Attributes:
        max_wait: Longest time in seconds that the request may wait.
        expected: Seconds until a slot is expected to be free; 0 if unknown.
        refusal: Why it is refused immediately; None if it waits.
    """

    max_wait: float
    expected: float
    refusal: RoomRefusal | None


def decide(need: RoomNeed, room: PoolRoom) -> RoomDecision:
    """Decide whether a request waits.

    It is refused if the expected wait exceeds its longest wait or, for a first turn,
    :data:`EXPECTED_WAIT_SHARE` of its longest wait, and if it may not wait at all. Requests without
    a program and interrupted streams wait regardless of the expected wait.
    """
    max_wait = longest_wait(need)
    expected = expected_wait(room)
    is_refusable = need.has_program and not need.is_interrupted
    limit = max_wait if need.has_begun else EXPECTED_WAIT_SHARE * max_wait
    is_refused = is_refusable and (expected > limit or max_wait <= 0)
    refusal = RoomRefusal.EXPECTED_WAIT if is_refused else None
    return RoomDecision(max_wait=max_wait, expected=expected, refusal=refusal)


def longest_wait(need: RoomNeed) -> float:
    """Return the longest time in seconds that a request may wait for a slot.

    An interrupted stream may wait for all the time its caller has left. A request without a
    program, or the first turn of a program without a deadline, may wait for a share of its target
    latency. A later turn or a call of a program may wait for all of its remaining time except its
    own service, even past the program's deadline, since the program's work would be lost. A first
    turn may wait for a share of the program's slack, and not at all past its deadline.
    """
    if need.is_interrupted:
        return max(0.0, need.time_left)
    if not need.has_program or (need.program_left is None and not need.has_begun):
        share = STANDALONE_BEGUN_WAIT_SHARE if need.has_begun else STANDALONE_WAIT_SHARE
        return max(0.0, min(share * need.target_latency, need.time_left))
    time_for_wait = max(0.0, need.time_left - need.own_seconds)
    if need.has_begun or need.program_left is None:
        return time_for_wait
    slack = need.program_left * (1.0 - need.program_share)
    return max(0.0, min(MAX_SLACK_SHARE * slack, time_for_wait))


def expected_wait(room: PoolRoom) -> float:
    """Return the seconds until a slot is expected to be free; 0 if unknown."""
    if room.place_seconds is None or room.places <= 0:
        return 0.0
    places_needed = room.excess + (room.ahead + 1.0) / room.share
    return room.error_ratio * places_needed * room.place_seconds / room.places


def is_hopeless(max_wait_left: float, expected: float) -> bool:
    """Return whether a wait is to be aborted.

    Args:
        max_wait_left: Seconds that are left of the wait.
        expected: Seconds until a slot is expected to be free.
    """
    return expected > HOPELESS_FACTOR * max(0.0, max_wait_left)
