"""The auditor: reads everything back at the end, as callers and operators can."""

from __future__ import annotations

import random
from collections.abc import Generator

import msgspec
import simpy

from yokeline.effects import Address, HttpFailed, HttpResponse
from yokeline.emulator.engine_protocol import InventoryBody, LoadBody
from yokeline.simulation.callers import Node
from yokeline.simulation.objects import caller_token
from yokeline.simulation.port import Call, ClientPort, Steps, response_to
from yokeline.simulation.records import Books, EngineAudit, RunAudit

TIMEOUT_SECONDS = 12.0
ATTEMPTS = 3


class Auditor:
    """Reads runs (as their tenant and as another) and the engines' memory."""

    def __init__(
        self, port: ClientPort, nodes: tuple[Node, ...], books: Books, source: random.Random
    ) -> None:
        """Reach the deployment through ``nodes``."""
        self._port = port
        self._nodes = nodes
        self._books = books
        self._source = source

    def audit_runs(self, tenants: tuple[str, ...]) -> Steps:
        """Read every run that a caller knows, and try to read it as another tenant."""
        for record in self._books.runs:
            if not record.run:
                continue
            yield from self._audit(record.run, record.tenant, record.tenant)
            others = [tenant for tenant in tenants if tenant != record.tenant]
            if others:
                yield from self._audit(record.run, record.tenant, self._source.choice(others))

    def audit_engines(self, engines: dict[str, Address]) -> Steps:
        """Read what every engine holds and runs."""
        for name, address in engines.items():
            cache = yield from self._ask(Call(address=address, method="GET", path="/v1/cache"))
            load = yield from self._ask(Call(address=address, method="GET", path="/v1/load"))
            if isinstance(cache, HttpFailed) or isinstance(load, HttpFailed):
                continue
            inventory = msgspec.json.decode(cache.body, type=InventoryBody)
            state = msgspec.json.decode(load.body, type=LoadBody)
            held = tuple(
                entry.cache_key for entry in inventory.entries if entry.held_seconds is not None
            )
            audit = EngineAudit(engine=name, held=held, busy=state.running + state.waiting)
            self._books.engine_audits.append(audit)

    def _audit(self, run: str, tenant: str, asked_as: str) -> Steps:
        answer: HttpResponse | HttpFailed | None = None
        for _ in range(ATTEMPTS):
            node = self._source.choice(self._nodes)
            call = Call(
                address=node.address,
                method="GET",
                path=f"/v1/runs/{run}",
                headers={"authorization": f"Bearer {caller_token(asked_as)}"},
                timeout=TIMEOUT_SECONDS,
            )
            answer = yield from self._ask(call)
            if isinstance(answer, HttpResponse) and answer.status < 500:
                break
        answered = answer if isinstance(answer, HttpResponse) else None
        self._books.run_audits.append(
            RunAudit(
                run=run,
                tenant=tenant,
                asked_as=asked_as,
                status=answered.status if answered else None,
                body=answered.body if answered else b"",
            )
        )

    def _ask(self, call: Call) -> Generator[simpy.Event, object, HttpResponse | HttpFailed]:
        return response_to((yield self._port.send(call).next()))
