"""Decides whether a request may run: authenticates its key and finds its tenant.

A key may be revoked at any time. A node without a valid lease on its configuration cannot tell
whether a key has been revoked, so it answers 503 instead of running or denying the request.
"""

from __future__ import annotations

import msgspec

from yokeline.forwarding.http_statuses import UNAUTHORIZED, UNAVAILABLE
from yokeline.forwarding.model import Call, Route, RoutingTable, continues_program
from yokeline.forwarding.tenants import ScopedNames, Tenant, scoped
from yokeline.scheduling.retry_delays import RefusedCaller, retry_delay_after_outage

UNKNOWN_KEY = "unknown_key"
STALE_CONFIGURATION = "stale_configuration"
NO_TENANT = ""
"""Tenant name of requests on public routes that carry no known key."""


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """The request may run.

    Attributes:
        names: Names under which the request's state is stored.
        tenant: The tenant that sent the request; None if the tenant is unknown or the deployment
            has no tenants.
        forwards_credential: Whether the ``Authorization`` header is passed to the engine, since the
            deployment has no tenants and does not check it.
    """

    names: ScopedNames
    tenant: Tenant | None
    forwards_credential: bool


class Denied(msgspec.Struct, frozen=True, kw_only=True):
    """The request may not run.

    Attributes:
        status: HTTP status of the answer.
        reason: Machine-readable reason for the body and the log.
        retry_after: Seconds after which the caller may retry; None if a retry would not help.
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
        route: Route of the request.
        call: The request.
        has_valid_lease: Whether the configuration was proved to be the newest one recently.
        operation: Id for the ledger's operations, unique per request and node.
    """
    directory = table.tenants
    if directory is None:
        names = _names(call, None, operation=call.request_id)
        return Admitted(names=names, tenant=None, forwards_credential=True)
    tenant = directory.find(call.credential)
    if route.public:
        return _admitted(call, tenant if has_valid_lease else None, operation)
    if not has_valid_lease:
        caller = RefusedCaller(
            request_id=call.request_id,
            has_begun=continues_program(route, call),
            time_left=min(call.deadline, route.timeout),
        )
        return Denied(
            status=UNAVAILABLE,
            reason=STALE_CONFIGURATION,
            retry_after=retry_delay_after_outage(caller),
        )
    if tenant is None:
        return Denied(status=UNAUTHORIZED, reason=UNKNOWN_KEY)
    return _admitted(call, tenant, operation)


def is_still_admitted(table: RoutingTable, route: Route, call: Call) -> bool:
    """Return whether another version of the configuration would still admit an admitted request."""
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
        resumed_turn=scoped(tenant, call.resumes),
    )
