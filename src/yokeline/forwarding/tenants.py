"""Tenants, their keys as digests, and the names under which their state is kept.

No key leaves the adapter: what is held, compared and passed between nodes is its digest.
"""

from __future__ import annotations

import hmac
from typing import NewType

import msgspec

Credential = NewType("Credential", str)
"""Digest of a caller's key (:func:`yokeline.bearer_tokens.token_digest`)."""

_INDEX_CHARACTERS = 16
"""Leading characters of a digest by which it is found before it is compared whole."""


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """Who shares the service with others that it does not trust.

    Attributes:
        priority: Rank of its requests (0 first); None leaves it to the route.
        rate: Requests a second that it is given over all nodes; 0 for no limit.
        burst: Requests on top of that, once they were not used.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether its requests are counted."""
        return self.rate > 0


class KeyHolder(msgspec.Struct, frozen=True):
    """A tenant and one of its keys."""

    credential: Credential
    tenant: Tenant


class TenantDirectory:
    """Which tenant holds which key, in one version of the configuration."""

    def __init__(self, holders: tuple[KeyHolder, ...]) -> None:
        """Know the keys of ``holders``; of two holders of one key the first counts."""
        self._weights = _weights({holder.tenant for holder in holders})
        self._largest_weight = max(self._weights.values(), default=1.0)
        self._by_index: dict[str, list[KeyHolder]] = {}
        for holder in holders:
            self._by_index.setdefault(holder.credential[:_INDEX_CHARACTERS], []).append(holder)

    def find(self, credential: Credential | None) -> Tenant | None:
        """Return who holds a key; None if nobody does."""
        if credential is None:
            return None
        for holder in self._by_index.get(credential[:_INDEX_CHARACTERS], ()):
            if hmac.compare_digest(holder.credential, credential):
                return holder.tenant
        return None

    def weight_of(self, name: str) -> float:
        """Return a tenant's part of scarce places, relative to others: its rate.

        The largest one counts for a tenant without a limit, and for requests without a tenant.
        """
        return self._weights.get(name, self._largest_weight)


def _weights(tenants: set[Tenant]) -> dict[str, float]:
    """Return the weights of the tenants that have a limit."""
    return {tenant.name: tenant.rate for tenant in tenants if tenant.is_limited}


class ScopedNames(msgspec.Struct, frozen=True, kw_only=True):
    """The names under which the state of a request is kept, at nodes and in the ledger.

    They hold the tenant, so that equal ids of two tenants never meet: neither as turns to
    continue, nor as budgets, nor as two operations that count as one.

    Attributes:
        operation: Of what the ledger is asked for the request. Where tenants do not trust each
            other it is the node's own: a caller that gives all its requests one id must not have
            them counted once, against a budget or a limit.
    """

    operation: str
    turn: str
    program: str
    session: str
    previous_turn: str


def scoped(tenant: str | None, name: str) -> str:
    """Return a caller's name within its tenant; None where the deployment has no tenants.

    The length of the tenant's name comes first, so that no two pairs give the same text.
    """
    if tenant is None or not name:
        return name
    return f"{len(tenant)}:{tenant}:{name}"
