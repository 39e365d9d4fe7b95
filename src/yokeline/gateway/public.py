"""The public API: starting, continuing, reading, watching and cancelling runs."""

from __future__ import annotations

from returns.result import Failure

from yokeline.errors import YokelineError, YokelineException
from yokeline.gateway.answers import run_answer
from yokeline.gateway.authentication import Identity
from yokeline.gateway.calls import ApiCall, GatewayParts, value_of
from yokeline.gateway.event_stream import Watch
from yokeline.gateway.limits import Importance
from yokeline.gateway.problems import not_found, unknown_run
from yokeline.gateway.requests import (
    RunBody,
    TurnBody,
    check_labels,
    decode_body,
    parse_deadline,
    parse_idempotency_key,
    parse_input,
    parse_last_event_id,
    parse_wait,
    wants_events,
)
from yokeline.gateway.run_delivery import READ_SECONDS, Delivery, RunDelivery
from yokeline.gateway.run_requests import (
    is_run_id,
    new_run_id,
    new_turn_key,
    run_spec,
    turn_of_key,
)
from yokeline.identifiers import RunId
from yokeline.labels.objects import Program, TenantLimits
from yokeline.shards.operations import ContinueRun, StartRun, StopRun

STATUS_OK = 200


class PublicApi:
    """Handlers of the routes below ``/v1``."""

    def __init__(self, parts: GatewayParts) -> None:
        """Create the handlers over the gateway's parts."""
        self._parts = parts
        self._context = parts.context
        self._table = parts.table
        self._settings = parts.settings.gateway
        self._delivery = RunDelivery(parts)

    # ------------------------------------------------------------ handlers

    def start_run(self, call: ApiCall) -> None:
        """``POST /v1/programs/{name}/runs``."""
        key = value_of(parse_idempotency_key(call.request.headers))
        body = value_of(decode_body(call.request, RunBody))
        run_input = value_of(parse_input(body.input))
        labels = value_of(check_labels(body.labels))
        tenant = call.identity.tenant
        program = self._program(tenant, call.arguments["name"])
        policy = self._parts.configuration.view().resolve(program)
        deadline = self._deadline(body.deadline_seconds, policy.deadline_seconds)
        self._admit(call, Importance.of(policy.worth, deadline))
        text = run_input.json if program.app else run_input.text
        spec = run_spec(
            program,
            policy,
            idempotency_key=key,
            run_input=text,
            labels=labels,
            deadline_wall=self._context.wall() + deadline,
        )
        run = new_run_id(tenant, key, self._context.random)
        wait = bool(program.app) if body.wait is None else body.wait
        delivery = _delivery(call, key, deadline, wait=wait)
        self._delivery.ask_new(
            call,
            StartRun(run=run, spec=spec, input=text),
            delivery,
            lambda found: self._delivery.deliver(call, found, 1, delivery),
        )

    def continue_run(self, call: ApiCall) -> None:
        """``POST /v1/runs/{id}/turns``."""
        key = value_of(parse_idempotency_key(call.request.headers))
        body = value_of(decode_body(call.request, TurnBody))
        run_input = value_of(parse_input(body.input))
        run = _run_argument(call)
        deadline = self._deadline(body.deadline_seconds, None)
        self._admit(call, Importance.of(1.0, deadline))
        turn_key = key or new_turn_key(self._context.random)
        operation = ContinueRun(
            run=run,
            tenant=call.identity.tenant,
            turn_key=turn_key,
            input=run_input.text,
            deadline_wall=self._context.wall() + deadline,
        )
        delivery = _delivery(call, key, deadline, wait=bool(body.wait))
        self._delivery.ask_new(
            call,
            operation,
            delivery,
            lambda found: self._delivery.deliver(
                call, found, turn_of_key(found, turn_key), delivery
            ),
        )

    def read_run(self, call: ApiCall) -> None:
        """``GET /v1/runs/{id}``, with ``?wait=SECONDS``."""
        run = _run_argument(call)
        wait = value_of(parse_wait(call.request.query, self._settings.max_deadline_seconds))
        if wait > 0:
            self._delivery.await_then_read(call, run, wait)
            return
        self._delivery.read(call, run)

    def watch_run(self, call: ApiCall) -> None:
        """``GET /v1/runs/{id}/events``."""
        run = _run_argument(call)
        after = value_of(parse_last_event_id(call.request.headers))
        watch = Watch(
            run=run,
            shard=self._delivery.shard_of(run),
            tenant=call.identity.tenant,
            after=after,
            seconds=self._settings.max_deadline_seconds,
        )
        self._delivery.stream(call.exchange, watch)

    def stop_run(self, call: ApiCall) -> None:
        """``DELETE /v1/runs/{id}``."""
        run = _run_argument(call)
        operation = StopRun(run=run, tenant=call.identity.tenant)
        self._delivery.ask(
            call.exchange,
            run,
            operation,
            READ_SECONDS,
            lambda found: self._table.reply_json(call.exchange, STATUS_OK, run_answer(found)),
            lambda error: self._delivery.run_failed(call.exchange, run, error),
        )

    def _program(self, tenant: str, name: str) -> Program:
        program = self._parts.configuration.view().program(tenant, name)
        if program is None:
            raise YokelineException(_no_program(name))
        return program

    def _deadline(self, requested: float | None, policy: float | None) -> float:
        return value_of(
            parse_deadline(
                requested,
                policy,
                self._settings.default_deadline_seconds,
                self._settings.max_deadline_seconds,
            )
        )

    def _admit(self, call: ApiCall, importance: Importance) -> None:
        tenant = call.identity.tenant
        admitted = self._parts.admission.admit(
            tenant,
            self._limits(call.identity),
            importance,
            waiting=len(self._table) - 1,
            share=self._parts.share(),
            now=self._context.now,
        )
        if isinstance(admitted, Failure):
            kind = admitted.failure().kind.value
            self._context.counters[f'yokeline_requests_shed_total{{reason="{kind}"}}'] += 1
        value_of(admitted)
        call.exchange.on_close.append(lambda: self._parts.admission.release(tenant))

    def _limits(self, identity: Identity) -> TenantLimits:
        tenant = self._parts.configuration.view().tenant(identity.tenant)
        return tenant.limits if tenant is not None else TenantLimits()


def _delivery(call: ApiCall, key: str, deadline_seconds: float, *, wait: bool) -> Delivery:
    return Delivery(
        key=key,
        deadline_seconds=deadline_seconds,
        wait=wait,
        events=wants_events(call.request.headers),
    )


def _run_argument(call: ApiCall) -> RunId:
    text = call.arguments["id"]
    if not is_run_id(text):
        raise YokelineException(
            unknown_run(not_found("there is no such run", "check the id of the run"))
        )
    return RunId(text)


def _no_program(name: str) -> YokelineError:
    return not_found(
        f"there is no program {name[:64]!r}",
        "check the name, or ask the operator to write the program",
    )
