"""Tenants, the digests of their keys, and the names under which their state is stored.

Keys do not leave the adapter: only digests are stored, compared and sent to other nodes.
"""

from __future__ import annotations

import hmac
from typing import NewType

import msgspec

Credential = NewType("Credential", str)
"""Digest of a caller's key (:func:`yokeline.bearer_tokens.token_digest`)."""

_INDEX_CHARACTERS = 16
"""Leading characters of a digest that index it; the whole digest is compared afterwards."""


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A party that shares the service with other parties that it does not trust.

    Attributes:
        priority: Priority of its requests (0 first); None for the priority of the route.
        rate: Requests per second over all nodes; 0 for no limit.
        burst: Further requests after a time of lower use.
        allowed_regions: Regions that may serve, cache and store its requests; empty for all.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a rate limit."""
        return self.rate > 0


class KeyHolder(msgspec.Struct, frozen=True):
    """A tenant and one of its keys."""

    credential: Credential
    tenant: Tenant


class TenantDirectory:
    """The tenants and their keys in one version of the configuration.

    Attributes:
        tenants: The tenants that have a key.
    """

    def __init__(self, holders: tuple[KeyHolder, ...]) -> None:
        """Index the keys of ``holders``; the first holder of a duplicate key counts."""
        self.tenants = frozenset(holder.tenant for holder in holders)
        self._weights = _weights(self.tenants)
        self._largest_weight = max(self._weights.values(), default=1.0)
        self._by_index: dict[str, list[KeyHolder]] = {}
        for holder in holders:
            self._by_index.setdefault(holder.credential[:_INDEX_CHARACTERS], []).append(holder)

    def find(self, credential: Credential | None) -> Tenant | None:
        """Return the tenant that holds a key; None if there is none."""
        if credential is None:
            return None
        for holder in self._by_index.get(credential[:_INDEX_CHARACTERS], ()):
            if hmac.compare_digest(holder.credential, credential):
                return holder.tenant
        return None

    def weight_of(self, name: str) -> float:
        """Return a tenant's weight in the division of scarce slots: its rate.

        Tenants without a limit and requests without a tenant have the largest weight of all
        tenants.
        """
        return self._weights.get(name, self._largest_weight)


def _weights(tenants: frozenset[Tenant]) -> dict[str, float]:
    """Return the weights of the tenants with a rate limit."""
    return {tenant.name: tenant.rate for tenant in tenants if tenant.is_limited}


class ScopedNames(msgspec.Struct, frozen=True, kw_only=True):
    """The names under which a request's state is stored, at nodes and in the ledger.

    The names contain the tenant, so that equal ids of two tenants do not share turns, budgets or
    operations.

    Attributes:
        operation: Id of the request's operations in the ledger. With tenants, the node creates it:
            a caller that reuses one request id must not have several requests counted once against
            a budget or a limit.
    """

    operation: str
    turn: str
    program: str
    session: str
    previous_turn: str
    resumed_turn: str = ""


def scoped(tenant: str | None, name: str) -> str:
    """Return a caller's name scoped to its tenant; None for deployments without tenants.

    The length of the tenant's name comes first, so that different pairs have different names.
    """
    if tenant is None or not name:
        return name
    return f"{len(tenant)}:{tenant}:{name}"
