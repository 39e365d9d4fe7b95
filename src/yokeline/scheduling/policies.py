"""Scheduling policies by their names in the settings."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.scheduling.affinity import AffinityPolicy, Mechanisms
from yokeline.scheduling.baselines import LeastLoadedPolicy, PrefixFcfsPolicy, RoundRobinPolicy
from yokeline.scheduling.clairvoyant import ClairvoyantPolicy
from yokeline.scheduling.interface import SchedulingPolicy

DEFAULT_AGING_SECONDS = 10.0
"""Waiting time that raises a call by one priority step, unless configured."""


def make_policy(
    name: str,
    *,
    aging_seconds: float = DEFAULT_AGING_SECONDS,
    mechanisms: Mechanisms | None = None,
) -> SchedulingPolicy:
    """Return a new policy by its name in the settings.

    Args:
        name: One of ``POLICY_NAMES``.
        aging_seconds: Waiting time that raises a call by one priority step.
        mechanisms: Parts to disable, for the policies that have them.

    Raises:
        KeyError: The name is not one of ``POLICY_NAMES``.
    """
    if name in _BASELINES:
        return _BASELINES[name]()
    return _WITH_MECHANISMS[name](mechanisms, aging_seconds=aging_seconds)


_BASELINES: dict[str, Callable[[], SchedulingPolicy]] = {
    RoundRobinPolicy.name: RoundRobinPolicy,
    LeastLoadedPolicy.name: LeastLoadedPolicy,
    PrefixFcfsPolicy.name: PrefixFcfsPolicy,
}

_WITH_MECHANISMS: dict[str, type[AffinityPolicy]] = {
    AffinityPolicy.name: AffinityPolicy,
    ClairvoyantPolicy.name: ClairvoyantPolicy,
}

POLICY_NAMES = tuple(sorted((*_BASELINES, *_WITH_MECHANISMS)))
