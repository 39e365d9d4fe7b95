"""Whether a caller's request may run at all: its key, its tenant, and how current the keys are.

A key may be taken away at any time. A node that cannot prove that its configuration was in force a
moment ago does not know whether a key still counts, and neither runs nor denies a request on it.
"""

from __future__ import annotations

import msgspec

from yokeline.forwarding.http_statuses import UNAUTHORIZED, UNAVAILABLE
from yokeline.forwarding.model import Call, Route, RoutingTable, continues_program
from yokeline.forwarding.tenants import ScopedNames, Tenant, scoped
from yokeline.scheduling.return_times import Returning, return_after_outage

UNKNOWN_KEY = "unknown_key"
STALE_CONFIGURATION = "stale_configuration"
NO_TENANT = ""
"""Stands for the tenant of a public request, where others have one."""


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """The request may run.

    Attributes:
        names: Under which its state is kept.
        tenant: Whose it is; None if it needs no key and has none that is known.
        shows_credential: Its key is no key of ours, and goes to the engine.
    """

    names: ScopedNames
    tenant: Tenant | None
    forwards_credential: bool


class Denied(msgspec.Struct, frozen=True, kw_only=True):
    """The request does not run.

    Attributes:
        retry_after: Seconds after which to come back; None where that is of no use.
    """

    status: int
    reason: str
    retry_after: float | None = None


def admit(
    table: RoutingTable, route: Route, call: Call, *, has_valid_lease: bool, operation: str
) -> Admitted | Denied:
    """Decide by the configuration in force.

    Args:
        table: The configuration.
        route: Of the request.
        call: The request.
        has_valid_lease: The configuration was proved to be the newest a moment ago.
        operation: An id of the node's own, which no other request has.
    """
    directory = table.tenants
    if directory is None:
        names = _names(call, None, operation=call.request_id)
        return Admitted(names=names, tenant=None, forwards_credential=True)
    tenant = directory.find(call.credential)
    if route.public:
        return _admitted(call, tenant if has_valid_lease else None, operation)
    if not has_valid_lease:
        caller = Returning(
            request_id=call.request_id,
            has_begun=continues_program(route, call),
            time_left=min(call.deadline, route.timeout),
        )
        return Denied(
            status=UNAVAILABLE,
            reason=STALE_CONFIGURATION,
            retry_after=return_after_outage(caller),
        )
    if tenant is None:
        return Denied(status=UNAUTHORIZED, reason=UNKNOWN_KEY)
    return _admitted(call, tenant, operation)


def is_still_admitted(table: RoutingTable, route: Route, call: Call) -> bool:
    """Return whether a request that was admitted would be by another configuration."""
    if table.tenants is None or route.public:
        return True
    return table.tenants.find(call.credential) is not None


def _admitted(call: Call, tenant: Tenant | None, operation: str) -> Admitted:
    name = tenant.name if tenant is not None else NO_TENANT
    names = _names(call, name, operation=operation)
    return Admitted(names=names, tenant=tenant, forwards_credential=False)


def _names(call: Call, tenant: str | None, *, operation: str) -> ScopedNames:
    return ScopedNames(
        operation=operation,
        turn=scoped(tenant, call.request_id),
        program=scoped(tenant, call.program),
        session=scoped(tenant, call.session),
        previous_turn=scoped(tenant, call.previous_turn),
    )
