"""An immutable snapshot of the configuration, with the indexes that lookups need.

A view is made from stored objects. :meth:`ConfigurationView.with_objects` gives a new view
and shares all that did not change, so that one change costs little with thousands of tenants.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Mapping
from typing import TypeVar, cast

from yokeline.labels.checks import qualified_name
from yokeline.labels.indexes import (
    Indexes,
    InvalidObject,
    ObjectKey,
    TokenGrant,
    updated_indexes,
)
from yokeline.labels.objects import (
    App,
    ConfigurationObject,
    EnginePool,
    ObjectKind,
    Policy,
    Program,
    StoredObject,
    Tenant,
    Tool,
)
from yokeline.labels.resolution import (
    CompiledPolicy,
    PolicyReason,
    ResolvedPolicy,
    explain_policies,
    resolve_policies,
)

MAX_REORDERED = 64
"""Changed objects up to which the order by revision is mended instead of made anew."""

_Object = TypeVar("_Object", bound=ConfigurationObject)


class ConfigurationView:
    """The configuration at one revision; never changes once made.

    Attributes:
        revision: Store revision that the view reflects.
    """

    def __init__(self) -> None:
        """Create the empty view of revision 0."""
        self.revision = 0
        self._objects: dict[ObjectKey, StoredObject] = {}
        self._indexes = Indexes(
            decoded={kind: {} for kind in ObjectKind}, invalid={}, tokens={}, policies={}
        )
        self._resolved: dict[str, ResolvedPolicy] = {}
        self._pools: tuple[EnginePool, ...] | None = None
        self._by_revision: tuple[StoredObject, ...] | None = None
        self._tombstones = 0

    # ------------------------------------------------------------ changing

    def with_objects(
        self, objects: Iterable[StoredObject], revision: int | None = None
    ) -> ConfigurationView:
        """Return a view that also has ``objects``; per key the higher revision wins.

        Args:
            objects: Live objects and tombstones, in any order.
            revision: Store revision that the new view reflects; the highest of the objects
                where it is not given. It never goes down.
        """
        newer = self._newest_of(objects)
        reached = max((item.revision for item in newer), default=0)
        changed = ConfigurationView()
        changed.revision = max(self.revision, reached if revision is None else revision)
        changed._objects = self._objects
        changed._indexes = self._indexes
        changed._tombstones = self._tombstones
        if not newer:
            changed._resolved = self._resolved
            changed._pools = self._pools
            changed._by_revision = self._by_revision
            return changed
        changed._objects = self._objects | {(item.kind, item.name): item for item in newer}
        changed._indexes = updated_indexes(self._indexes, newer)
        changed._by_revision = self._reordered(newer)
        changed._tombstones += sum(item.deleted for item in newer)
        changed._tombstones -= sum(self._is_tombstone(item.kind, item.name) for item in newer)
        return changed

    def without_tombstones(self, upto: int) -> ConfigurationView:
        """Return a view without the tombstones of revisions up to and with ``upto``."""
        kept = {
            key: item
            for key, item in self._objects.items()
            if not (item.deleted and item.revision <= upto)
        }
        changed = ConfigurationView()
        changed.revision = self.revision
        changed._objects = kept
        changed._indexes = self._indexes
        changed._resolved = self._resolved
        changed._pools = self._pools
        changed._tombstones = sum(item.deleted for item in kept.values())
        return changed

    def _reordered(self, newer: list[StoredObject]) -> tuple[StoredObject, ...] | None:
        """Return the order by revision after a small change; None to sort it when asked."""
        if self._by_revision is None or len(newer) > MAX_REORDERED:
            return None
        ordered = list(self._by_revision)
        for item in newer:
            held = self._objects.get((item.kind, item.name))
            if held is not None:
                del ordered[bisect.bisect_left(ordered, _revision_order(held), key=_revision_order)]
            bisect.insort(ordered, item, key=_revision_order)
        return tuple(ordered)

    def _is_tombstone(self, kind: ObjectKind, name: str) -> bool:
        held = self._objects.get((kind, name))
        return held is not None and held.deleted

    def _newest_of(self, objects: Iterable[StoredObject]) -> list[StoredObject]:
        newest: dict[ObjectKey, StoredObject] = {}
        for item in objects:
            key = (item.kind, item.name)
            held = newest.get(key) or self._objects.get(key)
            if held is None or item.revision > held.revision:
                newest[key] = item
        return list(newest.values())

    # ------------------------------------------------------------ stored objects

    def stored(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Return an object as stored (maybe a tombstone) by its qualified name."""
        return self._objects.get((kind, name))

    def stored_objects(self) -> tuple[StoredObject, ...]:
        """Return all stored objects and tombstones in ascending order of revision."""
        if self._by_revision is None:
            self._by_revision = tuple(sorted(self._objects.values(), key=_revision_order))
        return self._by_revision

    def objects_after(self, revision: int) -> tuple[StoredObject, ...]:
        """Return the objects and tombstones of higher revisions, in ascending order."""
        ordered = self.stored_objects()
        return ordered[bisect.bisect_right(ordered, revision, key=lambda item: item.revision) :]

    def tombstone_count(self) -> int:
        """Return how many deleted objects are remembered."""
        return self._tombstones

    def listed(self, kind: ObjectKind, tenant: str | None = None) -> tuple[StoredObject, ...]:
        """Return the live objects of a kind by name; with ``tenant`` only what it owns."""
        prefix = "" if tenant is None else f"{tenant}/"
        found = [
            item
            for (item_kind, name), item in self._objects.items()
            if item_kind is kind and not item.deleted and name.startswith(prefix)
        ]
        return tuple(sorted(found, key=lambda item: item.name))

    def invalid(self) -> tuple[InvalidObject, ...]:
        """Return the objects that are left out since they do not pass the checks."""
        found = self._indexes.invalid.values()
        return tuple(sorted(found, key=lambda item: (item.kind.value, item.name)))

    # ------------------------------------------------------------ lookups

    def tenant(self, name: str) -> Tenant | None:
        """Return a tenant."""
        return self._typed(ObjectKind.TENANT, Tenant).get(name)

    def tenants(self) -> tuple[Tenant, ...]:
        """Return all tenants by name."""
        return _by_name(self._typed(ObjectKind.TENANT, Tenant))

    def token(self, digest: str) -> TokenGrant | None:
        """Return what the token with this SHA-256 digest (hex) is good for.

        A digest that two tenants claim is good for nothing: it cannot tell them apart.
        """
        grants = self._indexes.tokens.get(digest, ())
        return grants[0] if len(grants) == 1 else None

    def token_owners(self, digest: str) -> tuple[str, ...]:
        """Return the names of the tenants that claim a token digest."""
        return tuple(grant.tenant for grant in self._indexes.tokens.get(digest, ()))

    def program(self, tenant: str, name: str) -> Program | None:
        """Return a tenant's program."""
        return self._typed(ObjectKind.PROGRAM, Program).get(f"{tenant}/{name}")

    def programs(self) -> tuple[Program, ...]:
        """Return all programs by qualified name."""
        return _by_name(self._typed(ObjectKind.PROGRAM, Program))

    def tool(self, tenant: str, name: str) -> Tool | None:
        """Return a tool that a tenant may use: its own one first, then a shared one."""
        tools = self._typed(ObjectKind.TOOL, Tool)
        return tools.get(f"{tenant}/{name}") or tools.get(name)

    def tools(self) -> tuple[Tool, ...]:
        """Return all tools by qualified name."""
        return _by_name(self._typed(ObjectKind.TOOL, Tool))

    def app(self, tenant: str, name: str) -> App | None:
        """Return an app that a tenant may use: its own one first, then a shared one."""
        apps = self._typed(ObjectKind.APP, App)
        return apps.get(f"{tenant}/{name}") or apps.get(name)

    def apps(self) -> tuple[App, ...]:
        """Return all apps by qualified name."""
        return _by_name(self._typed(ObjectKind.APP, App))

    def pools(self) -> tuple[EnginePool, ...]:
        """Return all engine pools by name."""
        if self._pools is None:
            self._pools = _by_name(self._typed(ObjectKind.ENGINE_POOL, EnginePool))
        return self._pools

    def pools_for(self, program: Program) -> tuple[EnginePool, ...]:
        """Return the engine pools that a program may run on and that serve its model."""
        resolved = self.resolve(program)
        return tuple(
            pool
            for pool in self.pools()
            if program.model in pool.models and resolved.allows(pool.labels)
        )

    # ------------------------------------------------------------ policies

    def policies(self) -> tuple[Policy, ...]:
        """Return all policies by qualified name."""
        return _by_name(self._typed(ObjectKind.POLICY, Policy))

    def resolve(self, program: Program) -> ResolvedPolicy:
        """Return what all matching policies together say about a program."""
        name = qualified_name(program)
        if self._typed(ObjectKind.PROGRAM, Program).get(name) is not program:
            return resolve_policies(program, self._candidates(program.tenant))
        if name not in self._resolved:
            self._resolved[name] = resolve_policies(program, self._candidates(program.tenant))
        return self._resolved[name]

    def explain(self, program: Program) -> tuple[PolicyReason, ...]:
        """Return for each policy that could apply whether it does, what it sets, and why not."""
        return explain_policies(program, self._candidates(program.tenant))

    def _candidates(self, tenant: str) -> tuple[CompiledPolicy, ...]:
        own = self._indexes.policies.get(tenant, ()) if tenant else ()
        return own + self._indexes.policies.get("", ())

    def _typed(self, kind: ObjectKind, _type: type[_Object]) -> dict[str, _Object]:
        # Each kind's table holds one type, which the type of the dict cannot say.
        return cast(dict[str, _Object], self._indexes.decoded[kind])


def _revision_order(item: StoredObject) -> tuple[int, str, str]:
    return (item.revision, item.kind.value, item.name)


def _by_name(table: Mapping[str, _Object]) -> tuple[_Object, ...]:
    return tuple(table[name] for name in sorted(table))
