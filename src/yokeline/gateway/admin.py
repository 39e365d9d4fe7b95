"""What operators ask of a node: members, shards, engines, policies in force, stop, health."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from yokeline.errors import YokelineException
from yokeline.gateway.calls import ApiCall, GatewayParts, value_of
from yokeline.gateway.exchange import JSON_TYPE
from yokeline.gateway.listing import RunLister, tenant_argument
from yokeline.gateway.openapi import openapi_json
from yokeline.gateway.problems import bad_request, not_found
from yokeline.gateway.requests import parse_page
from yokeline.labels.resolution import PolicyReason
from yokeline.metrics import CONTENT_TYPE, render
from yokeline.runs.model import Budget

STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_UNAVAILABLE = 503
WAITING_GAUGE = "yokeline_http_requests_waiting"


class ItemPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of things that the node sees."""

    items: tuple[msgspec.Struct, ...]
    next: str | None


class Revisions(msgspec.Struct, frozen=True, kw_only=True):
    """Which configuration is in force here.

    Attributes:
        revision: Highest revision applied at this node.
        ready: Whether that is as new as a majority of the live nodes report.
        invalid: Objects in the store that are left out, with the reason (platform operator).
    """

    node: str
    revision: int
    ready: bool
    invalid: tuple[str, ...] = ()


class PoolExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a program may run on an engine pool, and if not, why."""

    pool: str
    allowed: bool
    reason: str


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """What applies to a program, and why."""

    program: str
    tenant: str
    revision: int
    priority: int
    worth: float
    deadline_seconds: float | None
    budget: Budget
    engine_selector: str
    policies: tuple[PolicyReason, ...]
    pools: tuple[PoolExplanation, ...]


class DrainStarted(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a planned stop."""

    node: str
    draining: bool = True


class Health(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the node works, or why it should get no requests."""

    status: str
    reasons: tuple[str, ...] = ()


class AdminApi:
    """Handlers of the routes about the node itself."""

    def __init__(self, parts: GatewayParts, lister: RunLister) -> None:
        """Create the handlers over the gateway's parts."""
        self._parts = parts
        self._table = parts.table
        self._lister = lister

    def list_nodes(self, call: ApiCall) -> None:
        """``GET /admin/v1/nodes``."""
        self.reply_items(call, self._parts.admin.nodes())

    def list_shards(self, call: ApiCall) -> None:
        """``GET /admin/v1/shards``."""
        self.reply_items(call, self._parts.admin.shards())

    def list_engines(self, call: ApiCall) -> None:
        """``GET /admin/v1/engines``."""
        self.reply_items(call, self._parts.admin.engines())

    def list_tenant_runs(self, call: ApiCall) -> None:
        """``GET /admin/v1/runs``."""
        self._lister.list_of(call, tenant_argument(call))

    def read_revisions(self, call: ApiCall) -> None:
        """``GET /admin/v1/revisions``."""
        configuration = self._parts.configuration
        invalid: tuple[str, ...] = ()
        if not call.identity.tenant:
            found = configuration.view().invalid()
            invalid = tuple(f"{item.kind.value}/{item.name}: {item.problem}" for item in found)
        revisions = Revisions(
            node=self._parts.context.name,
            revision=configuration.revision(),
            ready=configuration.ready(),
            invalid=invalid,
        )
        self._table.reply_json(call.exchange, STATUS_OK, revisions)

    def explain_program(self, call: ApiCall) -> None:
        """``GET /admin/v1/explain/{program}``."""
        view = self._parts.configuration.view()
        tenant = tenant_argument(call)
        program = view.program(tenant, call.arguments["program"])
        if program is None:
            raise YokelineException(not_found("there is no such program", "check its name"))
        resolved = view.resolve(program)
        pools: list[PoolExplanation] = []
        for pool in view.pools():
            unmet = resolved.selector.first_unmet(pool.labels)
            serves = program.model in pool.models
            reason = "matches" if serves else f"does not serve the model {program.model!r}"
            if unmet is not None:
                reason = f"does not match {unmet}"
            allowed = serves and unmet is None
            pools.append(PoolExplanation(pool=pool.name, allowed=allowed, reason=reason))
        explanation = Explanation(
            program=program.name,
            tenant=tenant,
            revision=view.revision,
            priority=resolved.priority,
            worth=resolved.worth,
            deadline_seconds=resolved.deadline_seconds,
            budget=resolved.budget,
            engine_selector=",".join(resolved.engine_selector),
            policies=view.explain(program),
            pools=tuple(pools) if program.model else (),
        )
        self._table.reply_json(call.exchange, STATUS_OK, explanation)

    def drain_node(self, call: ApiCall) -> None:
        """``POST /admin/v1/drain``."""
        started = DrainStarted(node=self._parts.context.name)
        self._table.reply_json(call.exchange, STATUS_ACCEPTED, started)
        self._parts.admin.drain()

    def read_health(self, call: ApiCall) -> None:
        """``GET /healthz``."""
        self._table.reply_json(call.exchange, STATUS_OK, Health(status="ok"))

    def read_readiness(self, call: ApiCall) -> None:
        """``GET /readyz``."""
        reasons = list(self._parts.admin.unready_reasons())
        if self._parts.stopping() and not reasons:
            reasons.append("the node takes no new requests")
        status = STATUS_UNAVAILABLE if reasons else STATUS_OK
        health = Health(status="not ready" if reasons else "ready", reasons=tuple(reasons))
        self._table.reply_json(call.exchange, status, health)

    def read_metrics(self, call: ApiCall) -> None:
        """``GET /metrics``."""
        gauges = {
            **self._parts.admin.gauges(),
            WAITING_GAUGE: float(len(self._table)),
        }
        counters = {**self._parts.context.counters, **self._parts.admin.transport_counters()}
        body = render(counters, gauges, self._table.durations)
        self._table.reply(call.exchange, STATUS_OK, {"content-type": CONTENT_TYPE}, body)

    def read_openapi(self, call: ApiCall) -> None:
        """``GET /openapi.json``."""
        headers = {"content-type": JSON_TYPE}
        self._table.reply(call.exchange, STATUS_OK, headers, openapi_json())

    def reply_items(self, call: ApiCall, items: Sequence[msgspec.Struct]) -> None:
        """Answer with the page of ``items`` that is asked for."""
        page = value_of(parse_page(call.request.query))
        if page.after and not page.after.isdecimal():
            raise YokelineException(
                bad_request("after is not a position", "send the value of next in the last page")
            )
        start = int(page.after or "0")
        end = start + page.limit
        answer = ItemPage(
            items=tuple(items[start:end]), next=str(end) if end < len(items) else None
        )
        self._table.reply_json(call.exchange, STATUS_OK, answer)
