"""What an object says about other objects: warnings, and clashes that must be refused."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from yokeline.errors import ErrorKind, YokelineError
from yokeline.labels.objects import ConfigurationObject, EnginePool, Policy, Program, Tenant
from yokeline.labels.resolution import compile_policy
from yokeline.labels.view import ConfigurationView


def check_references(view: ConfigurationView, item: ConfigurationObject) -> list[str]:
    """Return one warning line per reference that leads nowhere at the moment.

    Warnings do not refuse a write, since objects may be written in any order.

    Args:
        view: The configuration in force; it need not hold ``item`` yet.
        item: An object that passed the checks of ``labels.checks``.
    """
    warnings: list[str] = []
    owner = "" if isinstance(item, Tenant | EnginePool) else item.tenant
    if owner and view.tenant(owner) is None:
        warnings.append(f"tenant: there is no tenant {owner!r}; write it first")
    if isinstance(item, Program):
        warnings.extend(_program_warnings(view, item))
    if isinstance(item, Policy):
        warnings.extend(_policy_warnings(view, item))
    return warnings


def check_clashes(
    view: ConfigurationView, item: ConfigurationObject
) -> Result[None, YokelineError]:
    """Refuse a tenant that claims a token digest of another tenant."""
    if not isinstance(item, Tenant):
        return Success(None)
    for position, token in enumerate(item.tokens):
        if any(owner != item.name for owner in view.token_owners(token.digest)):
            error = YokelineError(
                kind=ErrorKind.CONFLICT,
                message=f"tokens[{position}]: another tenant has a token with this digest",
                remedy="make a new token",
            )
            return Failure(error)
    return Success(None)


def _program_warnings(view: ConfigurationView, program: Program) -> list[str]:
    tenant = program.tenant
    warnings: list[str] = []
    for name in program.tools:
        if view.tool(tenant, name) is None:
            warnings.append(f"tools: there is no tool {name!r} for tenant {tenant!r}; write it")
    for name in program.children:
        if name != program.name and view.program(tenant, name) is None:
            warnings.append(f"children: there is no program {name!r} of {tenant!r}; write it")
    if program.app and view.app(tenant, program.app) is None:
        warnings.append(f"app: there is no app {program.app!r} for tenant {tenant!r}; write it")
    if program.model:
        warnings.extend(_model_warnings(view, program))
    return warnings


def _model_warnings(view: ConfigurationView, program: Program) -> list[str]:
    serving = [pool for pool in view.pools() if program.model in pool.models]
    if not serving:
        return [f"model: no engine pool serves {program.model!r}; add it to a pool's models"]
    resolved = view.resolve(program)
    if any(resolved.allows(pool.labels) for pool in serving):
        return []
    selector = resolved.joined_engine_selector()
    return [
        f"model: no engine pool that serves {program.model!r} matches the engine selector "
        f"{selector!r}; change the pool's labels or the policies"
    ]


def _policy_warnings(view: ConfigurationView, policy: Policy) -> list[str]:
    compiled = compile_policy(policy)
    warnings: list[str] = []
    if not compiled.fields_set():
        warnings.append("the policy sets no field; set priority, worth, budget or a selector")
    in_reach = [p for p in view.programs() if not policy.tenant or p.tenant == policy.tenant]
    if not any(compiled.program_selector.matches(program.labels) for program in in_reach):
        warnings.append("program_selector: matches no program; check it against their labels")
    if not any(compiled.engine_selector.matches(pool.labels) for pool in view.pools()):
        warnings.append("engine_selector: matches no engine pool; check it against their labels")
    return warnings
