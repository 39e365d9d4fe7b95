"""How the policies that match a program resolve to what applies to it, and why.

A tenant's own policies come first, then the platform's; within each group in ascending
``(order, name)``. A later policy overrides the fields it sets. Engine selectors add up.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from yokeline.labels.objects import Policy, Program
from yokeline.labels.selectors import Requirement, Selector, parse_selector
from yokeline.runs.model import Budget

DEFAULT_PRIORITY = 0
DEFAULT_WORTH = 1.0
OVERRIDABLE_FIELDS = ("priority", "worth", "deadline_seconds", "budget")
ENGINE_SELECTOR_FIELD = "engine_selector"


class CompiledPolicy(msgspec.Struct, frozen=True):
    """A policy with its selectors parsed."""

    policy: Policy
    program_selector: Selector
    engine_selector: Selector

    def fields_set(self) -> tuple[str, ...]:
        """Return the names of the fields that the policy sets."""
        fields = [name for name in OVERRIDABLE_FIELDS if getattr(self.policy, name) is not None]
        if self.engine_selector.requirements:
            fields.append(ENGINE_SELECTOR_FIELD)
        return tuple(fields)


class PolicyReason(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one policy for one program.

    Attributes:
        policy: Name of the policy.
        owner: Its tenant; empty for a platform policy.
        applies: Whether its program selector matches.
        fields: Fields that it sets and that no later policy overrides.
        overridden: Fields that it sets in vain, each as ``field by policy``.
        detail: One line for people.
    """

    policy: str
    owner: str
    applies: bool
    fields: tuple[str, ...] = ()
    overridden: tuple[str, ...] = ()
    detail: str = ""


class ResolvedPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """What all matching policies together say about a program.

    Attributes:
        deadline_seconds: Deadline of a request that names none; None for the gateway's.
        engine_selector: Normal forms of the selectors that an engine must all match.
        reasons: The policies that apply, in order, with the fields each one decided.
        selector: The engine selectors as one.
    """

    priority: int = DEFAULT_PRIORITY
    worth: float = DEFAULT_WORTH
    deadline_seconds: float | None = None
    budget: Budget = Budget()
    engine_selector: tuple[str, ...] = ()
    reasons: tuple[PolicyReason, ...] = ()
    selector: Selector = Selector()

    def allows(self, labels: Mapping[str, str]) -> bool:
        """Return whether an engine pool with these labels may run the program."""
        return self.selector.matches(labels)

    def joined_engine_selector(self) -> str:
        """Return all engine selectors as one selector text."""
        return ",".join(self.engine_selector)


def compile_policy(policy: Policy) -> CompiledPolicy:
    """Parse the selectors of a policy that passed the checks."""
    return CompiledPolicy(
        policy,
        parse_selector(policy.program_selector).unwrap(),
        parse_selector(policy.engine_selector).unwrap(),
    )


def resolve_policies(program: Program, candidates: tuple[CompiledPolicy, ...]) -> ResolvedPolicy:
    """Resolve the policies that match a program.

    Args:
        program: The program; its labels are what program selectors look at.
        candidates: Policies of the program's tenant, then the platform's, each in order.
    """
    matching = [c for c in candidates if c.program_selector.matches(program.labels)]
    resolved = ResolvedPolicy()
    selectors: list[str] = []
    requirements: list[Requirement] = []
    for compiled in matching:
        resolved = _overridden(resolved, compiled.policy)
        if compiled.engine_selector.requirements:
            selectors.append(str(compiled.engine_selector))
            requirements.extend(compiled.engine_selector.requirements)
    reasons = [reason for reason in explain_policies(program, candidates) if reason.applies]
    return msgspec.structs.replace(
        resolved,
        engine_selector=tuple(selectors),
        selector=Selector(tuple(requirements)),
        reasons=tuple(reasons),
    )


def _overridden(resolved: ResolvedPolicy, policy: Policy) -> ResolvedPolicy:
    changes = {
        name: getattr(policy, name)
        for name in OVERRIDABLE_FIELDS
        if getattr(policy, name) is not None
    }
    return msgspec.structs.replace(resolved, **changes)


def explain_policies(
    program: Program, candidates: tuple[CompiledPolicy, ...]
) -> tuple[PolicyReason, ...]:
    """Return for each candidate whether it applies, what it decides, and why not."""
    deciding = _deciding_policies(program, candidates)
    return tuple(_reason(program, compiled, deciding) for compiled in candidates)


def _deciding_policies(
    program: Program, candidates: tuple[CompiledPolicy, ...]
) -> dict[str, CompiledPolicy]:
    """Return, for each field that is set, the last matching policy that sets it."""
    deciding: dict[str, CompiledPolicy] = {}
    for compiled in candidates:
        if compiled.program_selector.matches(program.labels):
            deciding.update(dict.fromkeys(compiled.fields_set(), compiled))
    return deciding


def _reason(
    program: Program, compiled: CompiledPolicy, deciding: dict[str, CompiledPolicy]
) -> PolicyReason:
    policy = compiled.policy
    unmet = compiled.program_selector.first_unmet(program.labels)
    if unmet is not None:
        held = program.labels.get(unmet.key)
        label = f"{unmet.key}={held}" if held is not None else f"no label {unmet.key}"
        detail = f"does not match: it wants {unmet}, the program has {label}"
        return PolicyReason(policy=policy.name, owner=policy.tenant, applies=False, detail=detail)
    fields = [
        name
        for name in compiled.fields_set()
        if name == ENGINE_SELECTOR_FIELD or deciding[name] is compiled
    ]
    overridden = [
        f"{name} by {_title(deciding[name].policy)}"
        for name in compiled.fields_set()
        if name not in fields
    ]
    detail = "sets " + (", ".join(fields) if fields else "nothing")
    if overridden:
        detail += "; overridden: " + ", ".join(overridden)
    return PolicyReason(
        policy=policy.name,
        owner=policy.tenant,
        applies=True,
        fields=tuple(fields),
        overridden=tuple(overridden),
        detail=detail,
    )


def _title(policy: Policy) -> str:
    return f"{policy.tenant}/{policy.name}" if policy.tenant else policy.name
