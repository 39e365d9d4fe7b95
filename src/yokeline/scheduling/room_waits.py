"""Whether a request waits for an engine with room, and for how long, or is refused at once.

The load it answers: a pool whose places are all taken. A caller that waits without being served
has lost that time, and one that is refused too soon loses a place that was about to be free. So a
request waits if a place is likely to be free within the time that it can bear, and is refused at
once if not.
"""

from __future__ import annotations

import enum

import msgspec

STANDALONE_WAIT_SHARE = 0.25
"""Share of the target latency for which a request without a program waits: the rest is for its
answer, which is of full worth within the target only."""
STANDALONE_BEGUN_WAIT_SHARE = 1.0
"""The same for one that continues an earlier turn, which is of little use without it."""
MAX_SLACK_SHARE = 0.5
"""Share of a program's slack that its first turn may wait: its later turns meet the same load, and
need the rest."""
EXPECTED_WAIT_SHARE = 0.6
"""A first turn waits if a place is expected within this share of what it bears: an expectation errs
both ways, and a wait that ends without a place has cost its caller that time."""
HOPELESS_FACTOR = 2.0
"""A wait ends early if the expected one exceeds what is left of it by this factor. The estimate
moves by about as much while turns of different lengths end, and what was waited would be lost."""


class RoomRefusal(enum.Enum):
    """Why a request was refused for want of room."""

    EXPECTED_WAIT = "expected_wait"
    """A place is likely to be free later than it can bear."""
    WAITED = "waited"
    """It has waited for as long as it can bear."""
    HOPELESS = "hopeless"
    """While it waited, the expected wait grew far beyond what it can bear."""
    QUEUE_FULL = "queue_full"
    """More urgent ones fill the queue."""
    NO_TIME = "no_time"
    """Too little of its own time is left to be served."""
    NO_ENGINE_LEFT = "no_engine_left"
    """No engine may take it, or those that were asked refused it."""


class RoomNeed(msgspec.Struct, frozen=True, kw_only=True):
    """What a request needs, and what it can bear.

    Attributes:
        time_left: Seconds until it must have its final answer.
        own_seconds: Seconds that it is likely to take once it has a place.
        target_latency: Seconds within which its answer is of full worth.
        has_program: It belongs to a program.
        program_left: Seconds until its program should be over; None if that is not said.
        program_share: Share of that time which programs of its kind take.
        has_begun: Its program has had a turn before, or it is a call from within a program.
        is_interrupted: Its caller is already reading a stream that broke off.
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
    """What is known of a pool without room.

    Attributes:
        places: Requests that its engines work on together.
        ahead: Requests that go before this one, at all nodes.
        excess: Requests that have to leave their engines before those may get a place.
        place_seconds: Seconds for which a request keeps a place; None if not known.
        share: Share of the places that come free which requests of its standing get; turns of
            begun programs that arrive later take the others.
        error_ratio: By which factor waits were longer than expected lately.
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
        until: When it is refused at the latest (monotonic seconds).
        expected: Seconds until a place is likely to be free, at the latest look.
        first_expected: The same when the wait began, before it was corrected.
        bears: Seconds that it could bear when the wait began.
    """

    until: float
    expected: float
    first_expected: float
    bears: float


class RoomDecision(msgspec.Struct, frozen=True, kw_only=True):
    """What a request without a place is to do.

    Attributes:
        bears: Seconds that it can wait.
        expected: Seconds until a place is likely to be free; 0 if not known.
        refusal: Why it is refused at once; None if it waits.
    """

    bears: float
    expected: float
    refusal: RoomRefusal | None


def decide(need: RoomNeed, room: PoolRoom) -> RoomDecision:
    """Decide whether a request waits.

    A request without a program waits for its share of the target in any case, and a stream that
    broke off for as long as its caller does.
    """
    max_wait = longest_wait(need)
    expected = expected_wait(room)
    has_limit = need.has_program and not need.is_interrupted
    limit = max_wait if need.has_begun else EXPECTED_WAIT_SHARE * max_wait
    is_refused = has_limit and (expected > limit or max_wait <= 0)
    refusal = RoomRefusal.EXPECTED_WAIT if is_refused else None
    return RoomDecision(bears=max_wait, expected=expected, refusal=refusal)


def longest_wait(need: RoomNeed) -> float:
    """Return for how many seconds a request can wait for a place.

    The first turn of a program bears its share of what the program does not take of its time; if
    it is late already, it gets a place that is free, but waits for none. A turn or call of a begun
    program, also of a late one, bears all its time but that of its own service, since what the
    program has used would be lost. A request without a program, or one that begins a program of
    which no time is said, waits for a share of its target.
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
    """Return in how many seconds a place is likely to be free; 0 if that is not known."""
    if room.place_seconds is None or room.places <= 0:
        return 0.0
    places_needed = room.excess + (room.ahead + 1.0) / room.share
    return room.error_ratio * places_needed * room.place_seconds / room.places


def is_hopeless(bears_still: float, expected: float) -> bool:
    """Return whether a wait is to end before its limit.

    Args:
        bears_still: Seconds that are left of it.
        expected: Seconds until a place is likely to be free, as it looks now.
    """
    return expected > HOPELESS_FACTOR * max(0.0, bears_still)
