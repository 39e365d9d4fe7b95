"""Speed of one engine process: a baseline pace, and temporary deviations from it.

The pace is the interval, in seconds, between two events of a turn that runs alone. A spell is a
temporary slowdown, or speedup, relative to the baseline pace. A node divides a measured interval by
the slowdown that its own fit attributes to concurrent turns, so paces measured by different nodes
are comparable. Ratios to a node's typical pace would not be, since each node uses different
engines.

The baseline is the median of samples taken far enough apart that one spell affects few of them. A
spell is reported once several consecutive samples lie on the same side of the baseline; a shorter
one is over before it can be used. The number of samples is the weight of a baseline. It decays
without new turns, so that an avoided engine is tried again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from yokeline.fading import FadingAverage
from yokeline.scheduling.medians import median

SAMPLE_SECONDS = 0.5
"""Turns that end within this time are averaged into one sample, so that a short temporary slowdown
affects one sample only."""
MAX_SAMPLES = 15
"""Samples kept; the median follows a permanent change after half of them. That takes 4 s at a busy
engine."""
SPELL_FADE_SECONDS = 1.0
"""Time constant with which the factor of a temporary slowdown decays without new turns."""
SPELL_SAMPLES = 3
"""Consecutive samples, all slower or all faster than the baseline, that count as a temporary
slowdown or speedup."""
MIN_SAMPLES_FOR_SPELL = 2 * SPELL_SAMPLES + 1
"""Below this number of samples, a temporary slowdown would determine the median itself."""
MAX_SPELL_FACTOR = 3.0
"""Upper bound on the factor of a temporary slowdown, and the inverse of the lower bound. A pause of
a process must not be taken for the engine's pace."""
SILENCE_FADE_SECONDS = 30.0
"""Time constant with which the weight of samples decays without new turns."""
PRIOR_SAMPLES = 0.5
"""Weight of the prior that an engine has the pool's typical pace."""
TYPICAL_PACE_TOLERANCE = 0.05
"""Relative difference up to which a pace counts as the typical one, so that nodes do not all choose
the engine that measurement noise favours."""
FAULT_WEIGHT = 0.15
"""Weight of one request in an engine's failure rate."""
FAULT_FADE_SECONDS = 4.0
"""Time constant with which a failure rate decays without new requests."""


class Pace(msgspec.Struct, frozen=True):
    """A baseline pace and its weight.

    Attributes:
        seconds: The pace; 0 without samples.
        samples: Weight, as a number of samples.
    """

    seconds: float = 0.0
    samples: float = 0.0


UNKNOWN_PACE = Pace()


def faded_samples(samples: float, silence: float) -> float:
    """Return the weight of samples after ``silence`` seconds without a new one."""
    return samples * math.exp(-max(0.0, silence) / SILENCE_FADE_SECONDS)


def faded_spell(spell: float, age: float) -> float:
    """Return the factor of a temporary slowdown, decayed towards 1 for ``age`` seconds."""
    remaining = math.exp(-max(0.0, age) / SPELL_FADE_SECONDS)
    return remaining * spell + (1.0 - remaining)


class ReportedProfile(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's profile as reported by another process.

    Attributes:
        pace_seconds: Baseline pace; 0 if unknown.
        samples: Weight of the baseline pace at the time of the report.
        spell: Current pace as a multiple of the baseline; 1 without a temporary slowdown.
        reported_at: When the report arrived, by this process's clock.
    """

    pace_seconds: float
    samples: float
    spell: float
    reported_at: float

    def pace(self, now: float) -> Pace:
        """Return the baseline pace with its decayed weight."""
        return Pace(self.pace_seconds, faded_samples(self.samples, now - self.reported_at))

    def spell_at(self, now: float) -> float:
        """Return the decayed factor of the temporary slowdown."""
        return faded_spell(self.spell, now - self.reported_at)


class EngineProfile:
    """Pace and failure rate of one engine process, as observed here.

    Attributes:
        failure_rate: Failure rate of its latest requests.
    """

    def __init__(self) -> None:
        """Create a profile without observations."""
        self.failure_rate = FadingAverage(0.0, FAULT_WEIGHT, FAULT_FADE_SECONDS)
        self._samples: list[float] = []
        self._sample_started_at = -math.inf
        self._last_turn_at = -math.inf
        self._turns_in_sample = 0
        self._baseline = 0.0
        self._spell = 1.0

    def note_outcome(self, now: float, *, failed: bool) -> None:
        """Add the outcome of a request to the failure rate."""
        self.failure_rate.observe(float(failed), now)

    def note_pace(self, seconds: float, now: float) -> None:
        """Add a turn's interval between events, with the effect of concurrent turns removed."""
        self._last_turn_at = now
        self._add_sample(seconds, now)
        self._baseline = median(self._samples)
        self._spell = self._spell_of_samples()

    def pace(self, now: float) -> Pace:
        """Return the baseline pace."""
        return Pace(self._baseline, faded_samples(len(self._samples), now - self._last_turn_at))

    def spell(self, now: float) -> float:
        """Return the current pace as a multiple of the baseline."""
        return faded_spell(self._spell, now - self._last_turn_at)

    def _spell_of_samples(self) -> float:
        """Return the least factor of the latest samples if all are slower or all faster."""
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


def merge_paces(own: Pace, reported: Pace, typical: float) -> float:
    """Return the baseline pace that follows from own samples and a reported profile.

    The result is a geometric mean, weighted by samples; the pool's typical pace counts as
    :data:`PRIOR_SAMPLES`. A result within :data:`TYPICAL_PACE_TOLERANCE` of the typical pace
    is replaced by it.
    """
    weight, log_ratio_sum = PRIOR_SAMPLES, 0.0
    for pace in (own, reported):
        if pace.seconds > 0:
            weight += pace.samples
            log_ratio_sum += pace.samples * math.log(pace.seconds / typical)
    ratio = math.exp(log_ratio_sum / weight)
    return typical if abs(ratio - 1) < TYPICAL_PACE_TOLERANCE else typical * ratio


def typical_pace(paces: Iterable[float]) -> float:
    """Return the median of the known paces (those above 0) of a pool; 0 if none is known."""
    known = [pace for pace in paces if pace > 0]
    return median(known) if known else 0.0
