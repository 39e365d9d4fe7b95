"""The routes of the API: one table for the dispatcher and for the OpenAPI document."""

from __future__ import annotations

import enum
from urllib.parse import unquote

import msgspec

from yokeline.gateway.requests import RecoverBody, RunBody, TurnBody

OBJECT_KINDS = "{kind}"


class Access(enum.Enum):
    """Who may use a route."""

    OPEN = "open"
    """Anybody who reaches the port."""
    TENANT = "tenant"
    """A caller or operator of a tenant."""
    OPERATOR = "operator"
    """A tenant's operator (for its own) or the platform operator."""
    PLATFORM = "platform"
    """The platform operator."""


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One method on one path.

    Attributes:
        template: Path with variable segments in braces.
        handler: Name of the handler, unique in the table.
        body: Type of the request body; None where there is none.
        query: Names of the query parameters.
        headers: Names of the request headers that change what the route does.
    """

    method: str
    template: str
    handler: str
    access: Access
    summary: str
    body: type | None = None
    query: tuple[str, ...] = ()
    headers: tuple[str, ...] = ()

    def arguments_of(self, segments: list[str]) -> dict[str, str] | None:
        """Return the variable segments of a path, None if it does not fit the template."""
        parts = self.template.split("/")
        if len(parts) != len(segments):
            return None
        arguments: dict[str, str] = {}
        for part, segment in zip(parts, segments, strict=True):
            if part.startswith("{"):
                if not segment:
                    return None
                arguments[part.strip("{}")] = segment
            elif part != segment:
                return None
        return arguments


class Match(msgspec.Struct, frozen=True):
    """A route that fits a request."""

    route: Route
    arguments: dict[str, str]


class NoMatch(msgspec.Struct, frozen=True):
    """No route fits; ``allowed`` are the methods that the path has."""

    allowed: tuple[str, ...]


PAGE = ("after", "limit")
TENANT_PAGE = ("tenant", "after", "limit")
KEY = ("Idempotency-Key",)

ROUTES: tuple[Route, ...] = (
    Route(
        method="POST",
        template="/v1/programs/{name}/runs",
        handler="start_run",
        access=Access.TENANT,
        summary="Start a run, or find the one that the Idempotency-Key made",
        body=RunBody,
        headers=(*KEY, "Accept"),
    ),
    Route(
        method="POST",
        template="/v1/runs/{id}/turns",
        handler="continue_run",
        access=Access.TENANT,
        summary="Add a turn to an idle conversation",
        body=TurnBody,
        headers=(*KEY, "Accept"),
    ),
    Route(
        method="GET",
        template="/v1/runs/{id}",
        handler="read_run",
        access=Access.TENANT,
        summary="Read a run; with wait, once it is answered",
        query=("wait",),
    ),
    Route(
        method="GET",
        template="/v1/runs/{id}/events",
        handler="watch_run",
        access=Access.TENANT,
        summary="Stream a run's events (text/event-stream)",
        headers=("Last-Event-ID",),
    ),
    Route(
        method="DELETE",
        template="/v1/runs/{id}",
        handler="stop_run",
        access=Access.TENANT,
        summary="Cancel a run",
    ),
    Route(
        method="GET",
        template="/v1/runs",
        handler="list_runs",
        access=Access.TENANT,
        summary="List the tenant's runs",
        query=PAGE,
    ),
    Route(
        method="GET",
        template="/admin/v1/nodes",
        handler="list_nodes",
        access=Access.PLATFORM,
        summary="List the nodes as this one sees them",
        query=PAGE,
    ),
    Route(
        method="GET",
        template="/admin/v1/shards",
        handler="list_shards",
        access=Access.PLATFORM,
        summary="List the shards and their leaders",
        query=PAGE,
    ),
    Route(
        method="GET",
        template="/admin/v1/recovery",
        handler="list_copies",
        access=Access.PLATFORM,
        summary="List the copies of shards at this node, for the loss of a majority",
        query=PAGE,
    ),
    Route(
        method="POST",
        template="/admin/v1/shards/{shard}/recover",
        handler="recover_shard",
        access=Access.PLATFORM,
        summary="Start a shard that lost its majority from this node's copy; may lose runs",
        body=RecoverBody,
    ),
    Route(
        method="GET",
        template="/admin/v1/engines",
        handler="list_engines",
        access=Access.PLATFORM,
        summary="List the engines and their load",
        query=PAGE,
    ),
    Route(
        method="GET",
        template="/admin/v1/runs",
        handler="list_tenant_runs",
        access=Access.OPERATOR,
        summary="List a tenant's runs",
        query=TENANT_PAGE,
    ),
    Route(
        method="GET",
        template="/admin/v1/revisions",
        handler="read_revisions",
        access=Access.OPERATOR,
        summary="Tell which configuration is in force at this node",
    ),
    Route(
        method="GET",
        template="/admin/v1/explain/{program}",
        handler="explain_program",
        access=Access.OPERATOR,
        summary="Tell which policies apply to a program, and where it may run",
        query=("tenant",),
    ),
    Route(
        method="GET",
        template="/admin/v1/operations/{id}",
        handler="read_operation",
        access=Access.OPERATOR,
        summary="Tell what became of a write whose outcome was unknown",
    ),
    Route(
        method="POST",
        template="/admin/v1/drain",
        handler="drain_node",
        access=Access.PLATFORM,
        summary="Begin a planned stop of this node",
    ),
    Route(
        method="GET",
        template="/admin/v1/{kind}",
        handler="list_objects",
        access=Access.OPERATOR,
        summary="List the configuration objects of a kind",
        query=TENANT_PAGE,
    ),
    Route(
        method="GET",
        template="/admin/v1/{kind}/{name}",
        handler="read_object",
        access=Access.OPERATOR,
        summary="Read a configuration object; ETag is its revision",
        query=("tenant",),
    ),
    Route(
        method="PUT",
        template="/admin/v1/{kind}/{name}",
        handler="write_object",
        access=Access.OPERATOR,
        summary="Write a configuration object",
        query=("tenant",),
        headers=("If-Match", "If-None-Match"),
    ),
    Route(
        method="DELETE",
        template="/admin/v1/{kind}/{name}",
        handler="delete_object",
        access=Access.OPERATOR,
        summary="Delete a configuration object",
        query=("tenant",),
        headers=("If-Match",),
    ),
    Route(
        method="GET",
        template="/healthz",
        handler="read_health",
        access=Access.OPEN,
        summary="Tell that the process answers",
    ),
    Route(
        method="GET",
        template="/readyz",
        handler="read_readiness",
        access=Access.OPEN,
        summary="Tell whether this node should get requests",
    ),
    Route(
        method="GET",
        template="/metrics",
        handler="read_metrics",
        access=Access.OPEN,
        summary="Metrics in the Prometheus text format",
    ),
    Route(
        method="GET",
        template="/openapi.json",
        handler="read_openapi",
        access=Access.OPEN,
        summary="This description",
    ),
)


def find_route(method: str, path: str) -> Match | NoMatch:
    """Return the first route that fits; fixed paths stand before variable ones."""
    segments = [unquote(segment) for segment in path.split("/")]
    allowed: list[str] = []
    for route in ROUTES:
        arguments = route.arguments_of(segments)
        if arguments is None:
            continue
        if route.method == method:
            return Match(route, arguments)
        allowed.append(route.method)
    return NoMatch(tuple(sorted(set(allowed))))
