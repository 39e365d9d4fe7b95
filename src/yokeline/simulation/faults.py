"""Kinds of faults, and the schedule of a seed."""

from __future__ import annotations

import enum
import random

import msgspec


class FaultKind(enum.Enum):
    """What can be made to fail; the value is the name in ``--faults``."""

    CRASH = "crash"
    """A node's process dies and starts again empty."""
    DOUBLE_CRASH = "double_crash"
    """Two nodes die at about the same time."""
    FREEZE = "freeze"
    """A node stops and goes on later, perhaps between an event and its effects."""
    CUT = "cut"
    """A node is cut off from all other machines."""
    ONE_WAY_CUT = "one_way_cut"
    """What a node sends reaches nobody, or what others send does not reach it."""
    ZONE_CUT = "zone_cut"
    """The nodes of one zone are cut off from the other zones."""
    LOSS = "loss"
    """Packets are lost, doubled and reordered everywhere."""
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOST_ANSWER = "store_lost_answer"
    """Writes take effect, and their answers are lost."""
    LIST_DOWN = "list_down"
    ENGINE_CRASH = "engine_crash"
    ENGINE_HANG = "engine_hang"
    TOOL_HANG = "tool_hang"
    TOOL_CRASH = "tool_crash"
    APP_HANG = "app_hang"
    APP_CRASH = "app_crash"
    BACKEND_ERRORS = "backend_errors"
    """Apps and tools answer with errors, lose answers after the effect, or hang."""
    LEAVING = "leaving"
    """An engine is marked as leaving in the machine list."""
    DRAIN = "drain"
    """A planned stop of a node, and a new start after it."""


class FaultEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of a schedule.

    Attributes:
        at: Virtual seconds.
        seconds: Until it is healed (for a crash: until the restart).
        target: Number of the target among its kind, from 0; taken modulo their count.
        variant: Further choice of the kind, 0 or 1.
    """

    kind: FaultKind
    at: float
    seconds: float
    target: int
    variant: int

    def line(self) -> str:
        """Return the fault as one line for people."""
        return (
            f"{self.at:6.2f} s {self.kind.value} target {self.target} "
            f"for {self.seconds:.2f} s variant {self.variant}"
        )


DURATIONS: dict[FaultKind, tuple[float, float]] = {
    FaultKind.CRASH: (0.5, 6.0),
    FaultKind.DOUBLE_CRASH: (0.5, 6.0),
    FaultKind.FREEZE: (0.5, 9.0),
    FaultKind.CUT: (1.0, 8.0),
    FaultKind.ONE_WAY_CUT: (1.0, 8.0),
    FaultKind.ZONE_CUT: (1.0, 8.0),
    FaultKind.LOSS: (3.0, 10.0),
    FaultKind.STORE_DOWN: (5.0, 25.0),
    FaultKind.STORE_SLOW: (5.0, 20.0),
    FaultKind.STORE_LOST_ANSWER: (1.0, 6.0),
    FaultKind.LIST_DOWN: (5.0, 20.0),
    FaultKind.ENGINE_CRASH: (0.5, 8.0),
    FaultKind.ENGINE_HANG: (1.0, 10.0),
    FaultKind.TOOL_HANG: (1.0, 10.0),
    FaultKind.TOOL_CRASH: (0.5, 4.0),
    FaultKind.APP_HANG: (1.0, 10.0),
    FaultKind.APP_CRASH: (0.5, 4.0),
    FaultKind.BACKEND_ERRORS: (2.0, 8.0),
    FaultKind.LEAVING: (15.0, 30.0),
    FaultKind.DRAIN: (20.0, 20.0),
}
"""Bounds of the time from a fault to its end."""

MEMORY_LOSING = frozenset({FaultKind.CRASH, FaultKind.DOUBLE_CRASH, FaultKind.DRAIN})
"""Kinds that lose the memory of nodes: no more of them than the copies outlive."""
REPAIR_SECONDS = 14.0
"""Time after a loss of memory in which no further one is injected."""
STORE_FAULTS = frozenset({FaultKind.STORE_DOWN, FaultKind.STORE_SLOW, FaultKind.STORE_LOST_ANSWER})
GLOBAL_FAULTS = STORE_FAULTS | {FaultKind.LOSS, FaultKind.LIST_DOWN}
"""Kinds with a single target."""
ONE_AT_A_TIME = frozenset({FaultKind.LEAVING, FaultKind.LOSS, FaultKind.LIST_DOWN})
NODE_FAULTS = frozenset(
    {
        FaultKind.CRASH,
        FaultKind.DOUBLE_CRASH,
        FaultKind.FREEZE,
        FaultKind.CUT,
        FaultKind.ONE_WAY_CUT,
        FaultKind.ZONE_CUT,
    }
)
TARGETS = 64
"""Targets are drawn below this and taken modulo their true number."""
FAULTS_PER_SEED = (5, 10)
DEFAULT_FAULTS = tuple(FaultKind)


def parse_faults(text: str) -> tuple[FaultKind, ...]:
    """Return the kinds in a comma-separated list; empty text means all, ``none`` none.

    Raises:
        ValueError: A name is not known; the message lists the known ones.
    """
    if not text:
        return DEFAULT_FAULTS
    if text == "none":
        return ()
    known = {kind.value: kind for kind in FaultKind}
    kinds = []
    for name in text.split(","):
        if name.strip() not in known:
            raise ValueError(f"no fault {name.strip()!r}; use some of {', '.join(known)}")
        kinds.append(known[name.strip()])
    return tuple(kinds)


def make_schedule(
    kinds: tuple[FaultKind, ...], start: float, end: float, source: random.Random
) -> list[FaultEvent]:
    """Return the faults of one seed, in order of time, all healed by ``end``.

    Losses of memory keep a distance, since five copies outlive two losses at a time; faults
    that hit nodes keep clear of planned stops, so that a cut request can be laid at the
    stop's door.
    """
    if not kinds:
        return []
    events: list[FaultEvent] = []
    for _ in range(source.randint(*FAULTS_PER_SEED)):
        event = _draw(source.choice(kinds), start, end, source)
        if all(_compatible(event, other) for other in events):
            events.append(event)
    return sorted(events, key=lambda event: (event.at, event.kind.value, event.target))


def _draw(kind: FaultKind, start: float, end: float, source: random.Random) -> FaultEvent:
    seconds = source.uniform(*DURATIONS[kind])
    latest = max(start, end - seconds)
    return FaultEvent(
        kind=kind,
        at=round(source.uniform(start, latest), 3),
        seconds=round(min(seconds, end - start), 3),
        target=0 if kind in GLOBAL_FAULTS else source.randrange(TARGETS),
        variant=source.randrange(2),
    )


def _compatible(left: FaultEvent, right: FaultEvent) -> bool:
    kinds = {left.kind, right.kind}
    if left.kind in MEMORY_LOSING and right.kind in MEMORY_LOSING:
        return _apart(left, right, REPAIR_SECONDS)
    if FaultKind.DRAIN in kinds and kinds & NODE_FAULTS:
        return _apart(left, right, 0.0)
    exclusive = kinds <= STORE_FAULTS or (left.kind is right.kind and left.kind in ONE_AT_A_TIME)
    same_target = left.kind is right.kind and left.target == right.target
    return not (exclusive or same_target) or _apart(left, right, 0.0)


def _apart(left: FaultEvent, right: FaultEvent, distance: float) -> bool:
    first, second = sorted((left, right), key=lambda event: event.at)
    return first.at + first.seconds + distance <= second.at
