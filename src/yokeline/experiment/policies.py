"""The policies of an experiment by name: those of the settings, and ablations of the product's.

``affinity-holds`` is the product's policy without its mechanism ``holds``.
"""

from __future__ import annotations

import msgspec

from yokeline.errors import ErrorKind, YokelineError, YokelineException
from yokeline.scheduling.affinity import AffinityPolicy, Mechanisms
from yokeline.scheduling.baselines import LeastLoadedPolicy, PrefixFcfsPolicy, RoundRobinPolicy
from yokeline.scheduling.clairvoyant import ClairvoyantPolicy
from yokeline.scheduling.interface import SchedulingPolicy
from yokeline.scheduling.policies import POLICY_NAMES, make_policy

PRODUCT = AffinityPolicy.name
CLAIRVOYANT = ClairvoyantPolicy.name
BASELINES = (RoundRobinPolicy.name, LeastLoadedPolicy.name, PrefixFcfsPolicy.name)
ABLATION_SEPARATOR = "-"

MECHANISMS: tuple[str, ...] = Mechanisms.__struct_fields__


def ablation_names() -> tuple[str, ...]:
    """Return the product's policy with each mechanism switched off alone."""
    return tuple(f"{PRODUCT}{ABLATION_SEPARATOR}{mechanism}" for mechanism in MECHANISMS)


def is_ablation(name: str) -> bool:
    """Return whether a name is that of the product's policy without a mechanism."""
    return name in ablation_names()


def known_names() -> tuple[str, ...]:
    """Return every name that :func:`make` takes."""
    return (*POLICY_NAMES, *ablation_names())


def make(name: str) -> SchedulingPolicy:
    """Return a new policy.

    Raises:
        YokelineException: There is no policy of this name.
    """
    if name in POLICY_NAMES:
        return make_policy(name)
    base, _separator, mechanism = name.partition(ABLATION_SEPARATOR)
    if base != PRODUCT or mechanism not in MECHANISMS:
        raise YokelineException(_unknown(name))
    mechanisms = msgspec.structs.replace(Mechanisms(), **{mechanism: False})
    return AffinityPolicy(mechanisms)


def is_clairvoyant(name: str) -> bool:
    """Return whether a policy is to be told what the scripts say."""
    return name == CLAIRVOYANT


def _unknown(name: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_SETTING,
        message=f"there is no policy {name!r}",
        remedy=f"use some of {', '.join(known_names())}",
    )
