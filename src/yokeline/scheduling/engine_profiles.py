"""How fast one start of an engine is: its lasting pace, apart from spells of slowness.

What nodes see of an engine can only be put together if it means the same at each of them. A ratio
to what is usual does not: each node's usual is fitted to the engines that it happened to use. So a
profile is kept in seconds: the time between two events of a turn as it would be if the turn ran
alone. A node divides what it measured by how much the load beside the turn slows it, which is a
ratio within its own line, and every other factor of that line cancels out. How slow an engine is
against others then follows at the reader, from the paces of the engines that the reader chooses
among.

The lasting pace is the median of samples that lie so far apart that one spell bends few of them.
A spell is told once some samples in a row lie to the same side of that median: one that has lasted
that long will probably last for another turn, while a shorter one is over before it is known. The
number of samples says how much they count, and fades slowly, so that an engine that is avoided is
tried again. Times are seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from yokeline.fading import FadingAverage
from yokeline.scheduling.medians import median

SAMPLE_SECONDS = 0.5
"""Turns that end within this time of each other count as one sample: a spell of slowness of some
hundred milliseconds takes them all."""
MAX_SAMPLES = 15
"""Samples kept; a lasting change shows once half of them have seen it, 4 s at a busy engine."""
SPELL_FADE_SECONDS = 1.0
"""Time in which a spell fades to a third without new turns; some turns' time."""
SPELL_SAMPLES = 3
"""Samples in a row, all slow or all fast, that make a spell."""
MIN_SAMPLES_FOR_SPELL = 2 * SPELL_SAMPLES + 1
"""Samples from which the median is that of other ones than a spell is read from."""
MAX_SPELL_FACTOR = 3.0
"""A turn counts at most as this multiple of the lasting pace in a spell, and at least as its
inverse, so that a pause of a process is not taken for the engine's."""
SILENCE_FADE_SECONDS = 30.0
"""Time without a turn in which the weight of what was seen falls to a third."""
PRIOR_SAMPLES = 0.5
"""Weight of the assumption that an engine is as fast as is usual in its pool."""
USUAL_PACE_TOLERANCE = 0.05
"""Paces closer to the usual one than this are taken for it: nodes that are told the same would all
choose the engine that the noise of measurement favours."""
FAULT_WEIGHT = 0.15
"""Weight of one request in an engine's share of failures."""
FAULT_FADE_SECONDS = 4.0
"""Time in which a share of failures fades to a third without new requests."""


class Pace(msgspec.Struct, frozen=True):
    """A lasting pace, and how much it counts.

    Attributes:
        seconds: Between two events of a turn that runs alone; 0 if nothing was seen.
        samples: Weight, in samples that lie apart.
    """

    seconds: float = 0.0
    samples: float = 0.0


UNKNOWN_PACE = Pace()


def faded_samples(samples: float, silence: float) -> float:
    """Return the weight of samples after a time without new ones."""
    return samples * math.exp(-max(0.0, silence) / SILENCE_FADE_SECONDS)


def faded_spell(spell: float, age: float) -> float:
    """Return what is believed of a spell some time after the latest turn."""
    remaining = math.exp(-max(0.0, age) / SPELL_FADE_SECONDS)
    return remaining * spell + (1.0 - remaining)


class ToldProfile(msgspec.Struct, frozen=True, kw_only=True):
    """What another process told of an engine.

    Attributes:
        spell: The engine's time as a multiple of its lasting one; 1 outside of a spell.
        told_at: When it was told (this process's clock).
    """

    pace_seconds: float
    samples: float
    spell: float
    told_at: float

    def pace(self, now: float) -> Pace:
        """Return the lasting pace, which counts less the older it is."""
        return Pace(self.pace_seconds, faded_samples(self.samples, now - self.told_at))

    def spell_at(self, now: float) -> float:
        """Return the spell as far as it is still believed."""
        return faded_spell(self.spell, now - self.told_at)


class EngineProfile:
    """What was seen of one start of an engine.

    Attributes:
        failed: Share of its latest requests that failed.
    """

    def __init__(self) -> None:
        """Know nothing yet."""
        self.failed = FadingAverage(0.0, FAULT_WEIGHT, FAULT_FADE_SECONDS)
        self._samples: list[float] = []
        self._sample_started_at = -math.inf
        self._last_turn_at = -math.inf
        self._turns_in_sample = 0
        self._baseline = 0.0
        self._spell = 1.0

    def note_outcome(self, now: float, *, failed: bool) -> None:
        """Take the end of a request into the share of failures."""
        self.failed.observe(float(failed), now)

    def note_pace(self, seconds: float, now: float) -> None:
        """Take the time between a turn's events in, as it would be if the turn ran alone."""
        self._last_turn_at = now
        self._add_sample(seconds, now)
        self._baseline = median(self._samples)
        self._spell = self._spell_of_samples()

    def pace(self, now: float) -> Pace:
        """Return the lasting pace."""
        return Pace(self._baseline, faded_samples(len(self._samples), now - self._last_turn_at))

    def spell(self, now: float) -> float:
        """Return the present time as a multiple of the lasting one."""
        return faded_spell(self._spell, now - self._last_turn_at)

    def _spell_of_samples(self) -> float:
        """Return by how much the latest samples all differ from the lasting pace."""
        if len(self._samples) < MIN_SAMPLES_FOR_SPELL:
            return 1.0
        ratios = [sample / self._baseline for sample in self._samples[-SPELL_SAMPLES:]]
        if min(ratios) > 1:
            return min(MAX_SPELL_FACTOR, *ratios)
        if max(ratios) < 1:
            return max(1 / MAX_SPELL_FACTOR, *ratios)
        return 1.0

    def _add_sample(self, seconds: float, now: float) -> None:
        if now - self._sample_started_at < SAMPLE_SECONDS:
            self._turns_in_sample += 1
            average = self._samples[-1]
            self._samples[-1] = average + (seconds - average) / self._turns_in_sample
            return
        self._sample_started_at = now
        self._turns_in_sample = 1
        self._samples.append(seconds)
        del self._samples[:-MAX_SAMPLES]


def merge_paces(own: Pace, told: Pace, usual: float) -> float:
    """Return the lasting pace that follows from what this process saw and what it was told.

    Each counts by its samples, and the pool's usual one as a few of them. Paces are ratios by
    nature, so their logarithms are averaged: the result lies between the least and the greatest.
    One next to the usual pace is taken for it.
    """
    weight, log_ratio_sum = PRIOR_SAMPLES, 0.0
    for pace in (own, told):
        if pace.seconds > 0:
            weight += pace.samples
            log_ratio_sum += pace.samples * math.log(pace.seconds / usual)
    ratio = math.exp(log_ratio_sum / weight)
    return usual if abs(ratio - 1) < USUAL_PACE_TOLERANCE else usual * ratio


def usual_pace(paces: Iterable[float]) -> float:
    """Return the median of the known paces (those above 0) of a pool; 0 if none is known."""
    known = [pace for pace in paces if pace > 0]
    return median(known) if known else 0.0
