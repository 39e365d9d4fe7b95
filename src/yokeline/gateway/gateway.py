"""The gateway of a node: dispatches HTTP requests to the public and the admin API."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Failure

from yokeline.effects import HttpArrived, HttpGone
from yokeline.errors import ErrorKind, Execution, YokelineError, YokelineException
from yokeline.gateway.admin import AdminApi
from yokeline.gateway.admin_objects import ObjectApi
from yokeline.gateway.authentication import Identity, Role, authenticate
from yokeline.gateway.calls import ApiCall, GatewayParts, value_of
from yokeline.gateway.exchange import Exchange, ExchangeTable
from yokeline.gateway.interfaces import (
    AdminReader,
    ConfigurationReader,
    ConfigurationWriter,
    RunRouter,
)
from yokeline.gateway.limits import Admission
from yokeline.gateway.listing import RunLister
from yokeline.gateway.problems import (
    bad_request,
    forbidden,
    not_found,
    problem_of,
    refusal,
    unavailable,
    unknown_run,
)
from yokeline.gateway.public import PublicApi
from yokeline.gateway.recovery import RecoveryApi
from yokeline.gateway.requests import IDEMPOTENCY_KEY_HEADER
from yokeline.gateway.routes import Access, NoMatch, Route, find_route
from yokeline.identifiers import ExchangeId
from yokeline.server.context import NodeContext
from yokeline.settings import Settings
from yokeline.timers import TimerQueue

STATUS_METHOD_NOT_ALLOWED = 405
MAX_PATH_LENGTH = 2048
STOPPING_RETRY_SECONDS = 1.0
RUN_PATH = "/v1/runs/"
READING_METHODS = frozenset({"GET", "DELETE"})
"""Methods on a run whose refusal says nothing about whether the run itself ran."""

Handler = Callable[[ApiCall], None]
NOBODY = Identity(tenant="", role=Role.CALLER)


class Gateway:
    """Answers the HTTP requests of callers and operators at one node."""

    def __init__(
        self,
        context: NodeContext,
        settings: Settings,
        router: RunRouter,
        configuration: ConfigurationReader,
        writer: ConfigurationWriter,
        admin: AdminReader,
    ) -> None:
        """Create the gateway over the other components of its node."""
        self._context = context
        self._settings = settings
        self._configuration = configuration
        self._admin = admin
        self._timers = TimerQueue()
        self._table = ExchangeTable(context, self._timers, router)
        self._stopping = False
        self._has_ended = False
        self._admission = Admission(settings.gateway.max_waiting_requests, context.random)
        parts = GatewayParts(
            context=context,
            settings=settings,
            table=self._table,
            timers=self._timers,
            configuration=configuration,
            writer=writer,
            admin=admin,
            admission=self._admission,
            share=self._share,
            stopping=lambda: self._stopping,
        )
        self._handlers = _handlers(parts)

    # ------------------------------------------------------------ called by the node

    def handle(self, request: HttpArrived) -> None:
        """Take a request in; it is answered now or later by effects."""
        exchange = self._table.open(request)
        self._table.guarded(exchange, self._answer)(exchange)

    def gone(self, event: HttpGone) -> None:
        """Note that a caller closed its connection; its run goes on."""
        self._table.gone(event.exchange)

    def tick(self) -> None:
        """Do what is due."""
        self._timers.run_due(self._context.now)

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return self._timers.next_due()

    def waiting(self) -> int:
        """Return the number of requests under way here."""
        return len(self._table)

    def has_open(self, exchange: ExchangeId) -> bool:
        """Return whether an exchange has no final answer yet."""
        return exchange in self._table

    def stop_accepting(self) -> None:
        """Refuse new requests of callers from now on; what is under way goes on."""
        self._stopping = True

    def answer_all(self) -> None:
        """Answer what is under way and refuse what still arrives, since the process exits now."""
        self._stopping = True
        self._has_ended = True
        self._table.fail_all(_ended())

    # ------------------------------------------------------------ dispatch

    def _answer(self, exchange: Exchange) -> None:
        try:
            self._dispatch(exchange)
        except YokelineException as error:
            self._table.reply_error(exchange, _claim(exchange.request, error.error))

    def _dispatch(self, exchange: Exchange) -> None:
        request = exchange.request
        if len(request.path) > MAX_PATH_LENGTH:
            raise YokelineException(bad_request("the path is too long", "see /openapi.json"))
        match = find_route(request.method, request.path)
        if isinstance(match, NoMatch):
            self._reply_no_route(exchange, match)
            return
        route = match.route
        exchange.route = f"{route.method} {route.template}"
        identity = NOBODY
        if route.access is not Access.OPEN:
            if self._has_ended:
                raise YokelineException(_stopping())
            identity = self._identify(request)
            _check_access(route, identity)
            if route.access is Access.TENANT and self._stopping:
                raise YokelineException(_stopping())
            if identity.tenant:
                self._enter(exchange, identity.tenant)
        call = ApiCall(exchange=exchange, identity=identity, arguments=match.arguments)
        self._handlers[route.handler](call)

    def _identify(self, request: HttpArrived) -> Identity:
        digest = self._settings.gateway.platform_token_digest
        return value_of(authenticate(request.headers, digest, self._configuration))

    def _enter(self, exchange: Exchange, tenant: str) -> None:
        """Take a tenant's request in; operators of the platform always get through."""
        entered = self._admission.enter(tenant, len(self._table) - 1)
        if isinstance(entered, Failure):
            self._context.counters['yokeline_requests_shed_total{reason="node_full"}'] += 1
            raise YokelineException(entered.failure())
        exchange.on_close.append(lambda: self._admission.leave(tenant))

    def _reply_no_route(self, exchange: Exchange, match: NoMatch) -> None:
        if not match.allowed:
            raise YokelineException(not_found("there is no such path", "see /openapi.json"))
        allowed = ", ".join(match.allowed)
        error = bad_request(
            f"the path does not take {exchange.request.method[:16]}", f"use {allowed}"
        )
        problem = msgspec.structs.replace(problem_of(error), status=STATUS_METHOD_NOT_ALLOWED)
        self._table.reply_problem(exchange, error, problem, {"allow": allowed})

    def _share(self) -> float:
        return 1.0 / max(1, self._admin.live_nodes())


def _handlers(parts: GatewayParts) -> dict[str, Handler]:
    public = PublicApi(parts)
    lister = RunLister(parts)
    admin = AdminApi(parts, lister)
    recovery = RecoveryApi(parts, admin)
    objects = ObjectApi(parts)
    return {
        "start_run": public.start_run,
        "continue_run": public.continue_run,
        "read_run": public.read_run,
        "watch_run": public.watch_run,
        "stop_run": public.stop_run,
        "list_runs": lister.list_own,
        "list_nodes": admin.list_nodes,
        "list_shards": admin.list_shards,
        "list_copies": recovery.list_copies,
        "recover_shard": recovery.recover_shard,
        "list_engines": admin.list_engines,
        "list_tenant_runs": admin.list_tenant_runs,
        "read_revisions": admin.read_revisions,
        "explain_program": admin.explain_program,
        "drain_node": admin.drain_node,
        "read_health": admin.read_health,
        "read_readiness": admin.read_readiness,
        "read_metrics": admin.read_metrics,
        "read_openapi": admin.read_openapi,
        "list_objects": objects.list_objects,
        "read_object": objects.read_object,
        "write_object": objects.write_object,
        "delete_object": objects.delete_object,
        "read_operation": objects.read_operation,
    }


def _check_access(route: Route, identity: Identity) -> None:
    if route.access is Access.TENANT and not identity.tenant:
        raise YokelineException(
            forbidden("the platform operator has no runs", "use a token of the tenant")
        )
    if route.access is Access.PLATFORM and identity.role is not Role.PLATFORM_OPERATOR:
        raise YokelineException(
            forbidden("only the platform operator may do this", "use the platform's token")
        )
    if route.access is Access.OPERATOR and identity.role is Role.CALLER:
        raise YokelineException(
            forbidden("only an operator may do this", "use a token with the role operator")
        )


def _claim(request: HttpArrived, error: YokelineError) -> YokelineError:
    """Return the error with what this gateway can say for sure about execution."""
    if request.method in READING_METHODS and request.path.startswith(RUN_PATH):
        return unknown_run(error)
    return refusal(error, has_key=IDEMPOTENCY_KEY_HEADER in request.headers)


def _ended() -> YokelineError:
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message="this node ended before the request did",
        remedy="ask for the outcome at another node, or repeat with the same Idempotency-Key",
        execution=Execution.UNKNOWN,
    )


def _stopping() -> YokelineError:
    return unavailable(
        "this node is stopping and takes no new requests",
        "retry at another node",
        STOPPING_RETRY_SECONDS,
    )
