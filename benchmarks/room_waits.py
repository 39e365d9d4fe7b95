"""How long a request waits for room: three ways, on the same arrivals.

``python -m benchmarks.room_waits`` plays a burst of programs against one node and prints for each
way what became of them: worth (1 for a program that ended within the time that it was given, 0.4
within twice that), refusals of first and of later turns, programs lost after they had begun, and
how long turns waited that were then refused.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest.mock import patch

from tests.unit.forwarding.room_replay import Load, Replayed, replay

from yokeline.forwarding import admission, dispatcher, queue_admission
from yokeline.scheduling.retry_delays import RefusedCaller
from yokeline.scheduling.room_waits import PoolRoom, RoomDecision, RoomNeed, decide, longest_wait

LOADS = {
    "calm, .6": Load(load=0.6),
    "burst, .6 x 2.5": Load(load=0.6, burst_factor=2.5, burst_seconds=1.5),
    "burst, .9 x 2.5": Load(load=0.9, burst_factor=2.5, burst_seconds=1.5),
    "overload, 1.5": Load(load=1.5),
    "outage of 1 s, .8": Load(load=0.8, outage_seconds=1.0),
}
SEEDS = range(4)
TARGET_SHARE = 0.25
BEGUN_TARGET_SHARE = 1.0
FIXED_RETURN_SECONDS = 0.3
BEGUN_FIXED_RETURN_SECONDS = 0.1

Decide = Callable[[RoomNeed, PoolRoom], RoomDecision]


def share_of_target(need: RoomNeed, _room: PoolRoom) -> RoomDecision:
    """Let every request wait for a share of its target."""
    share = BEGUN_TARGET_SHARE if need.has_begun else TARGET_SHARE
    max_wait = min(share * need.target_latency, need.time_left)
    return RoomDecision(max_wait=max_wait, expected=0.0, refusal=None)


def slack_alone(need: RoomNeed, _room: PoolRoom) -> RoomDecision:
    """Let every request wait for what it can bear."""
    return RoomDecision(max_wait=longest_wait(need), expected=0.0, refusal=None)


def fixed_return(caller: RefusedCaller, _expected_wait: float) -> float:
    """Let all callers return after the same time."""
    return BEGUN_FIXED_RETURN_SECONDS if caller.has_begun else FIXED_RETURN_SECONDS


@contextmanager
def share_of_target_way() -> Iterator[None]:
    """Decide by a share of the target, and return after a fixed time."""
    with (
        patch.object(queue_admission, "decide", share_of_target),
        patch.object(queue_admission, "is_hopeless", lambda _still, _expected: False),
        patch.object(dispatcher, "retry_delay", fixed_return),
        patch.object(admission, "retry_delay_after_outage", lambda _caller: FIXED_RETURN_SECONDS),
    ):
        yield


@contextmanager
def slack_way() -> Iterator[None]:
    """Decide by the slack alone."""
    with (
        patch.object(queue_admission, "decide", slack_alone),
        patch.object(queue_admission, "is_hopeless", lambda _still, _expected: False),
    ):
        yield


@contextmanager
def slack_and_wait_way() -> Iterator[None]:
    """Decide by the slack and the expected wait."""
    with patch.object(queue_admission, "decide", decide):
        yield


WAYS = {
    "share of the target": share_of_target_way,
    "slack alone": slack_way,
    "slack and expected wait": slack_and_wait_way,
}


def _row(name: str, load: str, results: list[Replayed]) -> str:
    programs = sum(item.programs for item in results)
    worth = statistics.fmean(item.worth for item in results)
    in_time = sum(item.in_time for item in results) / programs
    first = sum(item.refused_first for item in results)
    begun = sum(item.refused_begun for item in results)
    lost = sum(item.lost_begun for item in results)
    waits = sum(item.lost_waits for item in results) / max(1, first + begun)
    return (
        f"{name:24} {load:17} {programs:8} {worth:6.3f} {in_time:7.3f} {first:9} {begun:9} "
        f"{lost:9} {waits:9.3f}"
    )


def main() -> None:
    """Print the table."""
    print(
        "way                      load              programs  worth in time  first 503  later 503 "
        "lost begun  waited s"
    )
    for load_name, load in LOADS.items():
        for name, way in WAYS.items():
            with way():
                results = [replay(seed, load) for seed in SEEDS]
            print(_row(name, load_name, results))


if __name__ == "__main__":
    main()
