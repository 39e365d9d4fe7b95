"""The configuration that a simulated deployment is given through the admin API."""

from __future__ import annotations

import msgspec

from yokeline.bearer_tokens import token_digest
from yokeline.labels.objects import (
    AccessToken,
    App,
    ConfigurationObject,
    EnginePool,
    Lookup,
    ObjectKind,
    Policy,
    Program,
    Tenant,
    TenantLimits,
    TokenRole,
    Tool,
)
from yokeline.runs.model import Budget

MODEL = "model-a"
POSTING_PROGRAM = "post-finish"
ALERT_PROGRAM = "alert"
LOOKUP_PROGRAM = "results"
AGENT_PROGRAM = "reconcile"
CHILD_PROGRAM = "summarize"
TALK_PROGRAM = "talk"
LOOP_PROGRAM = "loop"
STEERED_POLICY = "steering"
"""The policy that operators race for; its ``worth`` is the version of the write."""
LOOP_BUDGET = Budget(calls=12, tokens=20_000)
AGENT_BUDGET = Budget(calls=40, tokens=60_000)
REQUESTS_PER_SECOND = 200.0
APP_TIMEOUT_SECONDS = 8.0
TOOL_TIMEOUT_SECONDS = 5.0


class NewObject(msgspec.Struct, frozen=True, kw_only=True):
    """An object to write; ``tenant`` is empty for a shared one."""

    kind: ObjectKind
    name: str
    tenant: str
    body: bytes


def caller_token(tenant: str) -> str:
    """Return the token of a tenant's callers."""
    return f"caller-token-of-{tenant}"


def operator_token(tenant: str) -> str:
    """Return the token of a tenant's operators."""
    return f"operator-token-of-{tenant}"


def platform_objects(
    *,
    tenants: tuple[str, ...],
    engines: tuple[str, ...],
    results_apps: tuple[str, ...],
    alert_apps: tuple[str, ...],
    fenced_tools: tuple[str, ...],
    plain_tools: tuple[str, ...],
) -> list[NewObject]:
    """Return all objects in the order in which they can be written.

    Args:
        tenants: Names of the tenants.
        engines: Addresses of the model engines.
        results_apps: Addresses of the apps that answer look-ups by key.
        alert_apps: Addresses of those that do not.
        fenced_tools: Addresses of the tool services that answer look-ups by key.
        plain_tools: Addresses of those that do not.
    """
    objects: list[NewObject] = [_new(_tenant(name)) for name in tenants]
    objects.append(
        _new(EnginePool(name="main", labels={"role": "main"}, addresses=engines, models=(MODEL,)))
    )
    objects.append(
        _new(
            App(
                name="results",
                addresses=results_apps,
                lookup=Lookup.FENCED,
                timeout_seconds=APP_TIMEOUT_SECONDS,
            )
        )
    )
    objects.append(
        _new(
            App(
                name="alerts",
                addresses=alert_apps,
                lookup=Lookup.NONE,
                timeout_seconds=APP_TIMEOUT_SECONDS,
            )
        )
    )
    objects.append(
        _new(
            Tool(
                name="search",
                addresses=plain_tools,
                repeatable=True,
                timeout_seconds=TOOL_TIMEOUT_SECONDS,
            )
        )
    )
    objects.append(
        _new(
            Tool(
                name="record",
                addresses=fenced_tools,
                lookup=Lookup.FENCED,
                timeout_seconds=TOOL_TIMEOUT_SECONDS,
            )
        )
    )
    objects.append(
        _new(Tool(name="stamp", addresses=plain_tools, timeout_seconds=TOOL_TIMEOUT_SECONDS))
    )
    for tenant in tenants:
        objects.extend(_new(item) for item in _tenant_objects(tenant))
    return objects


def steered_policy(tenant: str, version: int) -> Policy:
    """Return the policy that operators write again and again."""
    return Policy(
        name=STEERED_POLICY,
        tenant=tenant,
        program_selector="kind=agent",
        worth=float(version),
    )


def _tenant(name: str) -> Tenant:
    limits = TenantLimits(requests_per_second=REQUESTS_PER_SECOND)
    tokens = (
        AccessToken(digest=token_digest(caller_token(name))),
        AccessToken(digest=token_digest(operator_token(name)), role=TokenRole.OPERATOR),
    )
    return Tenant(name=name, tokens=tokens, limits=limits)


def _tenant_objects(tenant: str) -> list[ConfigurationObject]:
    tools = ("search", "record", "stamp")
    agent_labels = {"kind": "agent"}
    return [
        Program(name=POSTING_PROGRAM, tenant=tenant, app="results"),
        Program(name=ALERT_PROGRAM, tenant=tenant, app="alerts"),
        Program(name=LOOKUP_PROGRAM, tenant=tenant, app="results", repeatable=True),
        Program(name=CHILD_PROGRAM, tenant=tenant, model=MODEL, labels=agent_labels),
        Program(
            name=AGENT_PROGRAM,
            tenant=tenant,
            model=MODEL,
            labels=agent_labels,
            tools=tools,
            children=(CHILD_PROGRAM,),
        ),
        Program(
            name=TALK_PROGRAM,
            tenant=tenant,
            model=MODEL,
            labels=agent_labels,
            tools=tools,
            conversation=True,
        ),
        Program(
            name=LOOP_PROGRAM, tenant=tenant, model=MODEL, labels={"kind": "loop"}, tools=tools
        ),
        Policy(name="budgets", tenant=tenant, program_selector="kind=agent", budget=AGENT_BUDGET),
        Policy(name="loops", tenant=tenant, program_selector="kind=loop", budget=LOOP_BUDGET),
        steered_policy(tenant, 1),
    ]


def _new(item: ConfigurationObject) -> NewObject:
    kinds: dict[type, ObjectKind] = {
        Tenant: ObjectKind.TENANT,
        EnginePool: ObjectKind.ENGINE_POOL,
        App: ObjectKind.APP,
        Tool: ObjectKind.TOOL,
        Program: ObjectKind.PROGRAM,
        Policy: ObjectKind.POLICY,
    }
    tenant = "" if isinstance(item, Tenant | EnginePool) else item.tenant
    return NewObject(
        kind=kinds[type(item)], name=item.name, tenant=tenant, body=msgspec.json.encode(item)
    )
