"""Operators: load the configuration, race each other, and look what is in force where."""

from __future__ import annotations

import random
from collections.abc import Generator

import msgspec
import simpy

from yokeline.effects import HttpFailed, HttpResponse
from yokeline.labels.objects import ObjectKind, Policy
from yokeline.simulation.callers import Node
from yokeline.simulation.objects import (
    STEERED_POLICY,
    NewObject,
    operator_token,
    steered_policy,
)
from yokeline.simulation.outcomes import ProblemView
from yokeline.simulation.port import Call, ClientPort, Steps, response_to
from yokeline.simulation.records import (
    Books,
    ConfigurationReading,
    ConfigurationWrite,
)

PLATFORM_TOKEN = "platform-operator-token"
TIMEOUT_SECONDS = 8.0
LOAD_PAUSE_SECONDS = 0.5
LOAD_ATTEMPTS = 120
WRITE_PAUSE_SECONDS = (1.0, 5.0)
READ_PAUSE_SECONDS = 1.5
CREATED_STATUSES = (200, 201)
EXISTS_STATUS = 412


class Operator:
    """Someone who writes configuration objects through any node."""

    def __init__(
        self, port: ClientPort, nodes: tuple[Node, ...], books: Books, source: random.Random
    ) -> None:
        """Reach the deployment through ``nodes``."""
        self._port = port
        self._nodes = nodes
        self._books = books
        self._source = source
        self._environment = port.simulation.schedule.environment

    def load(self, objects: list[NewObject]) -> Steps:
        """Write all objects, one after the other, each until it is there."""
        for item in objects:
            for _ in range(LOAD_ATTEMPTS):
                answer = yield from self._write(item)
                if isinstance(answer, HttpResponse) and (
                    answer.status in CREATED_STATUSES or answer.status == EXISTS_STATUS
                ):
                    break
                yield self._environment.timeout(LOAD_PAUSE_SECONDS)
            else:
                raise RuntimeError(f"cannot write {item.kind.value} {item.name}: {answer}")

    def race(self, tenant: str, until: float) -> Steps:
        """Read and rewrite one policy of a tenant, again and again."""
        path = f"/admin/v1/{ObjectKind.POLICY.value}/{STEERED_POLICY}"
        token = operator_token(tenant)
        while self._environment.now < until:
            yield self._environment.timeout(self._source.uniform(*WRITE_PAUSE_SECONDS))
            read = yield from self._ask("GET", path, token)
            if not isinstance(read, HttpResponse) or read.status != 200:
                continue
            version = len(self._books.writes) + 2
            body = msgspec.json.encode(steered_policy(tenant, version))
            write = ConfigurationWrite(
                tenant=tenant, version=version, sent_at=self._environment.now
            )
            self._books.writes.append(write)
            tag = read.headers.get("etag", "")
            answer = yield from self._ask("PUT", path, token, body, {"if-match": tag})
            self._note_write(write, answer)

    def watch_node(self, node: Node, tenant: str, until: float) -> Steps:
        """Ask one node again and again which version of the policy is in force there."""
        path = f"/admin/v1/{ObjectKind.POLICY.value}/{STEERED_POLICY}"
        host = self._port.simulation.hosts[node.name]
        while self._environment.now < until:
            yield self._environment.timeout(READ_PAUSE_SECONDS)
            start = host.starts
            asked_at = self._environment.now
            call = self._call(node, "GET", path, operator_token(tenant))
            answer = response_to((yield self._port.send(call).next()))
            if isinstance(answer, HttpFailed) or answer.status != 200:
                continue
            policy = msgspec.json.decode(answer.body, type=Policy)
            reading = ConfigurationReading(
                node=node.name,
                start=start,
                tenant=tenant,
                asked_at=asked_at,
                version=int(policy.worth or 0),
                revision=_revision(answer),
            )
            self._books.readings.append(reading)

    def _note_write(self, write: ConfigurationWrite, answer: HttpResponse | HttpFailed) -> None:
        write.answered_at = self._environment.now
        if isinstance(answer, HttpFailed):
            return
        write.status = answer.status
        if answer.status in CREATED_STATUSES:
            write.revision = _revision(answer)
            return
        try:
            problem = msgspec.json.decode(answer.body, type=ProblemView)
        except msgspec.DecodeError:
            return
        write.problem = problem.kind
        write.execution = problem.execution

    def _write(self, item: NewObject) -> Generator[simpy.Event, object, HttpResponse | HttpFailed]:
        path = f"/admin/v1/{item.kind.value}/{item.name}"
        if item.tenant:
            path += f"?tenant={item.tenant}"
        answer = yield from self._ask("PUT", path, PLATFORM_TOKEN, item.body)
        return answer

    def _ask(
        self,
        method: str,
        path: str,
        token: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Generator[simpy.Event, object, HttpResponse | HttpFailed]:
        node = self._source.choice(self._nodes)
        call = self._call(node, method, path, token, body, headers)
        return response_to((yield self._port.send(call).next()))

    def _call(
        self,
        node: Node,
        method: str,
        path: str,
        token: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Call:
        return Call(
            address=node.address,
            method=method,
            path=path,
            headers={"authorization": f"Bearer {token}", **(headers or {})},
            body=body,
            timeout=TIMEOUT_SECONDS,
        )


def _revision(answer: HttpResponse) -> int:
    return int(answer.headers.get("etag", "0").strip('W/"') or 0)
