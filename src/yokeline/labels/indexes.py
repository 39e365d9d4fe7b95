"""Lookup tables over the decoded objects of a configuration view; copied on write."""

from __future__ import annotations

import msgspec
from returns.result import Failure

from yokeline.labels.checks import decode_stored, qualified_name
from yokeline.labels.objects import (
    ConfigurationObject,
    ObjectKind,
    Policy,
    StoredObject,
    Tenant,
    TokenRole,
)
from yokeline.labels.resolution import CompiledPolicy, compile_policy

ObjectKey = tuple[ObjectKind, str]


class TokenGrant(msgspec.Struct, frozen=True):
    """What a bearer token is good for."""

    tenant: str
    role: TokenRole


class InvalidObject(msgspec.Struct, frozen=True):
    """An object in the store that does not pass the checks and is therefore left out."""

    kind: ObjectKind
    name: str
    revision: int
    problem: str


class Indexes(msgspec.Struct):
    """Lookup tables over the decoded objects; copied on write, table by table.

    Attributes:
        decoded: Valid live objects of each kind by qualified name.
        invalid: Live objects that could not be decoded.
        tokens: Owners of each token digest, as (tenant, role).
        policies: Compiled policies of each owner in order; the platform's under "".
    """

    decoded: dict[ObjectKind, dict[str, ConfigurationObject]]
    invalid: dict[ObjectKey, InvalidObject]
    tokens: dict[str, tuple[TokenGrant, ...]]
    policies: dict[str, tuple[CompiledPolicy, ...]]


def updated_indexes(indexes: Indexes, items: list[StoredObject]) -> Indexes:
    """Return indexes with ``items`` applied; only the tables that change are copied."""
    decoded = dict(indexes.decoded)
    for kind in {item.kind for item in items}:
        decoded[kind] = dict(decoded[kind])
    updated = Indexes(
        decoded=decoded,
        invalid=dict(indexes.invalid),
        tokens=indexes.tokens,
        policies=indexes.policies,
    )
    old_tenants: list[Tenant] = []
    new_tenants: list[Tenant] = []
    policy_owners: set[str] = set()
    for item in items:
        old = decoded[item.kind].pop(item.name, None)
        new = _decoded(updated, item)
        if new is not None:
            decoded[item.kind][item.name] = new
        for found, tenants in ((old, old_tenants), (new, new_tenants)):
            if isinstance(found, Tenant):
                tenants.append(found)
            if isinstance(found, Policy):
                policy_owners.add(found.tenant)
    if old_tenants or new_tenants:
        updated.tokens = _updated_tokens(indexes.tokens, old_tenants, new_tenants)
    if policy_owners:
        updated.policies = _updated_policies(indexes, updated, policy_owners)
    return updated


def _decoded(indexes: Indexes, item: StoredObject) -> ConfigurationObject | None:
    """Decode a live object; note one that does not pass the checks as invalid."""
    key = (item.kind, item.name)
    indexes.invalid.pop(key, None)
    if item.deleted:
        return None
    result = decode_stored(item.kind, item.body)
    if isinstance(result, Failure):
        problem = result.failure().line()
        indexes.invalid[key] = InvalidObject(item.kind, item.name, item.revision, problem)
        return None
    found = result.unwrap()
    if qualified_name(found) != item.name:
        problem = f"stored as {item.name!r} but calls itself {qualified_name(found)!r}"
        indexes.invalid[key] = InvalidObject(item.kind, item.name, item.revision, problem)
        return None
    return found


def _updated_tokens(
    tokens: dict[str, tuple[TokenGrant, ...]], old: list[Tenant], new: list[Tenant]
) -> dict[str, tuple[TokenGrant, ...]]:
    updated = dict(tokens)
    for tenant in old:
        for token in tenant.tokens:
            rest = tuple(g for g in updated[token.digest] if g.tenant != tenant.name)
            updated[token.digest] = rest
            if not rest:
                del updated[token.digest]
    for tenant in new:
        for token in tenant.tokens:
            grants = [*updated.get(token.digest, ()), TokenGrant(tenant.name, token.role)]
            updated[token.digest] = tuple(sorted(grants, key=lambda grant: grant.tenant))
    return updated


def _updated_policies(
    old: Indexes, updated: Indexes, owners: set[str]
) -> dict[str, tuple[CompiledPolicy, ...]]:
    policies = dict(old.policies)
    kept = {(o, c.policy.name): c for o in sorted(owners) for c in old.policies.get(o, ())}
    grouped: dict[str, list[CompiledPolicy]] = {owner: [] for owner in sorted(owners)}
    for policy in updated.decoded[ObjectKind.POLICY].values():
        if isinstance(policy, Policy) and policy.tenant in grouped:
            compiled = kept.get((policy.tenant, policy.name))
            if compiled is None or compiled.policy is not policy:
                compiled = compile_policy(policy)
            grouped[policy.tenant].append(compiled)
    for owner, found in grouped.items():
        policies[owner] = tuple(sorted(found, key=lambda c: (c.policy.order, c.policy.name)))
    return policies
